"""Which headers pass between callers and back ends."""

from __future__ import annotations

from collections.abc import Container, Iterable

from limelever.proxy.call_types import (
    ERROR_HEADER,
    GROUP_HEADER,
    OUTCOME_HEADER,
    TIMEOUT_HEADER,
    Headers,
)

_CONNECTION = b"connection"

HOP_BY_HOP = frozenset(
    {
        _CONNECTION,
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one HTTP connection only (RFC 9110, section 7.6.1)."""

_OWN = frozenset({GROUP_HEADER, TIMEOUT_HEADER, OUTCOME_HEADER, ERROR_HEADER})
_REMOVED_FROM_REQUESTS = HOP_BY_HOP | _OWN | {b"content-length", b"expect"}


def towards_backend(headers: Headers, added: Headers, reserved: Container[bytes]) -> Headers:
    """Return the request headers for the back end: ``added`` ones replace a caller's own.

    ``reserved`` are the names that only the proxy may set, on whatever route.
    """
    named = _named_by_connection(headers)
    passed = tuple(
        header
        for header in headers
        if header[0] not in _REMOVED_FROM_REQUESTS
        and header[0] not in reserved
        and header[0] not in named
    )
    return passed + added


def towards_caller(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the answer headers for the caller, in lower case and without hop-by-hop ones."""
    lowered = tuple((name.lower(), value) for name, value in headers)
    named = _named_by_connection(lowered)
    return tuple(h for h in lowered if h[0] not in HOP_BY_HOP and h[0] not in named)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for header, value in headers
        if header == _CONNECTION
        for name in value.split(b",")
    )
