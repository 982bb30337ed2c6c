"""The short name by which loads are told: relays and proxies compute it alike."""

from __future__ import annotations

import zlib

LARGEST_LOAD = 255
"""Largest load that is told; what takes no work now tells it as well."""


def endpoint_hash(service: str, instance: str) -> int:
    """Return four bytes that stand for an endpoint.

    Two endpoints of one zone with the same hash get each other's load for a moment: one pair in
    some four million of them.
    """
    return zlib.crc32(f"{service}/{instance}".encode())
