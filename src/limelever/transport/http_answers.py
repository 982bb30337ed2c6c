"""Encodes HTTP/1.1 responses (RFC 9112)."""

from __future__ import annotations

from http import HTTPStatus

from limelever.common.http_messages import HttpAnswer, HttpRequest

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Asks a client that sent ``Expect: 100-continue`` for its body."""

_HEAD = b"HEAD"
_CONTENT_LENGTH = b"content-length"
_CLOSE = b"connection: close\r\n"
_NO_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


def encode_answer(request: HttpRequest, answer: HttpAnswer, *, close: bool) -> tuple[bytes, bytes]:
    """Return the encoded head of the response to a request, with its content length, and the body.

    ``close`` is set if the connection ends with it. A response to HEAD has no body.
    """
    parts = [_status_line(answer.status)]
    stated = False
    for name, value in answer.headers:
        stated = stated or name == _CONTENT_LENGTH
        parts.append(b"%b: %b\r\n" % (name, value))
    bare = answer.status in _NO_BODY or request.method == _HEAD
    if not stated and not bare:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    if close:
        parts.append(_CLOSE)
    parts.append(b"\r\n")
    return b"".join(parts), b"" if bare else answer.body


def _status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status
