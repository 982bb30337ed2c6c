"""Steps for the proxy's edge towards callers that break rules, idle, or read nothing."""

from __future__ import annotations

import socket
import struct
from functools import partial
from unittest import mock

from behave import given, then, when
from http_server import SENDINGS, HttpClient, HttpServer, ask_over_http2
from transport_server import wait_for

from limelever.common.sansio import Address
from limelever.proxy import edge
from limelever.proxy.call_types import AnswerCall, CallAnswer, CallArrived, CallerGone
from limelever.proxy.settings import EdgeSettings
from limelever.transport import metrics, send_limits

MEBIBYTE = 1 << 20
STOP_SECONDS = 0.2
HELD = b"/held"
LARGE = b"/large"
EMPTY = b"/empty"
DATA_SEGMENTS_AT = 152
"""Where ``tcpi_data_segs_in`` stands in ``tcp_info``."""


class EdgeServer:
    """The shipped edge before a core that answers at once, late or with a fault."""

    def __init__(self, faulty: bool = False, **settings: int) -> None:
        self.held: list[int] = []
        self.gone: list[int] = []
        self.run = 0
        self.targets: list[bytes] = []
        self.requests: list[tuple[bytes, bytes, bytes]] = []
        self.answer_bytes = 0
        self._faulty = faulty
        listen = Address("127.0.0.1", 0)
        self._edge = edge.Edge(EdgeSettings(listen=listen, **settings), self._post)
        self.server = HttpServer(partial(self._edge.serve, STOP_SECONDS))

    def release(self) -> None:
        def answer_held() -> None:
            for call in self.held:
                self._edge.answer(AnswerCall(call, CallAnswer(200, (), b"")))

        self.server.in_loop(answer_held)

    def planned_stop(self) -> None:
        self.server.in_loop(self._edge.stop)

    def _post(self, event) -> None:
        if self._faulty:
            raise KeyError("the fault of this test")
        if isinstance(event, CallerGone):
            self.gone.append(event.call)
        if not isinstance(event, CallArrived):
            return
        self.run += 1
        request = event.request
        self.targets.append(request.target)
        self.requests.append((request.method, request.target, bytes(request.body)))
        if event.request.target == HELD:
            self.held.append(event.call)
            return
        body = bytes(self.answer_bytes) if event.request.target == LARGE else b"answer"
        body = b"" if event.request.target == EMPTY else body
        headers = ((b"content-length", b"%d" % len(body)),)
        self._edge.answer(AnswerCall(event.call, CallAnswer(200, headers, body)))


def start_edge(context, **options):
    context.edge = EdgeServer(**options)
    context.add_cleanup(context.edge.server.stop)


def connect(context):
    client = HttpClient(context.edge.server.address)
    context.add_cleanup(client.close)
    return client


def ask(context, target="/orders"):
    client = connect(context)
    client.ask("GET", target)
    return client


@given("a callers' listener")
def given_edge(context):
    start_edge(context)


@given("a callers' listener with {count:d} connections")
def given_edge_bounded(context, count):
    start_edge(context, connections=count)


@given("a callers' listener whose core has a fault")
def given_edge_faulty(context):
    start_edge(context, faulty=True)


@given("a callers' listener that ends idle connections after {idle:d} ms")
def given_edge_idle(context, idle):
    start_edge(context, keep_alive_ms=idle)


@given("a callers' listener whose callers have {limit:g} seconds to send a body")
def given_edge_short_of_time(context, limit):
    patch = mock.patch.object(edge, "BODY_TIMEOUT_SECONDS", limit)
    patch.start()
    context.add_cleanup(patch.stop)
    start_edge(context)


@given("a callers' listener whose callers have {limit:g} seconds to take an answer")
def given_edge_impatient(context, limit):
    for name, value in (("SEND_SECONDS", limit), ("SLOWEST_BYTES_PER_SECOND", 1 << 40)):
        patch = mock.patch.object(send_limits, name, value)
        patch.start()
        context.add_cleanup(patch.stop)
    start_edge(context)


