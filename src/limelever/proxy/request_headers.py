"""Selects the request headers that are forwarded to the back end."""

from __future__ import annotations

from collections.abc import Container

from limelever.common.http_headers import Headers, end_to_end
from limelever.proxy.call_types import (
    ERROR_HEADER,
    GROUP_HEADER,
    OUTCOME_HEADER,
)

_MESH_HEADERS = frozenset({GROUP_HEADER, OUTCOME_HEADER, ERROR_HEADER})
_REMOVED_FROM_REQUESTS = _MESH_HEADERS | {b"content-length", b"expect"}


def backend_headers(headers: Headers, added: Headers, reserved: Container[bytes]) -> Headers:
    """Return the request headers for the back end, with ``added`` appended.

    ``reserved`` are the names that only the proxy may set, on every route; headers of the caller
    under these names are removed.
    """
    forwarded = [
        header
        for header in end_to_end(headers)
        if header[0] not in _REMOVED_FROM_REQUESTS and header[0] not in reserved
    ]
    return (*forwarded, *added)
