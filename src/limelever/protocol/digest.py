"""Digests of resources and of sets of resources.

The digest of a set is the sum modulo 2^128 of its resources' hashes: it does not depend on
their order and is kept up to date in one step per changed resource. It detects differences
between honest parties; it is no defence against a forger, which link credentials are.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable

from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.keys import Key

DIGEST_BYTES = 16
_MODULUS = 1 << (8 * DIGEST_BYTES)
_SHORT_MASK = (1 << 64) - 1
_PREFIX = struct.Struct(">IIQ")
_PERSON = b"limelever-res-1"


def resource_hash(versioned: VersionedResource) -> int:
    """Return the 128-bit hash of a resource's kind, name, version and content."""
    key = Key.of(versioned.resource)
    name = key.name.encode()
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES, person=_PERSON)
    hasher.update(_PREFIX.pack(key.kind, len(name), versioned.version))
    hasher.update(name)
    hasher.update(versioned.resource.SerializeToString(deterministic=True))
    return int.from_bytes(hasher.digest(), "big")


def short_hash(versioned: VersionedResource) -> int:
    """Return the lower 64 bits of the resource's hash, for inventories."""
    return resource_hash(versioned) & _SHORT_MASK


class SetDigest:
    """Digest of a set of resources; a caller adds and removes hashes as the set changes."""

    __slots__ = ("_sum",)

    def __init__(self, total: int = 0) -> None:
        self._sum = total % _MODULUS

    @classmethod
    def of(cls, resources: Iterable[VersionedResource]) -> SetDigest:
        """Return the digest of ``resources``, none of which may occur twice."""
        return cls(sum(resource_hash(resource) for resource in resources))

    @classmethod
    def from_bytes(cls, data: bytes) -> SetDigest:
        """Return the digest that ``to_bytes`` wrote; empty bytes are the empty set's."""
        return cls(int.from_bytes(data, "big"))

    def add(self, value: int) -> None:
        """Add the hash of a resource that joins the set."""
        self._sum = (self._sum + value) % _MODULUS

    def remove(self, value: int) -> None:
        """Take out the hash of a resource that leaves the set."""
        self._sum = (self._sum - value) % _MODULUS

    def copy(self) -> SetDigest:
        """Return an independent copy."""
        return SetDigest(self._sum)

    def to_bytes(self) -> bytes:
        """Return the digest as ``DIGEST_BYTES`` big-endian bytes."""
        return self._sum.to_bytes(DIGEST_BYTES, "big")

    def __eq__(self, other: object) -> bool:
        return isinstance(other, SetDigest) and self._sum == other._sum

    def __hash__(self) -> int:
        return hash(self._sum)

    def __repr__(self) -> str:
        return f"SetDigest({self.to_bytes().hex()})"
