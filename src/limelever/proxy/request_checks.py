"""Refuses requests that two readers could take for different ones, before anything is routed.

What a mesh passes on is read again by the back end. A request whose end, target or host is in
doubt may be read there as another one, or as two. The parser refuses most of them; these are left.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers

_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_HOST = b"host"
_CONNECT = "CONNECT"
_HTTP_1_0 = "1.0"
_SERVED_VERSIONS = frozenset({_HTTP_1_0, "1.1", "2"})
_FRAGMENT = b"#"
_ABSOLUTE_TARGET = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)
_HOST_VALUE = re.compile(rb"(\[[0-9a-fA-F:.]+\]|[0-9A-Za-z._~!$&'()*+,;=%-]*)(:[0-9]*)?")
"""A host as in RFC 3986, section 3.2.2: a name, an IPv4 or a bracketed IPv6 address, a port."""


def check_request(scope: Mapping[str, Any], headers: Headers) -> Failure | None:
    """Return why a request is in doubt, ``INVALID_REQUEST``, or ``None``.

    The connection of such a request is closed: what follows on it may be a part of it.
    """
    reason = _doubt(scope, headers)
    return None if reason is None else Failure(ErrorKind.INVALID_REQUEST, reason)


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a target that :func:`check_request` has passed."""
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is None:
        return target
    path = absolute[2]
    return path if path.startswith(b"/") else b"/" + path


def _doubt(scope: Mapping[str, Any], headers: Headers) -> str | None:
    if scope["http_version"] not in _SERVED_VERSIONS:
        return "this version of HTTP is not served"
    if scope["method"] == _CONNECT:
        return "CONNECT is not served"
    return _framing_doubt(scope, headers) or _target_doubt(scope["raw_path"], headers)


def _framing_doubt(scope: Mapping[str, Any], headers: Headers) -> str | None:
    """Return why the end of a body is in doubt (RFC 9112, section 6.1).

    Two lengths that differ, and codings other than chunked, are refused by the parser.
    """
    names = {name for name, _ in headers}
    if _TRANSFER_ENCODING not in names:
        return None
    if _CONTENT_LENGTH in names:
        return "Content-Length and Transfer-Encoding exclude each other"
    if scope["http_version"] == _HTTP_1_0:
        return "HTTP/1.0 knows no Transfer-Encoding"
    return None


def _target_doubt(target: bytes, headers: Headers) -> str | None:
    """Return why it is in doubt what is asked of whom (RFC 9112, sections 3.2 and 7.2)."""
    host = next((value for name, value in headers if name == _HOST), b"")
    if _HOST_VALUE.fullmatch(host) is None:
        return "Host names no host"
    if _FRAGMENT in target:
        return "a target has no fragment"
    absolute = _ABSOLUTE_TARGET.fullmatch(target)
    if absolute is not None and absolute[1].lower() != host.lower():
        return "the target names another host than Host"
    return None
