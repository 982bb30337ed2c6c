"""Bodies that are still held when only the garbage collector could release them."""

from __future__ import annotations

import contextlib
import gc
import socket
import sys
from collections import Counter
from collections.abc import Iterator

import trio
from behave import then, when
from hpack import Encoder
from http_server import HttpClient
from hyperframe.frame import HeadersFrame, SettingsFrame
from transport_edge_steps import LARGE, EdgeServer
from transport_server import wait_for

from limelever.agent.backend_client import BackendClient
from limelever.agent.interface import StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.sansio import Address
from limelever.transport.metrics import HTTP_CONNECTIONS_OPEN

MEBIBYTE = 1 << 20
LEAST_BODY_BYTES = 32 << 10
RESPONSE_LIMIT = 2 * MEBIBYTE
TIMEOUT_SECONDS = 10.0
SHORT_TIMEOUT_SECONDS = 0.3
BODY = bytes(MEBIBYTE)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
REQUEST_FIELDS = [(":method", "POST"), (":path", "/"), (":scheme", "http"), (":authority", "a")]
CONNECTION_MODULES = ("h2.", "hpack.", "hypercorn.", "limelever.")


@contextlib.contextmanager
def without_collections() -> Iterator[list[object]]:
    """Collect nothing within, and yield a list that then holds what awaited a collection."""
    found: list[object] = []
    gc.collect()
    gc.disable()
    try:
        yield found
        gc.set_debug(gc.DEBUG_SAVEALL)
        gc.collect()
        found.extend(gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


def bodies_held_by(garbage: list[object]) -> list[str]:
    """Return the types of the objects that hold a body."""
    held = []
    for each in garbage:
        for referent in gc.get_referents(each):
            is_body = isinstance(referent, bytes | bytearray | memoryview)
            if is_body and sys.getsizeof(referent) >= LEAST_BODY_BYTES:
                held.append(type(each).__name__)
    return held


class UnusualBackend:
    """Sends responses of 1 MiB in the way that a scenario names."""

    def __init__(self, kind: str) -> None:
        self._kind = kind

    async def handle(self, stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while await self._respond(stream):
                pass

    async def _respond(self, stream) -> bool:
        received = await stream.receive_some(65536)
        if not received:
            return False
        if b"content-length" in received and self._kind != "earlier than the whole call":
            while not received.endswith(b"\r\n\r\n" + BODY):
                received += await stream.receive_some(65536)
        head = b"HTTP/1.1 200 OK\r\n"
        stated = head + b"Content-Length: %d\r\n\r\n" % MEBIBYTE
        match self._kind:
            case "complete" | "earlier than the whole call":
                await stream.send_all(stated + BODY)
                return True
            case "in chunks":
                chunk = b"%x\r\n%b\r\n" % (MEBIBYTE, BODY)
                await stream.send_all(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
                await stream.send_all(b"0\r\n\r\n")
                return True
            case "without a length":
                await stream.send_all(head + b"\r\n" + BODY)
            case "broken off":
                await stream.send_all(stated + BODY[1:])
            case "longer than the limit":
                await stream.send_all(head + b"\r\n" + BODY * 3)
            case "later than the deadline":
                await stream.send_all(stated + BODY[1:])
                await trio.sleep(2 * SHORT_TIMEOUT_SECONDS)
        await stream.aclose()
        return False


async def call_backend(kind: str, count: int) -> None:
    ended: list[int] = []
    async with trio.open_nursery() as nursery:
        handle = UnusualBackend(kind).handle
        listeners = await nursery.start(trio.serve_tcp, handle, 0)
        address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        settings = BackendSettings(address=address, max_response_bytes=RESPONSE_LIMIT)
        client = BackendClient(settings, nursery, lambda event: ended.append(event.attempt))
        late = kind == "later than the deadline"
        timeout = SHORT_TIMEOUT_SECONDS if late else TIMEOUT_SECONDS
        for number in range(1, count + 1):
            client.start(StartAttempt(number, "s", b"POST", b"/", (), BODY, timeout))
            with trio.fail_after(TIMEOUT_SECONDS):
                while len(ended) < number:
                    await trio.sleep(0.001)
        client.close()
        nursery.cancel_scope.cancel()


@when("an agent reads {count:d} responses of 1 MiB that are {kind}, without garbage collections")
def when_agent_reads(context, count, kind):
    trio.run(call_backend, kind, 1)
    with without_collections() as context.garbage:
        trio.run(call_backend, kind, count)


def leave_within_body(client: HttpClient) -> None:
    client.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (2 * MEBIBYTE) + BODY)


def send_request(client: HttpClient) -> None:
    client.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % MEBIBYTE + BODY)
    assert client.status() == 200


def send_chunked(client: HttpClient) -> None:
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    client.send(head + b"%x\r\n%b\r\n0\r\n\r\n" % (MEBIBYTE, BODY))
    assert client.status() == 200


def send_over_limit(client: HttpClient) -> None:
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    client.send(head + b"%x\r\n%b\r\n" % (8 * MEBIBYTE, BODY * 8))


def ask_for_large(client: HttpClient) -> None:
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.ask("GET", LARGE.decode())
    client.socket.recv(1)


def send_headers(client: HttpClient, fields: int, streams: int, *flags: str) -> None:
    """Send the heads of requests over HTTP/2."""
    block = Encoder().encode([*REQUEST_FIELDS, *(("a", "b") for _ in range(fields))])
    frames = (
        HeadersFrame(2 * number + 1, block, flags=("END_HEADERS", *flags))
        for number in range(streams)
    )
    client.send(PREFACE + SettingsFrame(0).serialize())
    client.send(b"".join(frame.serialize() for frame in frames))


def be_served_over_http2(client: HttpClient) -> None:
    send_headers(client, 1, 1, "END_STREAM")
    while client.socket.recv(65536).find(b"answer") < 0:
        pass


def leave_within_requests(client: HttpClient) -> None:
    send_headers(client, fields=1, streams=10)
    client.socket.recv(65536)


def exceed_header_list(client: HttpClient) -> None:
    send_headers(client, fields=4000, streams=1)
    client.wait_closed()


def break_frame(client: HttpClient) -> None:
    send_headers(client, fields=1, streams=1)
    client.send(HeadersFrame(3, b"\xff" * 8, flags=("END_HEADERS",)).serialize())
    client.wait_closed()


ACTS = {
    "are served over HTTP/2 and leave": be_served_over_http2,
    "leave within requests over HTTP/2": leave_within_requests,
    "exceed the limit on headers over HTTP/2": exceed_header_list,
    "break a frame over HTTP/2": break_frame,
    "send requests of 1 MiB and leave": send_request,
    "leave within a body of 1 MiB": leave_within_body,
    "send a body over the limit": send_over_limit,
    "leave before they have read 4 MiB": ask_for_large,
    "send a chunked body of 1 MiB": send_chunked,
}


def act_and_leave(edge: EdgeServer, act: str, count: int) -> None:
    for _ in range(count):
        client = HttpClient(edge.server.address)
        ACTS[act](client)
        client.close()
    open_connections = HTTP_CONNECTIONS_OPEN.labels("callers")
    assert wait_for(lambda: not open_connections.read()), "connections did not end"


@when("{count:d} callers {act}, without garbage collections")
def when_callers_act(context, count, act):
    edge = EdgeServer(max_body_bytes=4 * MEBIBYTE)
    edge.answer_bytes = 4 * MEBIBYTE
    context.add_cleanup(edge.server.stop)
    act_and_leave(edge, act, 1)
    with without_collections() as context.garbage:
        act_and_leave(edge, act, count)


@then("no object that awaits a collection holds a body")
def then_nothing_held(context):
    held = bodies_held_by(context.garbage)
    assert not held, held


@then("no object of a connection awaits a collection")
def then_no_object(context):
    names = (f"{type(each).__module__}.{type(each).__name__}" for each in context.garbage)
    kept = Counter(name for name in names if name.startswith(CONNECTION_MODULES))
    assert not kept, kept
