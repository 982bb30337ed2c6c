"""Steps for connections on which an instance no longer responds, and for slots already taken."""

from __future__ import annotations

import trio
from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context

from limelever.agent import events
from limelever.agent.backend_client import BackendClient
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    CancelAttempt,
    CheckBackend,
    ConnectResult,
    StartAttempt,
)
from limelever.agent.load_header import parse_requests
from limelever.agent.metrics import INSTANCE_CONNECTIONS_LOST
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import Address, Event, LogEvent
from limelever.protocol.calls_pb2 import CallCancel, CallFailed

FIRST_STREAM = 100
SLOW_STREAM = 95
UNANSWERED_STREAM, TARGET_STREAM = 300, 400
NAMES = HeaderNames(load=b"x-load")


def starts_of(agent: AgentHarness) -> list[StartAttempt]:
    return agent.outputs_of(StartAttempt)  # type: ignore[return-value]


def attempt_at(agent: AgentHarness, stream: int) -> int:
    (start,) = (each for each in starts_of(agent) if each.target == str(stream).encode())
    return start.attempt


def answer_calls(context: Context, count: int, requests: int | None) -> None:
    agent: AgentHarness = context.agent
    for _ in range(count):
        context.last_stream = getattr(context, "last_stream", FIRST_STREAM) + 1
        agent.send(call_start(context.last_stream))
        agent.advance(context.service_seconds)
        attempt = attempt_at(agent, context.last_stream)
        agent.handle(AttemptAnswered(attempt, 200, (), b"", requests=requests))


@given("calls to the instance take {seconds:g} seconds")
def given_service_time(context: Context, seconds: float) -> None:
    context.service_seconds = seconds
    answer_calls(context, 1, None)


@given("a new agent with {slots:d} slots beside an instance that states its load")
def given_new_agent(context: Context, slots: int) -> None:
    context.agent = AgentHarness(slots, counts_former_calls=True)
    context.agent.add_proxy()


@when("{count:d} calls are answered, each stating {requests:d} requests at the instance")
def answer_stating(context: Context, count: int, requests: int) -> None:
    answer_calls(context, count, requests)


@when("{count:d} calls are answered without a load header")
def answer_without_header(context: Context, count: int) -> None:
    answer_calls(context, count, None)


LEFT, DEADLINE, LOST = "callers had left", "deadline passed", "taken for lost"


@when("{count:d} calls with {left:g} seconds left end without a response, as their {reason}")
def end_unanswered(context: Context, count: int, left: float, reason: str) -> None:
    agent: AgentHarness = context.agent
    for number in range(count):
        stream = UNANSWERED_STREAM + number
        agent.send(call_start(stream, deadline_left_ms=round(left * 1000)))
        agent.advance(left / 2)
        attempt = attempt_at(agent, stream)
        kind = ErrorKind.CANCELLED
        if DEADLINE in reason:
            agent.advance(left / 2)
            kind = ErrorKind.DEADLINE_EXCEEDED
        elif LEFT in reason:
            agent.send(CallCancel(stream=stream))
        else:
            agent.outputs.extend(agent.core._calls._cancel_lost((attempt,), agent.now))
        agent.handle(AttemptFailed(attempt, Failure(kind, "ended"), True))


@when(
    "{count:d} calls with {left:g} seconds left, who want their response in {target:g} seconds, "
    "arrive at once"
)
def arrive_with_target(context: Context, count: int, left: float, target: float) -> None:
    agent: AgentHarness = context.agent
    context.refused_before = len(agent.sent(PROXY_CONNECTION, CallFailed))
    for number in range(count):
        times = {"deadline_left_ms": round(left * 1000), "target_left_ms": round(target * 1000)}
        agent.send(call_start(TARGET_STREAM + number, **times))


@then("at least {least:d} of them are refused at once, not run, with different times above 0")
def refused_with_times(context: Context, least: int) -> None:
    refused = context.agent.sent(PROXY_CONNECTION, CallFailed)[context.refused_before :]
    times = [each.retry_after_ms for each in refused]
    assert len(refused) >= least, refused
    assert all(each.kind == ErrorKind.DEADLINE_TOO_SHORT for each in refused), refused
    assert min(times, default=1) > 0 and len(set(times)) == len(times), times


@when("its cancelled attempt has ended")
def end_cancelled(context: Context) -> None:
    failure = Failure(ErrorKind.CANCELLED, "attempt cancelled")
    for output in context.agent.outputs_of(CancelAttempt):
        context.agent.handle(AttemptFailed(output.attempt, failure, True))


@given("health responses of the instance have counted a slow call")
def given_counted(context: Context) -> None:
    agent: AgentHarness = context.agent
    agent.send(call_start(SLOW_STREAM, deadline_left_ms=10_000))
    agent.advance(0.5)
    agent.handle(BackendChecked(ConnectResult.OPENED, 1))
    attempt = attempt_at(agent, SLOW_STREAM)
    agent.handle(AttemptAnswered(attempt, 200, (), b"", requests=0))
    agent.outputs = [each for each in agent.outputs if not isinstance(each, CheckBackend)]


@when("the instance states {requests:d} requests in its health response")
def health_response(context: Context, requests: int) -> None:
    context.agent.handle(BackendChecked(ConnectResult.OPENED, requests))


