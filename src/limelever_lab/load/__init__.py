"""Load generator: callers with shares, seeds, idempotency keys, and an audit of what was run."""
