"""Steps for the agent's HTTP client of the back end, on loopback."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from unittest import mock

import trio
import trio.testing
from behave import then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.agent.backend_client import BackendClient
from limelever.agent.connection_pool import keep_alive_seconds
from limelever.agent.health_response import parse_instance_identity, parse_probe
from limelever.agent.interface import (
    AttemptAnswered,
    StartAttempt,
)
from limelever.agent.load_header import parse_requests
from limelever.agent.settings import BackendSettings
from limelever.common.http_headers import HeaderNames
from limelever.common.http_messages import HttpAnswer
from limelever.common.numbers import parse_count
from limelever.common.sansio import (
    Address,
    Event,
)
from limelever.protocol.priorities import PRIORITY_GROUP, priority_of

ANSWERS = {
    b"/ok": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    b"/shed": b"HTTP/1.1 503 Busy\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
    b"/big": b"HTTP/1.1 200 OK\r\ncontent-length: 3000\r\n\r\n" + bytes(3000),
}


MANY_DIGITS = b"9" * 5000
SPOILED = {
    b"/long-keep-alive": b"keep-alive: timeout=" + MANY_DIGITS,
    b"/long-load": b"x-load: " + b",".join([MANY_DIGITS] * 4),
    b"/long-limit": b"x-limit: " + MANY_DIGITS,
    b"/odd-keep-alive": b"keep-alive: timeout=\xb2, max",
}
ANSWERS |= {
    target: b"HTTP/1.1 200 OK\r\n" + header + b"\r\ncontent-length: 2\r\n\r\nok"
    for target, header in SPOILED.items()
}
READ_HEADERS = HeaderNames(
    instance=b"x-instance",
    load=b"x-load",
    warm_up=b"x-warm-up",
    limit=(b"x-limit",),
    leaving=(b"x-leaving",),
)


async def serve_one(arrived: trio.Event, stream: trio.SocketStream) -> None:
    request = await stream.receive_some(65536)
    arrived.set()
    target = request.split()[1]
    if target in ANSWERS:
        await stream.send_all(ANSWERS[target])
    elif target != b"/drop":
        await stream.receive_some(1)


async def attempt_at(target: str, clock: trio.testing.MockClock) -> Event:
    """Make an attempt; cancel it or let it time out once the request has arrived."""
    received: list[Event] = []
    arrived, ended = trio.Event(), trio.Event()

    def post(event: Event) -> None:
        received.append(event)
        ended.set()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        if target == "/refused":
            await listener.aclose()
        else:
            serve = partial(serve_one, arrived)
            nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address("127.0.0.1", port)
        backend = BackendClient(
            BackendSettings(address=address, max_response_bytes=1024), nursery, post, READ_HEADERS
        )
        timeout = 30.0
        backend.start(StartAttempt(1, "orders", b"GET", target.encode(), (), b"", timeout))
        if target in ("/cancelled", "/slow"):
            await arrived.wait()
        if target == "/cancelled":
            backend.cancel(1)
        elif target == "/slow":
            clock.jump(timeout)
        await ended.wait()
        backend.close()
        nursery.cancel_scope.cancel()
    (event,) = received
    return event


@when("an attempt at a live back end asks for {target:S}")
def run_attempt(context: Context, target: str) -> None:
    clock = trio.testing.MockClock(rate=1.0)
    context.event = trio.run(attempt_at, target, clock, clock=clock)


@when("reading the response to an attempt raises an error")
def run_faulty_attempt(context: Context) -> None:
    with mock.patch("limelever.agent.backend_client.keep_alive_seconds", side_effect=KeyError):
        run_attempt(context, "/ok")


@then("for any values of the headers that are read, health probes have a result")
def probe_spoiled(context: Context) -> None:
    digits = st.integers(0, 6000).map(lambda count: b"9" * count)
    values = st.one_of(digits, st.binary(max_size=40), st.lists(digits, max_size=5).map(b",".join))
    names = (b"x-instance", b"x-load", b"x-warm-up", b"x-limit", b"x-leaving", b"keep-alive")

    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @examples(st.lists(st.tuples(st.sampled_from(names), values), max_size=6))
    def check(headers: list[tuple[bytes, bytes]]) -> None:
        response = HttpAnswer(200, tuple(headers), b"")
        assert parse_probe(response, READ_HEADERS).healthy
        parse_instance_identity(response, READ_HEADERS)
        parse_requests(response.headers, READ_HEADERS)
        assert keep_alive_seconds(response.headers) >= 0

    check()


NAMED_TEXTS = {
    "5000 digits": "9" * 5000,
    "superscript two": "\u00b2",
    "Arabic digit two": "\u0662",
    "nothing": "",
}


@then("the text {text} is the number {number:S}")
def check_number(context: Context, text: str, number: str) -> None:
    expected = None if number == "none" else int(number)
    given = NAMED_TEXTS.get(text, text)
    assert parse_count(given) == expected, parse_count(given)
    assert parse_count(given.encode()) == expected
    assert priority_of(f"{PRIORITY_GROUP}{given}/orders") == expected


@then("the attempt has ended as {end}")
def check_end(context: Context, end: str) -> None:
    event = context.event
    if isinstance(event, AttemptAnswered):
        assert end == f"answered {event.status}"
        return
    sent = "after bytes" if event.sent_any_byte else "before any byte"
    assert end == f"{event.failure.kind.value} {sent}", event


@dataclass
class KeepAliveServer:
    """Answers up to ``requests_each`` requests per connection; counts connections."""

    requests_each: int
    connections: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        for _ in range(self.requests_each):
            if not await stream.receive_some(65536):
                return
            await trio.sleep(0.01)
            await stream.send_all(ANSWERS[b"/ok"])
        await stream.aclose()


async def send_repeatedly(server: KeepAliveServer, count: int, at_once: int, limit: int) -> int:
    answers = 0
    free = trio.Semaphore(at_once)

    def post(event: Event) -> None:
        nonlocal answers
        assert isinstance(event, AttemptAnswered), event
        answers += 1
        free.release()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        backend = BackendClient(BackendSettings(address=address, connections=limit), nursery, post)
        for number in range(count):
            await free.acquire()
            await trio.sleep(0.02 if at_once == 1 else 0.0)
            backend.start(StartAttempt(number, "orders", b"GET", b"/ok", (), b"", 10.0))
        while answers < count:
            await trio.sleep(0.001)
        backend.close()
        nursery.cancel_scope.cancel()
    return answers


@when("{count:d} attempts in turn are sent to a back end that keeps connections open")
def send_with_keep_alive(context: Context, count: int) -> None:
    context.server = KeepAliveServer(requests_each=100)
    context.answers = trio.run(send_repeatedly, context.server, count, 1, 10)


@when("{count:d} attempts in turn are sent to a back end that closes after each answer")
def send_with_close(context: Context, count: int) -> None:
    context.server = KeepAliveServer(requests_each=1)
    context.answers = trio.run(send_repeatedly, context.server, count, 1, 10)


@when(
    "{count:d} attempts at once are sent to a back end by an agent limited to {limit:d} connections"
)
def send_concurrently(context: Context, count: int, limit: int) -> None:
    context.server = KeepAliveServer(requests_each=100)
    context.answers = trio.run(send_repeatedly, context.server, count, count, limit)


@then("the agent's client was answered {count:d} times over {connections:d} connection")
@then("the agent's client was answered {count:d} times over {connections:d} connections")
def check_connections(context: Context, count: int, connections: int) -> None:
    assert (context.answers, context.server.connections) == (count, connections)


async def send_behind(held: int, timeout: int, requests: list[bytes]) -> None:
    """Hold the only connection for ``held`` seconds while a second attempt waits for it."""
    clock = trio.lowlevel.current_clock()
    assert isinstance(clock, trio.testing.MockClock)
    arrived, answer = trio.Event(), trio.Event()
    both_ended = trio.Semaphore(0)

    async def serve(stream: trio.SocketStream) -> None:
        for _ in range(2):
            requests.append(await stream.receive_some(65536))
            arrived.set()
            await answer.wait()
            await stream.send_all(ANSWERS[b"/ok"])

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        settings = BackendSettings(address=address, connections=1)
        backend = BackendClient(settings, nursery, lambda event: both_ended.release())
        for number in range(2):
            attempt = StartAttempt(number, "orders", b"GET", b"/ok", (), b"", float(timeout))
            backend.start(attempt)
        await arrived.wait()
        clock.jump(held)
        answer.set()
        for _ in range(2):
            await both_ended.acquire()
        backend.close()
        nursery.cancel_scope.cancel()


@when("an attempt whose caller waits {timeout:d} seconds gets its connection after {held:d}")
def send_after_waiting(context: Context, timeout: int, held: int) -> None:
    context.requests = []
    clock = trio.testing.MockClock()
    trio.run(send_behind, held, timeout, context.requests, clock=clock)


@then("the agent's client told the back end that {left:d} ms are left")
def check_time_left(context: Context, left: int) -> None:
    lines = context.requests[-1].lower().split(b"\r\n")
    sent = [line for line in lines if line.startswith(b"x-limelever-timeout-ms")]
    assert sent == [b"x-limelever-timeout-ms: %d" % left], sent
