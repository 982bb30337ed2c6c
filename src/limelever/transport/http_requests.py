"""Sans-I/O parser for HTTP/1 requests, based on httptools.

None of the parser's lenient flags is set. Requests that it accepts although a back end could parse
them differently are refused by ``request_checks``. Trailer fields are dropped.
"""

from __future__ import annotations

import httptools

from limelever.common.body_buffer import BodyBuffer
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HEADER_OVERHEAD
from limelever.common.http_messages import HTTP_1_1, HttpRequest
from limelever.transport.head_reservation import HeadPool, HeadReservations
from limelever.transport.request_checks import check_request
from limelever.transport.request_framing import framing_head, is_framed
from limelever.transport.request_sink import RequestSink

_EXPECT = (b"expect", b"100-continue")
_OPTIONAL_SPACE = b" \t"
_CODING_ERROR = "Invalid `Transfer-Encoding`"
"""Prefix of the parser's error for an unknown coding, in the pinned version."""


REQUEST_LINE_BYTES = 64
"""Allowance for method, version and line ends, which ``max_head_bytes`` does not cover."""


class _RefusedError(Exception):
    """Aborts httptools from a callback; the reader keeps the reason."""


def _parser_refusal(error: httptools.HttpParserError) -> Failure:
    if str(error).startswith(_CODING_ERROR):
        return Failure(ErrorKind.UNKNOWN_CODING, "chunked is the only transfer coding served")
    return Failure(ErrorKind.INVALID_REQUEST, f"this is not a request: {error}")


class RequestReader:
    """Parses the requests of one connection and passes each complete one to ``sink``.

    ``ended`` is set after a refusal and after the client's last request. ``max_head_bytes`` bounds
    a request's target and headers. Received bytes are counted before they are parsed, in pieces
    no larger than what the limit leaves, empty lines before a request included.
    """

    def __init__(
        self, sink: RequestSink, max_head_bytes: int, heads: HeadReservations | None = None
    ) -> None:
        self.ended = False
        self._heads = heads or HeadReservations(HeadPool(), self.refuse)
        self._sink = sink
        self._max_head_bytes = max_head_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request: HttpRequest | None = None
        self._in_head = False
        self._resuming = False
        self._body_skipped = False
        self._received_bytes = 0
        self._field_bytes = 0
        self._overhead_bytes = 0
        self._completed = 0
        self._target: list[bytes] = []
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BodyBuffer()
        self._refusal: Failure | None = None

    @property
    def within_head(self) -> bool:
        """Return whether a request's head is incomplete; empty lines before one begin it."""
        return self._in_head or self._received_bytes > 0

    @property
    def within_body(self) -> bool:
        """Return whether a request's body is incomplete."""
        return self._request is not None

    def feed(self, data: bytes) -> None:
        """Parse bytes received from the client; they are dropped once ``ended`` is set."""
        start = 0
        while start < len(data) and not self.ended:
            end = start + self._max_received - self._received_bytes
            refusal = self._fed_piece(data[start:end])
            if refusal is not None:
                self.refuse(refusal)
            start = end

    def refuse(self, failure: Failure) -> None:
        """End the parsing with a failure."""
        self.close()
        self._sink.refused(failure)

    def close(self) -> None:
        """End the parsing and release the received head and body.

        The parser and this object refer to each other, so that they would otherwise be kept
        until a garbage collection.
        """
        self.ended = True
        self._request = None
        self._target, self._headers = [], []
        self._body.clear()
        self._parser = httptools.HttpRequestParser(None)

    @property
    def _max_received(self) -> int:
        return self._max_head_bytes + REQUEST_LINE_BYTES

    def _fed_piece(self, data: bytes) -> Failure | None:
        """Parse a piece, and return why its request is refused."""
        request, completed, body_bytes = self._request, self._completed, len(self._body)
        refusal = self._fed(data)
        if refusal is not None:
            return refusal
        if request is not None and request is self._request:
            return self._count_body_overhead(len(data), len(self._body) > body_bytes)
        self._overhead_bytes = 0
        if self._request is not None or self._completed > completed:
            # What follows a request in this piece is counted once it is parsed.
            self._received_bytes = 0
            return None
        self._received_bytes += len(data)
        if self._received_bytes >= self._max_received:
            return self._too_long()
        return self._heads.grow(self._received_bytes, len(self._headers))

    def _count_body_overhead(self, size: int, any_body: bool) -> Failure | None:
        """Count bytes that added nothing to the body: chunk extensions and trailers."""
        self._overhead_bytes = 0 if any_body else self._overhead_bytes + size
        if self._overhead_bytes <= self._max_head_bytes:
            return None
        reason = f"chunk extensions or trailers are over {self._max_head_bytes} bytes"
        return Failure(ErrorKind.HEADERS_TOO_LARGE, reason)

    def _count_field(self, size: int) -> None:
        """Count parsed bytes of a head; abort the parsing over the limit or without memory."""
        self._field_bytes += size
        if self._field_bytes > self._max_head_bytes:
            self._refuse_within(self._too_long())
        failure = self._heads.grow(self._field_bytes, len(self._headers))
        if failure is not None:
            self._refuse_within(failure)

    def _fed(self, data: bytes) -> Failure | None:
        while data and not self.ended:
            try:
                self._parser.feed_data(data)
                return None
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
                self._resume_body()
            except httptools.HttpParserError as error:
                if self.ended:
                    return None
                if self._refusal is not None:
                    return self._refusal
                return _parser_refusal(error)
        return None

    def _resume_body(self) -> None:
        """Let the new parser expect the body of a request that offered another protocol.

        The offer is ignored (RFC 9110, section 7.8), but the previous parser skipped the body.
        """
        if self._request is None:
            return
        self._resuming = True
        self._parser.feed_data(framing_head(self._request.headers))
        self._resuming = False

    def _too_long(self) -> Failure:
        reason = f"headers are over {self._max_head_bytes} bytes"
        return Failure(ErrorKind.HEADERS_TOO_LARGE, reason)

    def _refuse_within(self, failure: Failure) -> None:
        self._refusal = failure
        raise _RefusedError

    # --- httptools callbacks ----------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request, unless the previous one was its client's last."""
        if self._resuming:
            return
        if self.ended:
            raise _RefusedError
        self._in_head = True
        self._field_bytes = 0
        self._target = []
        self._headers = []

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        if not self._resuming:
            self._count_field(len(part))
            self._target.append(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped."""
        if self._in_head:
            value = value.rstrip(_OPTIONAL_SPACE)
            self._count_field(len(name) + len(value) + HEADER_OVERHEAD)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink."""
        if self._resuming:
            return
        self._in_head = False
        parser = self._parser
        headers, target = tuple(self._headers), b"".join(self._target)
        request = HttpRequest(parser.get_method(), target, parser.get_http_version(), headers)
        request.keep_alive = parser.should_keep_alive() and request.version == HTTP_1_1
        awaits_continue = _EXPECT in headers and request.version == HTTP_1_1
        failure = check_request(request) or self._sink.head_read(request, awaits_continue)
        if failure is not None:
            self._refuse_within(failure)
        self._request = request
        self._body_skipped = parser.should_upgrade() and is_framed(headers)

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        failure = self._sink.body_read(len(part))
        if failure is not None:
            self._refuse_within(failure)
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Pass the complete request to the sink."""
        if self._body_skipped:
            self._body_skipped = False
            return
        request = self._request
        assert request is not None
        self._request = None
        self._completed += 1
        request.body = self._body.take()
        self.ended = not request.keep_alive
        self._sink.request_read(request)
