"""Digests that identify repeated requests, whatever their request id and wherever they arrive.

They cover what a back end receives: service, method, target and body. The host is not passed to
back ends, and callers are left out as any of them may send the same request. Digests are one-way,
so that they reveal nothing of a request.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

_DIGEST_BYTES = 8


class Fingerprint(Struct, frozen=True):
    """``request`` is the digest of the whole request, ``head`` that of all but the body.

    The head digest is cheap and serves as a filter: the body is hashed only if the head matches.
    """

    request: int
    head: int

    @classmethod
    def of(cls, service: str, method: bytes, target: bytes, body: bytes) -> Fingerprint:
        """Return the digests of a request."""
        head = head_digest(service, method, target)
        return cls(request_digest(head, body), head)


def head_digest(service: str, method: bytes, target: bytes) -> int:
    """Return the digest of a request without its body."""
    content = b"%b %b\n%b" % (method, target, service.encode())
    return int.from_bytes(blake2b(content, digest_size=_DIGEST_BYTES).digest(), "big")


def request_digest(head: int, body: bytes) -> int:
    """Return the digest of a whole request, given its head digest."""
    key = head.to_bytes(_DIGEST_BYTES, "big")
    return int.from_bytes(blake2b(body, digest_size=_DIGEST_BYTES, key=key).digest(), "big")


class RequestHash:
    """Computes the digest of a whole request from its body's parts as they pass."""

    def __init__(self, head: int) -> None:
        self._head = head
        key = head.to_bytes(_DIGEST_BYTES, "big")
        self._hash = blake2b(digest_size=_DIGEST_BYTES, key=key)

    def update(self, part: bytes) -> None:
        """Add a part of the body."""
        self._hash.update(part)

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the digests of the request up to here."""
        return Fingerprint(int.from_bytes(self._hash.digest(), "big"), self._head)


def format_digest(digest: int) -> str:
    """Return a digest in hexadecimal, as in logs and operator commands."""
    return f"{digest:016x}"
