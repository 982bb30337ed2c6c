"""Steps for calls that wait for a connection while their back end begins to drain; virtual time."""

from __future__ import annotations

from functools import partial

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context

from limelever.agent.backend_client import BackendClient
from limelever.agent.interface import AttemptAnswered, AttemptFailed, LimitStarts, StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind
from limelever.common.sansio import Address, Event, MessageReceived
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_DRAINING, LeaseGranted, Register

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
TIMEOUT_SECONDS = 30.0


async def respond(delay: float, received: list[bytes], stream: trio.SocketStream) -> None:
    while request := await stream.receive_some(65536):
        received.append(request)
        await trio.sleep(delay)
        await stream.send_all(ANSWER)


async def play(delay: float, limit: float | None) -> tuple[int, list[tuple[float, Event]]]:
    """Send two calls; return how many came to the back end, and how and when the calls ended."""
    received: list[bytes] = []
    ended: list[tuple[float, Event]] = []
    begun = trio.current_time()
    over = trio.Semaphore(0)

    def post(event: Event) -> None:
        ended.append((trio.current_time() - begun, event))
        over.release()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        serve = partial(respond, delay, received)
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        client = BackendClient(BackendSettings(address=address, connections=1), nursery, post)
        for attempt in (1, 2):
            client.start(StartAttempt(attempt, "orders", b"GET", b"/", (), b"", TIMEOUT_SECONDS))
            while not received:
                await trio.sleep(0.001)
        if limit is not None:
            client.carry_out(LimitStarts(limit))
        for _ in range(2):
            await over.acquire()
        client.close()
        nursery.cancel_scope.cancel()
    return len(received), ended


@given("a back end with one connection, which responds after {delay:g} seconds")
def given_back_end(context: Context, delay: float) -> None:
    context.delay = delay


@when("two calls are sent to it, and it takes calls for as long as they come")
def send_without_limit(context: Context) -> None:
    send(context, None)


@when("two calls are sent to it, and it takes no calls that are sent after {limit:g} second")
@when("two calls are sent to it, and it takes no calls that are sent after {limit:g} seconds")
def send_with_limit(context: Context, limit: float) -> None:
    send(context, limit)


def send(context: Context, limit: float | None) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0.05)
    context.received, ended = trio.run(play, context.delay, limit, clock=clock)
    context.ended = {event.attempt: (at, event) for at, event in ended}


@then("it received {count:d} requests, and the second call was answered")
def check_answered(context: Context, count: int) -> None:
    assert context.received == count, context.received
    assert isinstance(context.ended[2][1], AttemptAnswered), context.ended


@then(
    "it received {count:d} requests, and the second call was refused as draining "
    "after {seconds:g} second"
)
def check_refused(context: Context, count: int, seconds: float) -> None:
    assert context.received == count, context.received
    at, event = context.ended[2]
    assert isinstance(event, AttemptFailed), event
    assert event.failure.kind is ErrorKind.DRAINING and not event.sent_any_byte, event
    assert abs(at - seconds) < 0.1, at


@when("the relay notifies the agent that its run has departed")
def run_departed(context: Context) -> None:
    granted = LeaseGranted(lease_ms=6000, incarnation=7, run_departed=True)
    context.agent.handle(MessageReceived(context.agent.relay_connection, granted))


@then("the agent registers as draining and leaving")
def registers_leaving(context: Context) -> None:
    last = context.agent.sent(context.agent.relay_connection, Register)[-1]
    assert last.endpoint.state == ENDPOINT_STATE_DRAINING and last.endpoint.leaving, last
