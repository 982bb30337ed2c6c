"""Keepers, which store claims on idempotency keys on disk."""
