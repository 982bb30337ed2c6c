"""Refuses requests that two readers could take for different ones, before anything is routed.

What a mesh passes on is read again by the back end. A request whose end, target or host is in
doubt may be read there as another one, or as two. The parser refuses most of them; these are left.
"""

from __future__ import annotations

import re

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.common.http_messages import HTTP_1_0, HTTP_1_1, HTTP_2, HttpRequest

_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_HOST = b"host"
_CHUNKED = b"chunked"
_CONNECT = b"CONNECT"
_SERVED_VERSIONS = frozenset({HTTP_1_0, HTTP_1_1, HTTP_2})
_FRAGMENT = b"#"
_ABSOLUTE_TARGET = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)
_HOST_VALUE = re.compile(rb"(\[[0-9a-fA-F:.]+\]|[0-9A-Za-z._~!$&'()*+,;=%-]*)(:[0-9]*)?")
"""A host as in RFC 3986, section 3.2.2: a name, an IPv4 or a bracketed IPv6 address, a port."""

NO_TUNNELS = Failure(ErrorKind.INVALID_REQUEST, "CONNECT is not served")


def check_request(request: HttpRequest) -> Failure | None:
    """Return why a request is in doubt, by its head, or ``None``.

    The connection of such a request is closed: what follows on it may be a part of it.
    """
    reason = _doubt(request)
    if reason is not None:
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return _check_coding(request.headers)


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a target that :func:`check_request` has passed."""
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is None:
        return target
    path = absolute[2]
    return path if path.startswith(b"/") else b"/" + path


def _doubt(request: HttpRequest) -> str | None:
    if request.version not in _SERVED_VERSIONS:
        return "this version of HTTP is not served"
    if request.method == _CONNECT:
        return NO_TUNNELS.reason
    return _framing_doubt(request) or _target_doubt(request)


def _framing_doubt(request: HttpRequest) -> str | None:
    """Return why the end of a body is in doubt (RFC 9112, section 6.1).

    Two lengths are refused by the parser.
    """
    names = {name for name, _ in request.headers}
    if _TRANSFER_ENCODING not in names:
        return None
    if _CONTENT_LENGTH in names:
        return "Content-Length and Transfer-Encoding exclude each other"
    if request.version == HTTP_1_0:
        return "HTTP/1.0 knows no Transfer-Encoding"
    return None


def _check_coding(headers: Headers) -> Failure | None:
    """Return why a body can't be read: chunked is the one coding that is known."""
    codings = [value.lower() for name, value in headers if name == _TRANSFER_ENCODING]
    if not codings or codings == [_CHUNKED]:
        return None
    return Failure(ErrorKind.UNKNOWN_CODING, "chunked is the only transfer coding served")


def _target_doubt(request: HttpRequest) -> str | None:
    """Return why it is in doubt what is asked of whom (RFC 9112, sections 3.2 and 7.2)."""
    hosts = [value for name, value in request.headers if name == _HOST]
    if len(hosts) > 1 or (not hosts and request.version == HTTP_1_1):
        return "a request names one host"
    host = hosts[0] if hosts else b""
    if _HOST_VALUE.fullmatch(host) is None:
        return "Host names no host"
    if _FRAGMENT in request.target:
        return "a target has no fragment"
    absolute = _ABSOLUTE_TARGET.fullmatch(request.target)
    if absolute is not None and absolute[1].lower() != host.lower():
        return "the target names another host than Host"
    return None
