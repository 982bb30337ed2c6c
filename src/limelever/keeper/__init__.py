"""Keepers of claims on idempotency keys, on machines with disks."""