@when("the instance states {requests:d} requests in each health response for {seconds:d} seconds")
def health_responses(context: Context, requests: int, seconds: int) -> None:
    agent: AgentHarness = context.agent
    answered = 0
    for _ in range(seconds * 10):
        agent.advance(0.1)
        checks = agent.outputs_of(CheckBackend)
        for check in checks[answered:]:
            asked = check.asks_load  # type: ignore[attr-defined]
            agent.handle(BackendChecked(ConnectResult.OPENED, requests if asked else None))
        answered = len(checks)


@when("the agent gets {count:d} calls with {left:d} seconds left")
def send_first(context: Context, count: int, left: int) -> None:
    for stream in range(1, count + 1):
        context.agent.send(call_start(stream, deadline_left_ms=left * 1000))


@when("the agent gets {count:d} further calls with {left:d} seconds left")
def send_further(context: Context, count: int, left: int) -> None:
    for number in range(count):
        stream = FIRST_STREAM + number
        context.agent.send(call_start(stream, deadline_left_ms=left * 1000))


@when("attempt {number:d} is answered after {seconds:g} seconds without a load header")
def answer_attempt_plain(context: Context, number: int, seconds: float) -> None:
    answer_attempt(context, number, seconds, None)


@when(
    "attempt {number:d} is answered after {seconds:g} seconds, "
    "stating {requests:d} requests at the instance"
)
def answer_attempt(context: Context, number: int, seconds: float, requests: int | None) -> None:
    agent: AgentHarness = context.agent
    agent.advance(seconds)
    attempt = starts_of(agent)[number - 1].attempt
    agent.handle(AttemptAnswered(attempt, 200, (), b"", requests=requests))


@then("no attempt has been cancelled")
def check_none_cancelled(context: Context) -> None:
    assert not context.agent.outputs_of(CancelAttempt)


@then("the connection of agent stream {stream:d} has been given up, and logged")
def check_given_up(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    cancelled = agent.outputs_of(CancelAttempt)
    assert cancelled == [CancelAttempt(attempt_at(agent, stream), connection_lost=True)], cancelled
    logged = [each.code for each in agent.outputs_of(LogEvent)]  # type: ignore[attr-defined]
    assert logged.count(events.CONNECTION_LOST) == 1, logged


@then("the request of agent stream {stream:d} was sent to the instance once")
def check_sent_once(context: Context, stream: int) -> None:
    attempt_at(context.agent, stream)


@then("the agent made no check of the instance")
def check_no_checks(context: Context) -> None:
    assert not context.agent.outputs_of(CheckBackend)


@then("the agent has asked the instance for its load {count:d} times")
def check_asked(context: Context, count: int) -> None:
    asked = [each for each in context.agent.outputs_of(CheckBackend) if each.asks_load]
    assert len(asked) == count, asked


@then("the instance has received {count:d} requests")
def check_received(context: Context, count: int) -> None:
    assert len(starts_of(context.agent)) == count, starts_of(context.agent)


@then('the load header "{header}" states {requests} requests')
def check_header(context: Context, header: str, requests: str) -> None:
    expected = None if requests == "no" else int(requests)
    assert parse_requests(((b"x-load", header.encode()),), NAMES) == expected


class StatingServer:
    """Answers with a load header, and never responds to ``/lost``; ``closed`` tells of its end."""

    def __init__(self) -> None:
        self.closed = trio.Event()
        self.taken = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        while request := await stream.receive_some(65536):
            if b"/lost" in request:
                self.taken.set()
                continue
            await stream.send_all(b"HTTP/1.1 200 OK\r\nX-Load: 2,1,9\r\ncontent-length: 0\r\n\r\n")
        if self.taken.is_set():
            self.closed.set()


async def talk_to_stating_server() -> list[Event]:
    """Make a call, a check that asks for the load, and one call that is lost and given up."""
    send_event, receive_event = trio.open_memory_channel[Event](10)
    server, received = StatingServer(), []
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        settings = BackendSettings(address=address)
        backend = BackendClient(
            settings, nursery, send_event.send_nowait, NAMES, health_path="/health"
        )
        backend.carry_out(StartAttempt(1, "orders", b"GET", b"/ok", (), b"", 30.0))
        received.append(await receive_event.receive())
        backend.carry_out(CheckBackend(asks_load=True))
        received.append(await receive_event.receive())
        backend.carry_out(StartAttempt(2, "orders", b"GET", b"/lost", (), b"", 30.0))
        await server.taken.wait()
        backend.carry_out(CancelAttempt(2, connection_lost=True))
        received.append(await receive_event.receive())
        await server.closed.wait()
        backend.close()
        nursery.cancel_scope.cancel()
    return received


@when("a client talks to an instance that states its load and loses a request")
def talk_to_instance(context: Context) -> None:
    before = INSTANCE_CONNECTIONS_LOST.only.read()
    context.events = trio.run(talk_to_stating_server)
    context.counted = INSTANCE_CONNECTIONS_LOST.only.read() - before


@then("the response and the check tell the requests at the instance")
def check_told_requests(context: Context) -> None:
    answered, checked, _ = context.events
    assert isinstance(answered, AttemptAnswered) and answered.requests == 3, answered
    assert checked == BackendChecked(ConnectResult.OPENED, 3), checked


@then("the connection of the lost request is closed and counted")
def check_closed(context: Context) -> None:
    failed = context.events[-1]
    assert isinstance(failed, AttemptFailed) and failed.sent_any_byte, failed
    assert failed.failure.kind is ErrorKind.CANCELLED and context.counted == 1, context.counted
