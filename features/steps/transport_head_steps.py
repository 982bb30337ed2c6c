"""Steps for the bounds of a request's head, at the parser and on a connection."""

from __future__ import annotations

import tracemalloc
from functools import partial
from typing import Any

import trio
import trio.testing
from behave import given, then, when

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import headers_size
from limelever.common.http_messages import HttpRequest
from limelever.transport.asgi import AsgiHandler
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_limits import HttpLimits
from limelever.transport.http_requests import RequestReader

START = b"GET / HTTP/1.1\r\nhost: a\r\n"
WHOLE = START + b"\r\n"
LARGEST_HEAD_BYTES = 512
LONGEST_SECONDS = 1000.0


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


async def answer_nothing(scope: Any, receive: Any, send: Any) -> None:
    raise AssertionError("no request was whole")


async def send_each_second(stream: trio.abc.SendStream, first: bytes, part: bytes) -> None:
    """Send until the connection ends."""
    try:
        await stream.send_all(first)
        while True:
            await trio.sleep(1)
            await stream.send_all(part)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def time_of_end(idle: float, head: float, first: bytes, part: bytes) -> float:
    """Return when the client saw the connection end."""
    client, server = trio.testing.memory_stream_pair()
    handler = AsgiHandler(answer_nothing, max_body_bytes=0)
    ended_at = -1.0
    with trio.move_on_after(LONGEST_SECONDS):
        async with trio.open_nursery() as nursery:
            limits = HttpLimits(idle=idle, head=head)
            connection = Http1Connection(server, handler, limits, nursery)
            nursery.start_soon(connection.run)
            nursery.start_soon(send_each_second, client, first, part)
            while await client.receive_some(65536):
                pass
            ended_at = trio.current_time()
            await client.aclose()
            nursery.cancel_scope.cancel()
    return ended_at


def run_slow(context, idle: float, head: float, first: bytes, part: bytes) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.ended_at = trio.run(partial(time_of_end, idle, head, first, part), clock=clock)


@when(
    "a connection of {idle:d} idle seconds, and {head:d} for a head, "
    "receives a byte of a head each second"
)
def when_slow_head(context, idle, head):
    run_slow(context, idle, head, START, b"x")


@when(
    "a connection of {idle:d} idle seconds, and {head:d} for a head, "
    "receives an empty line each second"
)
def when_slow_lines(context, idle, head):
    run_slow(context, idle, head, b"\r\n", b"\r\n")


@then("the connection ended at {end:d} seconds")
def then_ended(context, end):
    assert context.ended_at == end, context.ended_at
