"""Steps for the bounds of a request's head, at the parser."""

from __future__ import annotations

import tracemalloc

from behave import given, then, when

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import headers_size
from limelever.common.http_messages import HttpRequest
from limelever.transport.http_requests import RequestReader

START = b"GET / HTTP/1.1\r\nhost: a\r\n"
WHOLE = START + b"\r\n"
LARGEST_HEAD_BYTES = 512


class RecordingSink:
    """Keeps what a reader has parsed."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.failures: list[Failure] = []

    def head_read(self, request: HttpRequest, awaits_continue: bool) -> Failure | None:
        return None

    def body_read(self, size: int) -> Failure | None:
        return None

    def request_read(self, request: HttpRequest) -> None:
        self.requests.append(request)

    def refused(self, failure: Failure) -> None:
        self.failures.append(failure)


def feed(context, *parts: bytes) -> None:
    """Feed parts, and note the most memory that is used meanwhile."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        tracemalloc.reset_peak()
        for part in parts:
            context.reader.feed(part)
        context.built_bytes = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()


@given("a reader of requests whose heads have at most {size:d} bytes")
def given_reader(context, size):
    context.sink = RecordingSink()
    context.reader = RequestReader(context.sink, size)


@when("it receives the start of a head and {size:d} bytes of short lines at once")
def when_short_lines(context, size):
    feed(context, START + b"a:\r\n" * (size // 4))


@when("it receives the start of a head and {size:d} bytes of one value at once")
def when_value(context, size):
    feed(context, START + b"a: " + b"x" * size)


@when("it receives {size:d} bytes of one target at once")
def when_target(context, size):
    feed(context, b"GET /" + b"x" * size)


@when("it receives {size:d} bytes of empty lines {times:d} times")
def when_empty_lines(context, size, times):
    feed(context, *[b"\r\n" * (size // 2)] * times)


@when("it receives a whole request and {size:d} bytes of a head that does not end at once")
def when_behind(context, size):
    feed(context, WHOLE + START + b"a: " + b"x" * size)


@then("it has refused a head, and built less than {most:d} bytes")
def then_refused(context, most):
    assert [each.kind for each in context.sink.failures] == [ErrorKind.HEADERS_TOO_LARGE]
    assert context.built_bytes < most, context.built_bytes


@then("it has read {count:d} request, and refused a head")
def then_read_and_refused(context, count):
    assert len(context.sink.requests) == count
    assert [each.kind for each in context.sink.failures] == [ErrorKind.HEADERS_TOO_LARGE]


@when("a head of the largest size is received in two parts, cut anywhere")
def when_largest(context):
    rest = LARGEST_HEAD_BYTES - headers_size(((b"host", b"a"), (b"b", b""))) - len(b"/")
    head = START + b"b: " + b"x" * rest + b"\r\n\r\n"
    context.sinks = []
    for cut in range(1, len(head) + 1):
        sink = RecordingSink()
        reader = RequestReader(sink, LARGEST_HEAD_BYTES)
        for part in (head[:cut], head[cut:]):
            reader.feed(part)
        context.sinks.append(sink)


@then("it is read each time")
def then_read(context):
    assert all(len(sink.requests) == 1 and not sink.failures for sink in context.sinks)
