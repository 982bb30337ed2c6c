"""Steps for pipelined requests whose responses are read late, over streams in virtual time."""

from __future__ import annotations

import re
from typing import Any

import trio
import trio.testing
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies
from transport_unread_steps import run

from limelever.common.sansio import Address
from limelever.proxy.edge import Edge
from limelever.proxy.settings import EdgeSettings
from limelever.transport.asgi import AsgiHandler
from limelever.transport.head_reservation import HeadPool
from limelever.transport.http1_connection import Http1Connection
from limelever.transport.http_limits import HttpLimits
from limelever.transport.unread_responses import UnreadPool

UNREAD_LIMIT_BYTES = 64 * 1024
MOST_AT_ONCE = 4
INVALID_DEADLINE = b"GET /x HTTP/1.1\r\nhost: a\r\nx-limelever-timeout-ms: x\r\n\r\n"
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
LATE = 900.0
LARGEST_BYTES = 100_000


class CountingApplication(AsgiHandler):
    """Answers ``/SIZE/DELAY/NUMBER`` with that many bytes, of which the first are the number."""

    def __init__(self) -> None:
        super().__init__(self._answer, max_body_bytes=0)
        self.begun = self.ended = self.most_in_progress = 0
        self.ended_bytes = self.read_bytes = self.most_unread_at_begin = 0

    def serve_request(self, connection, exchange) -> None:
        self.begun += 1
        self.most_in_progress = max(self.most_in_progress, self.begun - self.ended)
        unread = self.ended_bytes - self.read_bytes
        self.most_unread_at_begin = max(self.most_unread_at_begin, unread)
        super().serve_request(connection, exchange)

    async def _answer(self, scope: Any, receive: Any, send: Any) -> None:
        size, delay, number = scope["path"].strip("/").split("/")
        await trio.sleep(int(delay))
        body = number.encode().ljust(int(size), b".")
        headers = [(b"content-length", b"%d" % len(body))]
        self.ended += 1
        self.ended_bytes += len(body)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": body})


class CountingEdge(Edge):
    """The callers' handler, which counts the requests that it is given."""

    def __init__(self) -> None:
        super().__init__(EdgeSettings(listen=Address("127.0.0.1", 0)), lambda event: None)
        self.begun = 0

    def serve_request(self, connection, exchange) -> None:
        self.begun += 1
        super().serve_request(connection, exchange)


class PipeliningClient:
    """Sends requests behind each other on one connection, and reads the responses late."""

    def __init__(self, handler: Any) -> None:
        self.handler = handler
        self.bodies: list[bytes] = []
        self.unread, self.heads = UnreadPool(), HeadPool()
        self.begun_unread = 0
        self.ended = False
        self._received = b""

    async def run(self, parts: list[bytes], count: int, pauses: list[float]) -> None:
        client, server = trio.testing.lockstep_stream_pair()
        with trio.move_on_after(LATE):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._serve, server, nursery)
                nursery.start_soon(self._send, client, parts)
                for pause in pauses:
                    await trio.sleep(pause)
                    self.begun_unread = self.begun_unread or self.handler.begun
                    await self._read(client, count, 1)
                await self._read(client, count, count)
                await client.aclose()

    async def _serve(self, stream: trio.abc.Stream, nursery: trio.Nursery) -> None:
        limits = HttpLimits(idle=LATE)
        connection = Http1Connection(
            stream, self.handler, limits, nursery, self.heads, unread=self.unread
        )
        await connection.run()
        self.ended = True

    async def _send(self, client: trio.abc.SendStream, parts: list[bytes]) -> None:
        for part in parts:
            await client.send_all(part)

    async def _read(self, client: trio.abc.ReceiveStream, count: int, more: int) -> None:
        """Read until this many more responses are there, of ``count`` in all."""
        wanted = min(len(self.bodies) + more, count)
        while len(self.bodies) < wanted:
            data = await client.receive_some(1 << 16)
            assert data, "the connection ended before the last response"
            self._received += data
            self._take_bodies()

    def _take_bodies(self) -> None:
        while b"\r\n\r\n" in self._received:
            head, rest = self._received.split(b"\r\n\r\n", 1)
            length = int(LENGTH.search(head)[1])
            if len(rest) < length:
                return
            self.bodies.append(rest[:length])
            self._received = rest[length:]
            if isinstance(self.handler, CountingApplication):
                self.handler.read_bytes += length


def request_of(method: str, size: int, delay: int, number: int) -> bytes:
    return f"{method} /{size}/{delay}/{number} HTTP/1.1\r\nhost: a\r\n\r\n".encode()


@given("an application whose responses have {size:d} bytes")
def given_application(context, size):
    context.client = PipeliningClient(CountingApplication())
    context.request = lambda number: request_of("GET", size, 0, number)


@given("a callers' handler, and requests with an invalid deadline")
def given_edge(context):
    context.client = PipeliningClient(CountingEdge())
    context.request = lambda number: INVALID_DEADLINE


@when("a client pipelines {count:d} requests and reads nothing for {seconds:d} seconds")
def when_pipelined(context, count, seconds):
    context.count = count
    requests = b"".join(map(context.request, range(count)))
    run(context.client.run, [requests], count, [seconds])


@then("at most {most:d} requests were begun meanwhile")
def then_begun(context, most):
    assert 0 < context.client.begun_unread <= most, context.client.begun_unread


@then("all are answered in order once the client reads")
def then_in_order(context):
    bodies = context.client.bodies
    assert len(bodies) == context.count, len(bodies)
    numbers = [body.rstrip(b".") for body in bodies]
    assert numbers == [b"%d" % number for number in range(context.count)], numbers
    assert context.client.ended


@then("all are refused once the client reads")
def then_refused(context):
    assert len(context.client.bodies) == context.count, len(context.client.bodies)
    assert context.client.ended


REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["GET", "GET", "GET", "POST"]),
        strategies.sampled_from([10, 1000, 30_000, LARGEST_BYTES]),
        strategies.integers(0, 2),
    ),
    min_size=1,
    max_size=100,
)
CUTS = strategies.lists(strategies.integers(1, 4000), max_size=5)
PAUSES = strategies.lists(strategies.integers(0, 4), max_size=30)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    return [part for part in [*parts, data] if part]


@then("drawn pipelines are answered whole and in order, however late they are read")
def then_drawn(context):
    @settings(max_examples=150, deadline=None)
    @drawn(REQUESTS, CUTS, PAUSES)
    def check(requests, cuts, pauses):
        data = b"".join(request_of(*each, number) for number, each in enumerate(requests))
        client = PipeliningClient(CountingApplication())
        run(client.run, cut(data, cuts), len(requests), pauses)
        numbers = [body.rstrip(b".") for body in client.bodies]
        assert numbers == [b"%d" % number for number in range(len(requests))], numbers
        assert client.ended, "the connection ends once the client has left"
        handler = client.handler
        assert handler.begun == handler.ended == len(requests)
        assert handler.most_in_progress <= MOST_AT_ONCE, handler.most_in_progress
        assert handler.most_unread_at_begin <= UNREAD_LIMIT_BYTES, handler.most_unread_at_begin
        assert client.unread.held_bytes == 0

    check()
