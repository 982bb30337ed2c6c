"""Sans-io parser for one HTTP/1.1 response of the backend, based on httptools."""

from __future__ import annotations

from typing import NoReturn

import httptools

from limelever.agent.response_head import PROTOCOL, extend_start, head_fault
from limelever.common.body_buffer import BodyBuffer
from limelever.common.byte_budget import SMALL_BYTES
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import headers_size, value_of
from limelever.common.http_messages import FINAL_STATUSES, HttpAnswer
from limelever.common.numbers import parse_count

_HEAD = b"HEAD"
_CHUNKED = b"chunked"
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_OPTIONAL_SPACE = b" \t"
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
"""Default limit on what a back end sends beside the body of a response."""

_UNKNOWN_LENGTH_BYTES = 1 << 20
"""Reservation for a body of unknown length; one that exceeds it may become the largest body."""

_NO_BODY = frozenset({204, 304})


class _StopParsingError(Exception):
    """Aborts httptools from a callback: the response is complete or invalid."""


class ResponseParser:
    """Parses the response to one request, skipping informational (1xx) responses.

    A body has ``max_bytes`` at most. ``max_head_bytes`` bounds the head with the informational
    responses before it, and what comes between two parts of a body: chunk extensions and trailers.
    ``response`` is set once it is complete, ``failure`` if it is invalid or incomplete.
    ``reusable`` then tells whether the connection can carry another request: no surplus data was
    received and neither side closes it.
    """

    def __init__(
        self, method: bytes, max_bytes: int, max_head_bytes: int = MAX_RESPONSE_HEAD_BYTES
    ) -> None:
        self.response: HttpAnswer | None = None
        self.failure: Failure | None = None
        self.connection_ended = False
        self.reusable = False
        self._method = method
        self._max_bytes = max_bytes
        self._max_head_bytes = max_head_bytes
        self._overhead_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._status = 0
        self._start = b""
        self._in_head = False
        self._until_close = False
        self._declared_bytes: int | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BodyBuffer()

    @property
    def required_bytes(self) -> int:
        """Return how many bytes have to be reserved before more are received."""
        if self._declared_bytes is not None:
            return self._declared_bytes
        received = len(self._body)
        if received < SMALL_BYTES:
            return received
        return _UNKNOWN_LENGTH_BYTES if received < _UNKNOWN_LENGTH_BYTES else self._max_bytes

    @property
    def finished(self) -> bool:
        """Return whether a response or a failure is available."""
        return self.response is not None or self.failure is not None

    def feed(self, data: bytes) -> None:
        """Parse bytes received from the backend."""
        if self.finished:
            self.reusable = False
            return
        body_bytes = len(self._body)
        try:
            self._check_start(data)
            self._parser.feed_data(data)
        except _StopParsingError:
            pass
        except httptools.HttpParserUpgrade:
            self._fail("backend switched protocols")
        except httptools.HttpParserError as error:
            if self.response is not None:
                self.reusable = False
            elif self.failure is None:
                self._fail(f"invalid HTTP response: {error}")
        if not self.finished:
            self._count_overhead(len(data), body_grew=len(self._body) > body_bytes)
        if self.finished:
            self.close()

    def _count_overhead(self, size: int, *, body_grew: bool) -> None:
        """Fail a response that has sent too much without a part of its body."""
        self._overhead_bytes = 0 if body_grew else self._overhead_bytes + size
        if self._overhead_bytes > self._max_head_bytes:
            where = "head" if self._in_head or not self._is_final else "chunks or trailers"
            self._fail(f"response {where} exceeds {self._max_head_bytes} bytes")

    def _check_start(self, data: bytes) -> None:
        """Fail what does not begin with the protocol's name; the parser takes others as well."""
        if len(self._start) < len(PROTOCOL):
            self._start = extend_start(self._start, data)
            if not PROTOCOL.startswith(self._start):
                self._abort("bytes that are no HTTP response")

    @property
    def _is_final(self) -> bool:
        return self._status in FINAL_STATUSES

    def close(self) -> None:
        """Release the received body.

        The parser and this object refer to each other, so that the body would otherwise be kept
        until a garbage collection.
        """
        self._parser = httptools.HttpResponseParser(None)
        self._body.clear()

    def handle_close(self) -> None:
        """Handle end of stream; it completes a response that has no length."""
        if self.finished:
            return
        if self._until_close and not self._in_head:
            self._complete()
        else:
            self.connection_ended = True
            self._fail("backend closed the connection before its response was complete")

    def handle_error(self, reason: str) -> None:
        """Handle a connection error; a response without a length is incomplete then."""
        if not self.finished:
            self.connection_ended = True
            self._fail(f"connection failed: {reason}")

    def _fail(self, reason: str) -> None:
        self._body.clear()
        self.reusable = False
        self.failure = Failure(ErrorKind.BACKEND_FAILED, reason)

    def _abort(self, reason: str) -> NoReturn:
        """Fail from within a callback of the parser."""
        self._fail(reason)
        raise _StopParsingError

    def _complete(self) -> None:
        self.response = HttpAnswer(self._status, tuple(self._headers), self._body.take())

    # --- httptools callbacks ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a response; one after the complete response belongs to no request."""
        if self.finished:
            raise _StopParsingError
        self._in_head = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), value.rstrip(_OPTIONAL_SPACE)))

    def on_headers_complete(self) -> None:
        """Determine the body framing (RFC 9112, section 6.3)."""
        self._in_head = False
        self._status = self._parser.get_status_code()
        headers = tuple(self._headers)
        fault = head_fault(self._parser.get_http_version(), self._status, headers)
        if fault:
            self._abort(fault)
        if not self._is_final:
            return
        self._overhead_bytes = 0
        if headers_size(headers) > self._max_head_bytes:
            self._abort(f"response head exceeds {self._max_head_bytes} bytes")
        coding = value_of(headers, _TRANSFER_ENCODING).lower()
        if coding not in (b"", _CHUNKED):
            self._abort("unsupported transfer coding in response")
        if self._method == _HEAD:
            self._complete()
            raise _StopParsingError
        declared = value_of(headers, _CONTENT_LENGTH)
        if declared:
            self._declared_bytes = parse_count(declared)
            if self._declared_bytes is None or self._declared_bytes > self._max_bytes:
                self._abort(f"response body exceeds {self._max_bytes} bytes")
        self._until_close = not (coding or declared or self._status in _NO_BODY)

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        if len(self._body) + len(part) > self._max_bytes:
            self._abort(f"response body exceeds {self._max_bytes} bytes")
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is informational."""
        if not self._is_final:
            return
        self._complete()
        self.reusable = self._parser.should_keep_alive()
