"""Steps for a connection's idle time, on a virtual clock over streams in memory."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio
import trio.testing
from behave import then, when

from limelever.transport.asgi import AsgiHandler
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_limits import HttpLimits

REQUEST = b"GET /orders HTTP/1.1\r\nhost: a\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 200"
LONGEST_SECONDS = 100.0


@dataclass
class ConnectionTimes:
    """Virtual seconds at which the client saw answers begin, and the connection end."""

    answers: list[float] = field(default_factory=list)
    end: float = -1.0


async def answer_after(delay: float, scope: Any, receive: Any, send: Any) -> None:
    await trio.sleep(delay)
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def ask_at(stream: trio.abc.SendStream, starts: tuple[float, ...]) -> None:
    for start in starts:
        await trio.sleep_until(start)
        await stream.send_all(REQUEST)


async def watch(idle: float, delay: float, starts: tuple[float, ...]) -> ConnectionTimes:
    client, server = trio.testing.memory_stream_pair()
    handler = AsgiHandler(partial(answer_after, delay), max_body_bytes=0)
    times = ConnectionTimes()
    with trio.move_on_after(LONGEST_SECONDS):
        async with trio.open_nursery() as nursery:
            connection = Http1Connection(server, handler, HttpLimits(idle=idle), nursery)
            await converse(connection, client, starts, times)
    return times


async def converse(
    connection: Http1Connection,
    client: trio.abc.Stream,
    starts: tuple[float, ...],
    times: ConnectionTimes,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.run)
        nursery.start_soon(ask_at, client, starts)
        while data := await client.receive_some(65536):
            if STATUS_LINE in data:
                times.answers.append(trio.current_time())
        times.end = trio.current_time()
        await client.aclose()


def run_connection(context, idle, delay, *starts):
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.connection = trio.run(watch, idle, delay, starts, clock=clock)


@when(
    "a connection of {idle:d} idle seconds carries a request of {delay:d} seconds "
    "that begins after {start:d}"
)
def when_long_request(context, idle, delay, start):
    run_connection(context, idle, delay, start)


@when(
    "a connection of {idle:d} idle seconds carries requests of {delay:d} seconds "
    "that begin after {first:d} and {second:d}"
)
def when_two_requests(context, idle, delay, first, second):
    run_connection(context, idle, delay, first, second)


@when("a connection of {idle:d} idle seconds carries no request")
def when_no_request(context, idle):
    run_connection(context, idle, 0)


@then("the connection's answer came at {answer:d} seconds and its end at {end:d}")
def then_answer_and_end(context, answer, end):
    assert context.connection == ConnectionTimes([answer], end), context.connection


@then("the connection's answers came at {first:d} and {second:d} seconds and its end at {end:d}")
def then_answers_and_end(context, first, second, end):
    assert context.connection == ConnectionTimes([first, second], end), context.connection


@then("the connection's end came at {end:d} seconds")
def then_end(context, end):
    assert context.connection == ConnectionTimes([], end), context.connection
