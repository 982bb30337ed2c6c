"""Parts of HTTP messages that can be sent without end."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, repeat

BLOCK = b"x" * (1 << 15)
FIELDS = b"".join(b"X-Field-%d: value\r\n" % number for number in range(1000))
CHUNKED = b"Transfer-Encoding: chunked\r\n"

AFTER_HEAD = {
    "a body until the close": (b"\r\n", BLOCK),
    "a body in chunks": (CHUNKED + b"\r\n", b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)),
    "a body of 99999999999 bytes": (b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "header fields": (b"", FIELDS),
    "one header's value": (b"X-Long: ", BLOCK),
    "one header's name": (b"", BLOCK),
    "a chunk extension": (CHUNKED + b"\r\n1;a=", BLOCK),
    "trailers": (CHUNKED + b"\r\n1\r\na\r\n0\r\n", FIELDS),
    "one trailer's value": (CHUNKED + b"\r\n1\r\na\r\n0\r\nX-Long: ", BLOCK),
}
"""For each part what goes before it, behind the first lines of a head, and what is repeated."""

WITHOUT_HEAD = {
    "a reason phrase": (b"HTTP/1.1 200 O", BLOCK),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000),
    "bytes that begin no response": (b"", BLOCK),
}


def endless(part: str, head: bytes) -> Iterator[bytes]:
    """Return the bytes of a message with this part without end."""
    if part in WITHOUT_HEAD:
        first, repeated = WITHOUT_HEAD[part]
        return chain([first], repeat(repeated))
    first, repeated = AFTER_HEAD[part]
    return chain([head + first], repeat(repeated))
