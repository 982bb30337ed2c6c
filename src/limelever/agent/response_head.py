"""Checks that what a back end sends begins an HTTP/1 response, informational or final."""

from __future__ import annotations

from limelever.common.http_headers import Headers, value_of
from limelever.common.http_messages import FINAL_STATUSES, HTTP_1_0, HTTP_1_1

PROTOCOL = b"HTTP/"
_LINE_BREAKS = b"\r\n"
_INFORMATIONAL_STATUSES = range(100, 200)
_SWITCHING_PROTOCOLS = 101


def extend_start(start: bytes, data: bytes) -> bytes:
    """Return the first bytes of a response, as many as the protocol's name has, without the line
    breaks that may precede it. ``start`` are those before ``data``.
    """
    return (start + data if start else data.lstrip(_LINE_BREAKS))[: len(PROTOCOL)]


def head_fault(version: str, status: int, headers: Headers) -> str:
    """Return why a head with these header fields begins no response; empty if it begins one.

    Header names are in lower case.
    """
    if version not in (HTTP_1_0, HTTP_1_1):
        return f"response has the version {version}"
    if status in FINAL_STATUSES:
        return ""
    if status not in _INFORMATIONAL_STATUSES:
        return f"response has the invalid status {status:03}"
    if status == _SWITCHING_PROTOCOLS:
        return "backend switched protocols"
    return f"informational response {status} has a body" if _has_body(headers) else ""


def _has_body(headers: Headers) -> bool:
    length = value_of(headers, b"content-length")
    return length not in (b"", b"0") or bool(value_of(headers, b"transfer-encoding"))
