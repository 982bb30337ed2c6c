"""The control process: a source replica and a relay in one process, for small deployments."""
