"""The header fields that frame a request's body."""

from __future__ import annotations

from limelever.common.http_headers import Headers

_FRAMING = frozenset({b"content-length", b"transfer-encoding"})


def is_framed(headers: Headers) -> bool:
    """Return whether a request with these headers may have a body."""
    return any(name in _FRAMING for name, _ in headers)


def framing_head(headers: Headers) -> bytes:
    """Return a request head whose body is framed as that of a request with these headers."""
    framing = [b"%b: %b\r\n" % header for header in headers if header[0] in _FRAMING]
    return b"".join((b"POST / HTTP/1.1\r\n", *framing, b"\r\n"))
