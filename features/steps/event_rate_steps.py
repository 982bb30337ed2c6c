"""Steps for the rate of a guarded listener's events, over streams in memory in virtual time."""

from __future__ import annotations

from typing import Any

import trio
import trio.testing
from behave import given, then, when
from transport_server import EventLog

from limelever.transport.events import ADMIN_CONNECTION_FAILED, ADMIN_CONNECTION_LIMIT
from limelever.transport.http1_connection import HTTP_2_PREFACE
from limelever.transport.http_guard import GuardOptions, application_service, serve_guarded
from limelever.transport.http_limits import HttpLimits
from limelever.transport.metrics import EVENTS

OPTIONS = GuardOptions(
    listener="test",
    connection_limit=1,
    stop_limit=1.0,
    failed_event=ADMIN_CONNECTION_FAILED,
    limit_event=ADMIN_CONNECTION_LIMIT,
)
BAD_FRAME = HTTP_2_PREFACE + b"\xff" * 9
CODES = {
    "failed connections": ADMIN_CONNECTION_FAILED,
    "connections over the limit": ADMIN_CONNECTION_LIMIT,
}


class MemoryListener(trio.abc.Listener[Any]):
    """Accepts connections in memory."""

    def __init__(self) -> None:
        self._connect, self._accept = trio.open_memory_channel[trio.abc.Stream](100)

    async def connect(self) -> trio.abc.Stream:
        client, server = trio.testing.memory_stream_pair()
        await self._connect.send(server)
        return client

    async def accept(self) -> trio.abc.Stream:
        return await self._accept.receive()

    async def aclose(self) -> None:
        self._accept.close()


async def answer(scope: Any, receive: Any, send: Any) -> None:
    raise AssertionError("no request is sent")


async def serve(each: Any) -> None:
    """Serve 50 clients in a second and another one later, each handled by ``each``."""
    listener = MemoryListener()
    service = application_service(answer, HttpLimits(idle=100.0), 0)
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_guarded, service, [listener], OPTIONS, shutdown)
        for _ in range(50):
            await trio.sleep(0.01)
            await each(await listener.connect())
        await trio.sleep(2)
        await each(await listener.connect())
        await trio.sleep(1)
        shutdown.set()


async def break_protocol(client: trio.abc.Stream) -> None:
    await client.send_all(BAD_FRAME)
    while await client.receive_some(1000):
        pass


async def stay(client: trio.abc.Stream) -> None:
    """Send nothing."""


@given("a guarded listener that serves one connection at a time")
def given_listener(context):
    context.event_log = EventLog()
    context.add_cleanup(context.event_log.close)
    context.counted_before = {code: EVENTS.labels(str(code)).read() for code in CODES.values()}


@when("50 clients in one second, and another one 2 seconds later, break the protocol")
def when_break(context):
    trio.run(serve, break_protocol, clock=trio.testing.MockClock(autojump_threshold=0))


@when("50 clients in one second, and another one 2 seconds later, stay beside each other")
def when_stay(context):
    trio.run(serve, stay, clock=trio.testing.MockClock(autojump_threshold=0))


@then("that listener has logged {event} {lines:d} times, the last time for {count:d} connections")
def then_logged(context, event, lines, count):
    context.code = CODES[event]
    logged = [line.fields.get("connections") for line in context.event_log.of(context.code)]
    assert logged == [1] * (lines - 1) + [count], logged


@then("the metric of events has counted {count:d} of them")
def then_counted(context, count):
    counted = EVENTS.labels(str(context.code)).read() - context.counted_before[context.code]
    assert counted == count, counted
