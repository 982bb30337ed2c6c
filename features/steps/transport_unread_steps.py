"""Steps for clients that do not read responses, over streams without a buffer, in virtual time."""

from __future__ import annotations

from typing import Any

import trio
import trio.testing
from behave import given, then, when

from limelever.transport.asgi import AsgiHandler
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_limits import HttpLimits
from limelever.transport.unread_responses import PART_BYTES, UnreadPool

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
PARTS = 2
"""Parts of a response that are sent: its head and its body."""

HEAD_BYTES = 100


class Listener:
    """Serves connections, and counts their requests."""

    def __init__(self, size: int, pool: UnreadPool | None = None) -> None:
        self.served = 0
        self.ended: list[int] = []
        self.pool = pool or UnreadPool()
        self._size = size
        self._handler = AsgiHandler(self._answer, max_body_bytes=0)

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        self.served += 1
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": bytes(self._size)})

    async def serve(self, number: int, stream: trio.abc.Stream, nursery: trio.Nursery) -> None:
        limits = HttpLimits(idle=1000.0)
        connection = Http1Connection(stream, self._handler, limits, nursery, unread=self.pool)
        await connection.run()
        self.ended.append(number)

    def connect(self, number: int, nursery: trio.Nursery) -> trio.abc.Stream:
        client, server = trio.testing.lockstep_stream_pair()
        nursery.start_soon(self.serve, number, server, nursery)
        return client


async def send(stream: trio.abc.SendStream, count: int) -> None:
    try:
        for _ in range(count):
            await stream.send_all(REQUEST)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def read_all(stream: trio.abc.ReceiveStream) -> None:
    while await stream.receive_some(65536):
        pass


async def one_client(context, count: int, seconds: float) -> None:
    listener = context.listener
    with trio.move_on_after(500):
        async with trio.open_nursery() as nursery:
            client = listener.connect(1, nursery)
            nursery.start_soon(send, client, count)
            await trio.sleep(seconds)
            context.served_unread = listener.served
            nursery.start_soon(read_all, client)
            await trio.sleep(100)
            context.served_read = listener.served
            nursery.cancel_scope.cancel()


async def two_clients(context, count: int, seconds: float, more: int) -> None:
    listener = context.listener
    with trio.move_on_after(500):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, listener.connect(1, nursery), count)
            await trio.sleep(seconds)
            nursery.start_soon(send, listener.connect(2, nursery), more)
            await trio.sleep(1)
            context.ended = list(listener.ended)
            nursery.cancel_scope.cancel()


def run(main: Any, *arguments: Any) -> None:
    trio.run(main, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


@given("a listener whose responses have {size:d} bytes")
def given_listener(context, size):
    context.listener = Listener(size)


@given("a listener whose responses have {size:d} bytes, and room for {count:d} unread ones")
def given_small_listener(context, size, count):
    pool = UnreadPool(count * (HEAD_BYTES + size + PARTS * PART_BYTES))
    context.listener = Listener(size, pool)


@when("a client sends {count:d} requests and reads nothing for {seconds:d} seconds")
def when_one(context, count, seconds):
    context.count = count
    run(one_client, context, count, seconds)


@when(
    "a client sends {count:d} requests and reads nothing, "
    "and {seconds:d} seconds later another {more:d}"
)
def when_two(context, count, seconds, more):
    run(two_clients, context, count, seconds, more)


@then("at most {most:d} requests were served")
def then_served(context, most):
    assert 0 < context.served_unread <= most, context.served_unread


@then("the rest is served once the client reads")
def then_rest(context):
    assert context.served_read == context.count, context.served_read


@then("the first connection was closed, and not the second")
def then_closed(context):
    assert context.ended == [1], context.ended


@then("no unread response is held in the end")
def then_none(context):
    assert context.listener.pool.held_bytes == 0, context.listener.pool.held_bytes
