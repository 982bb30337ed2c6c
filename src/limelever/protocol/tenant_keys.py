"""Keys of tenants: what a key may be, and the digest by which it is known."""

from __future__ import annotations

import re
from hashlib import sha256

LONGEST_KEY = 512
"""Bytes of a key."""

_KEY = re.compile(rb"[\x21-\x7e]{1,%d}" % LONGEST_KEY)


def is_well_formed(key: bytes) -> bool:
    """Return whether ``key`` is visible ASCII of 1 to ``LONGEST_KEY`` bytes."""
    return _KEY.fullmatch(key) is not None


def digest_of(key: bytes) -> bytes:
    """Return the SHA-256 of a key, by which it is looked up: its value is not kept."""
    return sha256(key).digest()
