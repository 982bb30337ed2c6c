"""The hash that identifies a tenant in usage reports and limit updates."""

from __future__ import annotations

from hashlib import blake2b

_HASH_BYTES = 8


def tenant_hash(name: str) -> int:
    """Return a 64-bit hash of a tenant's name; tenants whose hashes collide share one limit."""
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest)
