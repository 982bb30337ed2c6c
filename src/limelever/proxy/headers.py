"""Which headers of a caller's request pass to the back end."""

from __future__ import annotations

from collections.abc import Container

from limelever.common.http_headers import Headers, end_to_end
from limelever.proxy.call_types import (
    ERROR_HEADER,
    GROUP_HEADER,
    OUTCOME_HEADER,
)

_OWN = frozenset({GROUP_HEADER, OUTCOME_HEADER, ERROR_HEADER})
_REMOVED_FROM_REQUESTS = _OWN | {b"content-length", b"expect"}


def towards_backend(headers: Headers, added: Headers, reserved: Container[bytes]) -> Headers:
    """Return the request headers for the back end: ``added`` ones replace a caller's own.

    ``reserved`` are the names that only the proxy may set, on whatever route.
    """
    passed = [
        header
        for header in end_to_end(headers)
        if header[0] not in _REMOVED_FROM_REQUESTS and header[0] not in reserved
    ]
    return (*passed, *added)
