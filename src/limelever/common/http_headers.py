"""Which HTTP headers pass on: the one list of hop-by-hop headers, for either end of the mesh."""

from __future__ import annotations

from collections.abc import Iterable

Headers = tuple[tuple[bytes, bytes], ...]

CONNECTION = b"connection"
TIMEOUT_HEADER = b"x-limelever-timeout-ms"
"""How long the sender waits: from callers to proxies, and from agents to back ends."""

HOP_BY_HOP = frozenset(
    {
        CONNECTION,
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


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers, names in lower case, without those that concern one connection.

    Besides the hop-by-hop ones these are the headers that ``Connection`` names.
    """
    lowered = tuple((name.lower(), value) for name, value in headers)
    dropped = HOP_BY_HOP | _named_by_connection(lowered)
    return tuple(header for header in lowered if header[0] not in dropped)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for header, value in headers
        if header == CONNECTION
        for name in value.split(b",")
    )
