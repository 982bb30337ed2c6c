"""Which headers cross the agent, in either direction."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.agent.interface import Headers

HOP_BY_HOP = frozenset(
    {
        b"connection",
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
"""Headers that belong to one connection (RFC 9110, section 7.6.1)."""

_SET_BY_AGENT = frozenset({b"content-length", b"expect"})


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without hop-by-hop ones and those that ``Connection`` names."""
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)


def request_headers(headers: Headers, host: bytes, body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to the back end at ``host`` with a whole body."""
    kept = [pair for pair in end_to_end(headers) if pair[0].lower() not in _SET_BY_AGENT]
    if not any(name.lower() == b"host" for name, _ in kept):
        kept.append((b"host", host))
    stated_length = any(name.lower() == b"content-length" for name, _ in headers)
    if body or stated_length:
        kept.append((b"content-length", str(len(body)).encode()))
    return kept