@when("{count:d} callers over HTTP/2 take nothing of an answer of {size:d} MiB")
def when_callers_take_nothing(context, count, size):
    context.edge.answer_bytes = size * MEBIBYTE
    context.callers = [connect(context) for _ in range(count)]
    for client in context.callers:
        ask_over_http2(client, LARGE.decode())
    context.caller = context.callers[-1]


@when("these callers leave")
def when_callers_leave(context):
    for client in context.callers:
        client.close()


@when("a caller's connection sends {what}")
def when_caller_sends(context, what):
    context.caller = connect(context)
    SENDINGS[what](context.caller)


@when("a caller asks with headers of {size:d} KiB")
def when_large_headers(context, size):
    context.caller = connect(context)
    long = "x" * (size * 1024)
    context.caller.send(f"GET /orders HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n".encode())


@when("a caller asks with a body of {size:d} MiB")
def when_large_body(context, size):
    context.caller = connect(context)
    body = bytes(size * MEBIBYTE)
    head = f"POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    context.caller.send(head.encode() + body)


@when("{count:d} callers are each answered and keep their connections")
def when_callers_keep(context, count):
    context.callers = []
    for _ in range(count):
        client = ask(context)
        assert client.status() == 200
        context.callers.append(client)


@when("{count:d} callers have a call in flight")
def when_calls_in_flight(context, count):
    context.callers = [ask(context, HELD.decode()) for _ in range(count)]
    assert wait_for(lambda: len(context.edge.held) == count), context.edge.held


@when("one caller too many connects")
def when_caller_too_many(context):
    context.caller = connect(context)


@when("a caller reads nothing of an answer of {size:d} MiB")
def when_caller_reads_nothing(context, size):
    context.edge.answer_bytes = size * MEBIBYTE
    context.caller = ask(context, LARGE.decode())
    assert context.caller.socket.recv(1)


@when("the callers' listener makes a planned stop within 0.2 seconds")
def when_edge_stops(context):
    context.edge.planned_stop()


@when("a caller asks the callers' listener")
def when_caller_asks(context):
    context.caller = ask(context)


@when("a caller asks for {target} and reads what comes first")
def when_reads_first(context, target):
    context.caller = ask(context, target)
    context.first_read = context.caller.socket.recv(65536)


def data_packets(taken: socket.socket) -> int:
    """Return how many packets with data came in on a connection (Linux's ``tcp_info``)."""
    info = taken.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, DATA_SEGMENTS_AT + 4)
    (count,) = struct.unpack_from("I", info, DATA_SEGMENTS_AT)
    return count


@then("that caller has the head and {part} of the answer, in one packet")
def then_first_read(context, part):
    head, _, body = context.first_read.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), context.first_read
    assert data_packets(context.caller.socket) == 1, context.first_read
    assert body == (b"answer" if part == "the body" else b""), context.first_read


@then("the callers' listener has run nothing")
def then_edge_ran_nothing(context):
    assert context.edge.run == 0, context.edge.run


@then("the callers' listener holds {count:d} connections")
def then_edge_holds(context, count):
    held = metrics.HTTP_CONNECTIONS_OPEN.labels("callers")
    assert wait_for(lambda: held.read() == count), held.read()


@then("the callers' listener has not logged {code:d}")
def then_edge_not_logged(context, code):
    assert not context.edge.server.log.of(code), context.edge.server.log.of(code)


@then("the callers' listener ends that caller's connection")
def then_edge_ends(context):
    context.caller.wait_closed()


@then("the callers' listener answers another caller")
def then_edge_answers(context):
    assert ask(context).status() == 200


@then("that caller is answered with {status:d}")
def then_caller_status(context, status):
    found = context.caller.status()
    assert found == status, found


@then("the callers' listener logs {code:d}")
def then_edge_logs(context, code):
    assert wait_for(lambda: context.edge.server.log.of(code)), code


@then("only the first of these callers has lost its connection")
def then_first_lost(context):
    first, *others = context.callers
    first.wait_closed()
    for client in others:
        client.ask("GET", "/orders")
        assert client.status() == 200


@then("the calls in flight are answered")
def then_in_flight_answered(context):
    context.edge.release()
    assert [client.status() for client in context.callers] == [200, 200]


@then("the callers' listener has ended")
def then_edge_ended(context):
    context.edge.server.wait_ended()
