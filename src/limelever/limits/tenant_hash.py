"""The short name by which the use of tenants is told: relays and proxies compute it alike."""

from __future__ import annotations

from hashlib import blake2b

_HASH_BYTES = 8


def tenant_hash(name: str) -> int:
    """Return eight bytes that stand for a tenant; two tenants with the same would share limits."""
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest)
