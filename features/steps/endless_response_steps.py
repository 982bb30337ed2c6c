"""Steps for responses and requests that do not end."""

from __future__ import annotations

import time

import trio
from behave import then, when
from endless_parts import endless
from upgrade_offer_steps import Collector

from limelever.agent.backend_client import BackendClient
from limelever.agent.interface import AttemptFailed, StartAttempt
from limelever.agent.response_parser import ResponseParser
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind
from limelever.common.sansio import Address
from limelever.transport.http_requests import RequestReader

MEBIBYTE = 1 << 20
BODY_LIMIT = 2 * MEBIBYTE
DEADLINE_SECONDS, SHORT_DEADLINE_SECONDS = 20.0, 0.5
BYTE_SECONDS = 0.002
MOST_OF_A_REQUEST = 4 * MEBIBYTE


class EndlessBackend:
    """Sends a response that doesn't end, and counts what was taken of it."""

    def __init__(self, part: str, *, slowly: bool) -> None:
        self._part, self._slowly = part, slowly
        self.taken = 0

    async def handle(self, stream):
        await stream.receive_some(4096)
        try:
            for data in endless(self._part, b"HTTP/1.1 200 OK\r\n"):
                await self._send(stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _send(self, stream, data):
        pieces = [data[n : n + 1] for n in range(len(data))] if self._slowly else [data]
        for piece in pieces:
            await stream.send_all(piece)
            self.taken += len(piece)
            if self._slowly:
                await trio.sleep(BYTE_SECONDS)


def call(context, part, *, slowly):
    context.backend = EndlessBackend(part, slowly=slowly)
    context.events = []
    deadline = SHORT_DEADLINE_SECONDS if slowly else DEADLINE_SECONDS

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, context.backend.handle, 0)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            settings = BackendSettings(address=address, max_response_bytes=BODY_LIMIT)
            client = BackendClient(settings, nursery, context.events.append)
            client.start(StartAttempt(1, "s", b"GET", b"/", (), b"", deadline))
            while not context.events:
                await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    began = time.monotonic()
    trio.run(run)
    context.took = time.monotonic() - began


@when("an instance sends {part} without end, as fast as it is taken")
def when_fast(context, part):
    call(context, part, slowly=False)


@when("an instance sends {part} without end, a byte at a time")
def when_slow(context, part):
    call(context, part, slowly=True)


@then("the endless response has failed within {seconds:g} seconds, long before the deadline")
def then_fails(context, seconds):
    (event,) = context.events
    assert isinstance(event, AttemptFailed) and event.sent_any_byte and not event.refused, event
    assert event.failure.kind is ErrorKind.BACKEND_FAILED, event
    assert context.took < seconds < DEADLINE_SECONDS, context.took


@then("the instance's connection was closed after {most:d} MiB at most")
def then_closed(context, most):
    assert context.backend.taken <= most * MEBIBYTE, context.backend.taken


@then("the endless response has failed at the deadline")
def then_deadline(context):
    (event,) = context.events
    assert event.failure.kind is ErrorKind.DEADLINE_EXCEEDED, event


@then("a response with a head of 60 kB and 5000 chunks of one byte is read whole")
def then_whole(context):
    parser = ResponseParser(b"GET", BODY_LIMIT)
    parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Long: ")
    for _ in range(60):
        parser.feed(b"x" * 1000)
    parser.feed(b"\r\n\r\n")
    for _ in range(5000):
        for byte in (b"1", b"\r", b"\n", b"a", b"\r", b"\n"):
            parser.feed(byte)
    parser.feed(b"0\r\nX-End: 1\r\n\r\n")
    assert parser.response is not None and len(parser.response.body) == 5000, parser.failure
    assert parser.reusable


@when("a client sends {part} without end in a request")
def when_endless_request(context, part):
    context.collector = Collector()
    reader = RequestReader(context.collector, 16384)
    fed = 0
    for data in endless(part, b"POST / HTTP/1.1\r\nHost: a\r\n"):
        reader.feed(data)
        fed += len(data)
        if reader.ended or fed > MOST_OF_A_REQUEST:
            return


@then("that request is refused as headers-too-large")
def then_request_refused(context):
    failure = context.collector.failure
    assert failure is not None and failure.kind is ErrorKind.HEADERS_TOO_LARGE, failure
