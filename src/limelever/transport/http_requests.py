"""Sans-I/O parser for HTTP/1 requests, based on httptools.

None of the parser's lenient flags is set. Requests that it accepts although a back end could parse
them differently are refused by ``request_checks``. Trailer fields are dropped.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from limelever.common.body_buffer import BodyBuffer
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers, headers_size
from limelever.common.http_messages import HTTP_1_1, HttpRequest
from limelever.transport.request_checks import check_request

_EXPECT = (b"expect", b"100-continue")
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_OPTIONAL_SPACE = b" \t"
_CODING_ERROR = "Invalid `Transfer-Encoding`"
"""Prefix of the parser's error for an unknown coding, in the pinned version."""


class RequestSink(Protocol):
    """Receives what the reader has parsed; a returned failure ends the parsing."""

    def head_read(self, request: HttpRequest, awaits_continue: bool) -> Failure | None:
        """Handle a request's head; ``awaits_continue`` if the client expects 100 Continue."""

    def body_read(self, size: int) -> Failure | None:
        """Count ``size`` more bytes of the body."""

    def request_read(self, request: HttpRequest) -> None:
        """Handle a complete request."""

    def refused(self, failure: Failure) -> None:
        """Handle the reason why the current request cannot be parsed."""


class _RefusedError(Exception):
    """Aborts httptools from a callback; the reader keeps the reason."""


def _is_framed(headers: Headers) -> bool:
    return any(name in _FRAMING for name, _ in headers)


def _framing_head(headers: Headers) -> bytes:
    """Return a request head whose body is framed as that of a request with these headers."""
    framing = [b"%b: %b\r\n" % header for header in headers if header[0] in _FRAMING]
    return b"".join((b"POST / HTTP/1.1\r\n", *framing, b"\r\n"))


def _parser_refusal(error: httptools.HttpParserError) -> Failure:
    if str(error).startswith(_CODING_ERROR):
        return Failure(ErrorKind.UNKNOWN_CODING, "chunked is the only transfer coding served")
    return Failure(ErrorKind.INVALID_REQUEST, f"this is not a request: {error}")


class RequestReader:
    """Parses the requests of one connection and passes each complete one to ``sink``.

    ``ended`` is set after a refusal and after the client's last request.
    """

    def __init__(self, sink: RequestSink, max_head_bytes: int) -> None:
        self.ended = False
        self._sink = sink
        self._max_head_bytes = max_head_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._request: HttpRequest | None = None
        self._in_head = False
        self._resuming = False
        self._body_skipped = False
        self._head_bytes = 0
        self._overhead_bytes = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = BodyBuffer()
        self._refusal: Failure | None = None

    @property
    def within_body(self) -> bool:
        """Return whether a request's body is incomplete."""
        return self._request is not None

    def feed(self, data: bytes) -> None:
        """Parse bytes received from the client; they are dropped once ``ended`` is set."""
        if self.ended:
            return
        if self._in_head:
            self._head_bytes += len(data)
        request, body_bytes = self._request, len(self._body)
        refusal = self._fed(data)
        in_same_body = request is not None and request is self._request
        if in_same_body and len(self._body) == body_bytes:
            self._overhead_bytes += len(data)
        else:
            self._overhead_bytes = 0
        if refusal is None and self._in_head and self._head_bytes > self._max_head_bytes:
            refusal = self._too_long()
        elif refusal is None and self._overhead_bytes > self._max_head_bytes:
            reason = f"chunk extensions or trailers are over {self._max_head_bytes} bytes"
            refusal = Failure(ErrorKind.HEADERS_TOO_LARGE, reason)
        if refusal is not None:
            self.refuse(refusal)

    def refuse(self, failure: Failure) -> None:
        """End the parsing with a failure."""
        self.close()
        self._sink.refused(failure)

    def close(self) -> None:
        """End the parsing and release the received body.

        The parser and this object refer to each other, so that the body would otherwise be kept
        until a garbage collection.
        """
        self.ended = True
        self._request = None
        self._body.clear()
        self._parser = httptools.HttpRequestParser(None)

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
        self._parser.feed_data(_framing_head(self._request.headers))
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
        self._head_bytes = 0
        self._target = b""
        self._headers = []

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        if not self._resuming:
            self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped."""
        if self._in_head:
            self._headers.append((name.lower(), value.rstrip(_OPTIONAL_SPACE)))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink."""
        if self._resuming:
            return
        self._in_head = False
        parser = self._parser
        headers = tuple(self._headers)
        if headers_size(headers) + len(self._target) > self._max_head_bytes:
            self._refuse_within(self._too_long())
        request = HttpRequest(parser.get_method(), self._target, parser.get_http_version(), headers)
        request.keep_alive = parser.should_keep_alive() and request.version == HTTP_1_1
        awaits_continue = _EXPECT in headers and request.version == HTTP_1_1
        failure = check_request(request) or self._sink.head_read(request, awaits_continue)
        if failure is not None:
            self._refuse_within(failure)
        self._request = request
        self._body_skipped = parser.should_upgrade() and _is_framed(headers)

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
        request.body = self._body.take()
        self.ended = not request.keep_alive
        self._sink.request_read(request)
