"""Steps for the memory of a listener's heads, over streams in memory on a virtual clock."""

from __future__ import annotations

import re
from typing import Any

import trio
import trio.testing
from behave import given, then, when

from limelever.transport.asgi import AsgiHandler
from limelever.transport.head_reservation import FIELD_BYTES, HeadPool
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_limits import HttpLimits

START = b"GET / HTTP/1.1\r\nhost: a\r\n"
END = b"\r\n"
FIELDS = 400
SERVE_SECONDS = 5.0
STEP_SECONDS = 1.0
LONGEST_SECONDS = 100.0
STATUS = re.compile(rb"HTTP/1.1 (\d+)")


async def answer_later(scope: Any, receive: Any, send: Any) -> None:
    await trio.sleep(SERVE_SECONDS)
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def converse(pool: HeadPool, sendings: list[list[bytes]]) -> list[list[int]]:
    """Let one client for each list send its parts, in turn; return the statuses each one got."""
    received = [b""] * len(sendings)

    async def collect(number: int, stream: trio.abc.ReceiveStream) -> None:
        while data := await stream.receive_some(65536):
            received[number] += data

    handler = AsgiHandler(answer_later, max_body_bytes=0)
    with trio.move_on_after(LONGEST_SECONDS):
        async with trio.open_nursery() as nursery:
            clients = []
            for number in range(len(sendings)):
                client, server = trio.testing.memory_stream_pair()
                limits = HttpLimits(idle=LONGEST_SECONDS)
                connection = Http1Connection(server, handler, limits, nursery, pool)
                nursery.start_soon(connection.run)
                nursery.start_soon(collect, number, client)
                clients.append(client)
            for turn in range(max(map(len, sendings))):
                for client, parts in zip(clients, sendings, strict=True):
                    if turn < len(parts) and parts[turn]:
                        await client.send_all(parts[turn])
                    await trio.sleep(STEP_SECONDS)
            await trio.sleep(4 * SERVE_SECONDS)
            nursery.cancel_scope.cancel()
    return [[int(status) for status in STATUS.findall(data)] for data in received]


def run(context, *sendings: list[bytes]) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.statuses = trio.run(converse, context.pool, list(sendings), clock=clock)


@given("a listener with memory for one head of {fields:d} short fields")
def given_pool(context, fields):
    context.pool = HeadPool((fields + 5) * (FIELD_BYTES + len(b"a:\r\n")))
    context.head = START + b"a:\r\n" * fields


@when("a client sends such a head but for its end, and then another client a whole one")
def when_another(context):
    run(context, [context.head], [context.head + END])


@then("the first client is refused with 503, and the second is served")
def then_second(context):
    assert context.statuses == [[503], [200]], context.statuses


@when("a client sends such a head, and another client a second one before the response")
def when_begun(context):
    run(context, [context.head + END], [context.head + END])


@then("the first client is served, and the second is refused with 503")
def then_first(context):
    assert context.statuses == [[200], [503]], context.statuses


@when("a client sends such a head but for its end, and then another client a small one")
def when_small(context):
    run(context, [context.head, END], [START + END])


@then("the second client is served, and the first may still end its head")
def then_both(context):
    assert context.statuses == [[200], [200]], context.statuses


@when("a client sends a head of {fields:d} short fields")
def when_large(context, fields):
    run(context, [START + b"a:\r\n" * fields + END])


@then("it is served, and no memory for heads is held")
def then_served(context):
    assert context.statuses == [[200]], context.statuses
    assert context.pool.held_bytes == 0, context.pool.held_bytes


@when("a client sends such a head, and a second one on the same connection")
def when_same_connection(context):
    run(context, [context.head + END, context.head + END])


@then("its first request is served, and its second refused with 503")
def then_served_and_refused(context):
    assert context.statuses == [[200, 503]], context.statuses


@when("a client sends {count:d} small requests in one piece")
def when_many_small(context, count):
    run(context, [(START + END) * count])


@then(
    "its first requests are served, and one behind them refused with {status:d}, "
    "before {count:d} are begun"
)
def then_few_begun(context, status, count):
    (statuses,) = context.statuses
    assert statuses[-1] == status and set(statuses[:-1]) == {200}, statuses
    assert len(statuses) < count, len(statuses)


@then("no memory for heads is held")
def then_none_held(context):
    assert context.pool.held_bytes == 0, context.pool.held_bytes
