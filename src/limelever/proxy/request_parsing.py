"""Parses HTTP requests into calls: target, group, idempotency key, timeout and request ID."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers
from limelever.common.http_messages import HttpRequest
from limelever.common.numbers import HIGHEST_COUNT, parse_count
from limelever.proxy.call_types import (
    DEFAULT_GROUP,
    GROUP_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    CallRequest,
)
from limelever.transport.request_checks import origin_form

_MILLISECONDS = 1000
_CONTENT_LENGTH = b"content-length"
_HOST = b"host"


def declared_length(headers: Headers) -> int:
    """Return the Content-Length, 0 if there is no valid one; a longer number counts as the highest.

    Any body of that length is refused.
    """
    for name, value in headers:
        if name == _CONTENT_LENGTH and value.isdigit():
            length = parse_count(value)
            return HIGHEST_COUNT if length is None else length
    return 0


def parse_request(request: HttpRequest, names: HeaderNames) -> CallRequest | Failure:
    """Return the call for a complete request, or ``INVALID_REQUEST``."""
    group = DEFAULT_GROUP
    key = b""
    host = b""
    request_id = b""
    timeout: float | Failure = 0.0
    for name, value in request.headers:
        if name == GROUP_HEADER:
            group = value.decode("utf-8", "replace")
        elif name == IDEMPOTENCY_KEY_HEADER:
            key = value
        elif name == names.timeout:
            timeout = _parse_timeout(names.timeout, value)
        elif name == names.request_id:
            request_id = value
        elif name == _HOST:
            host = value.lower()
    if isinstance(timeout, Failure):
        return timeout
    return CallRequest(
        method=request.method,
        target=origin_form(request.target),
        headers=request.headers,
        body=request.body,
        group=group,
        idempotency_key=key,
        timeout=timeout,
        host=host,
        request_id=request_id,
    )


def _parse_timeout(name: bytes, value: bytes) -> float | Failure:
    """Parse a timeout header in milliseconds and return seconds."""
    timeout_ms = parse_count(value)
    if timeout_ms:
        return timeout_ms / _MILLISECONDS
    reason = f"{name.decode()} must be a whole number of milliseconds above 0"
    return Failure(ErrorKind.INVALID_REQUEST, reason)
