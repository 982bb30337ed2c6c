"""Whole HTTP messages, as listeners and cores pass them to each other."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.http_headers import Headers

HTTP_1_0 = "1.0"
HTTP_1_1 = "1.1"
HTTP_2 = "2"

FINAL_STATUSES = range(200, 600)
"""Statuses that end an exchange (RFC 9110, section 15); 1xx come before them, no others exist."""


class HttpRequest(Struct):
    """A request; header names are in lower case, ``version`` is as HTTP/1 writes it.

    ``target`` is as the client sent it, with the query. ``body`` is complete once the request has
    been read whole. ``keep_alive`` says whether the client keeps the connection for others.
    """

    method: bytes
    target: bytes
    version: str
    headers: Headers
    body: bytes = b""
    keep_alive: bool = True


class HttpAnswer(Struct, frozen=True):
    """A whole answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
