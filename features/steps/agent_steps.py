"""Steps for calls to an agent and for its drain."""

from __future__ import annotations

import random

from agent_harness import (
    FAR_FUTURE_SECONDS,
    HYPOTHESIS_SETTINGS,
    PROXY_CONNECTION,
    AgentHarness,
    call_start,
)
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st

from limelever.agent.call_service import CallLimits, CallService
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    CancelAttempt,
    DrainFinished,
    DrainRequested,
    StartAttempt,
)
from limelever.common.errors import ERROR_TABLE, ErrorKind, Failure, Outcome
from limelever.common.sansio import (
    ConnectionClosed,
    Output,
    SendMessage,
)
from limelever.common.stop_rule import StopBegan
from limelever.protocol.calls_pb2 import (
    CallBody,
    CallCancel,
    CallCredit,
    CallFailed,
    CallStart,
    ResponseBody,
    ResponseStart,
)
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    Resource,
    Service,
    Share,
)
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    LeaseRenew,
)


@given("an agent of incarnation 7 with {slots:d} slots and a proxy")
def given_agent(context: Context, slots: int) -> None:
    context.agent = AgentHarness(slots)
    context.agent.add_proxy()


@given("a registered agent with {slots:d} slots and a proxy")
def given_registered(context: Context, slots: int) -> None:
    given_agent(context, slots)
    context.agent.register()


@when("the agent gets a call on agent stream {stream:d} with {left:d} seconds left")
def send_call(context: Context, stream: int, left: int) -> None:
    context.agent.send(call_start(stream, deadline_left_ms=left * 1000))


@when("the agent gets a call on agent stream {stream:d} for incarnation {incarnation:d}")
def send_for_incarnation(context: Context, stream: int, incarnation: int) -> None:
    context.agent.send(call_start(stream, agent_incarnation=incarnation))


@when("the agent gets the same attempt on agent streams 1 and 2")
def send_twice(context: Context) -> None:
    context.agent.send(call_start(1))
    context.agent.send(call_start(1))
    context.agent.send(call_start(2, attempt_id=call_start(1).attempt_id))


@when(
    "the agent gets a repeatable call on agent stream 1 and an at-most-once call on agent stream 2"
)
def send_both_kinds(context: Context) -> None:
    context.agent.send(call_start(1))
    context.agent.send(call_start(2, call_kind=CALL_KIND_AT_MOST_ONCE))


@when("the agent gets a body of {count:d} parts of {size:d} bytes on agent stream {stream:d}")
def send_parts(context: Context, count: int, size: int, stream: int) -> None:
    context.agent.send(call_start(stream, end=False))
    for index in range(1, count + 1):
        part = CallBody(stream=stream, data=bytes(size), end=index == count)
        context.agent.send(part)


@when(
    "the agent gets the head of a call with {seconds:d} seconds left on agent stream {stream:d}, "
    "its body to follow"
)
def send_head(context: Context, seconds: int, stream: int) -> None:
    head = call_start(stream, end=False, awaits_credit=True, deadline_left_ms=seconds * 1000)
    context.agent.send(head)


@when("the body of agent stream {stream:d} follows")
def send_body(context: Context, stream: int) -> None:
    context.agent.send(CallBody(stream=stream, data=b"body", end=True))


@then("the agent gave credit on agent stream {stream:d}")
def gave_credit(context: Context, stream: int) -> None:
    (credit,) = context.agent.sent(PROXY_CONNECTION, CallCredit)
    assert credit.stream == stream
    assert credit.bytes > 0


@then("the agent gave no credit")
def gave_no_credit(context: Context) -> None:
    assert context.agent.sent(PROXY_CONNECTION, CallCredit) == []


@when("the proxy sends a cancel for agent stream {stream:d}")
def send_cancel(context: Context, stream: int) -> None:
    context.agent.send(CallCancel(stream=stream))


@when("the proxy sends a cancel for agent stream {stream:d} unless it was started")
def send_cancel_unless_started(context: Context, stream: int) -> None:
    context.agent.send(CallCancel(stream=stream, unless_begun=True))


@when("the agent's connection to its proxy closes")
def close_proxy_connection(context: Context) -> None:
    context.agent.handle(ConnectionClosed(PROXY_CONNECTION, "lost"))


@when("the agent's clock moves to its next call deadline")
def pass_deadline(context: Context) -> None:
    context.agent.advance(1.0)


@when("{seconds:g} seconds pass at the agent")
def pass_time(context: Context, seconds: float) -> None:
    context.agent.advance(seconds)


@when("the agent's back end answers agent stream {stream:d}")
def answer(context: Context, stream: int) -> None:
    answer_bytes(context, stream, 2)


@when(
    "agent stream {stream:d} is answered {seconds:d} seconds later, before the agent's timer fires"
)
def answer_before_timer(context: Context, stream: int, seconds: int) -> None:
    context.agent.now += seconds
    answer(context, stream)


@when("the agent's back end answers agent stream {stream:d} with {size:d} bytes")
def answer_bytes(context: Context, stream: int, size: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.body = random.Random(1).randbytes(size)
    context.agent.handle(AttemptAnswered(attempt, 200, (), context.body))


@when("its attempt fails with {kind:S} and {sent:S} bytes sent")
def fail_attempt(context: Context, kind: str, sent: str) -> None:
    failure = Failure(ErrorKind(kind), "broken")
    context.agent.handle(AttemptFailed(context.agent.attempt_of(1), failure, sent == "some"))


@then("agent stream {stream:d} has failed with {kind:S}")
def check_failed(context: Context, stream: int, kind: str) -> None:
    failed = [m for m in context.agent.sent(PROXY_CONNECTION, CallFailed) if m.stream == stream]
    assert [message.kind for message in failed] == [kind], failed


@then("no failure was sent on agent stream {stream:d}")
def check_not_failed(context: Context, stream: int) -> None:
    failed = context.agent.sent(PROXY_CONNECTION, CallFailed)
    assert stream not in [message.stream for message in failed], failed


@then("the agent's back end received {count:d} requests")
def check_requests(context: Context, count: int) -> None:
    assert len(context.agent.outputs_of(StartAttempt)) == count


@then("the agent's back end received one request")
def check_one_request(context: Context) -> None:
    assert len(context.agent.outputs_of(StartAttempt)) == 1


@then("the agent's back end received no request")
def check_no_request(context: Context) -> None:
    assert not context.agent.outputs_of(StartAttempt)


@then("the attempt of agent stream {stream:d} is cancelled at the back end")
@then("only the attempt of agent stream {stream:d} is cancelled")
def check_cancelled(context: Context, stream: int) -> None:
    cancelled = [output.attempt for output in context.agent.outputs_of(CancelAttempt)]
    assert cancelled == [context.agent.attempt_of(stream)]


@then("its slot is busy until the request to the back end has ended")
def check_slot(context: Context) -> None:
    agent = context.agent
    assert agent.core.running == 1
    cancelled = Failure(ErrorKind.CANCELLED, "cancelled")
    agent.handle(AttemptFailed(agent.attempt_of(1), cancelled, True))
    assert agent.core.running == 0


@then("no call waits at the agent")
def check_none_waits(context: Context) -> None:
    assert context.agent.core.waiting == 0


@then("the attempt of agent stream {stream:d} carries {size:d} bytes")
def check_body(context: Context, stream: int, size: int) -> None:
    assert len(context.agent.outputs_of(StartAttempt)[stream - 1].body) == size


def answer_parts(context: Context) -> list[ResponseStart | ResponseBody]:
    (first,) = context.agent.sent(PROXY_CONNECTION, ResponseStart)
    return [first, *context.agent.sent(PROXY_CONNECTION, ResponseBody)]


def answer_bytes_of(parts: list[ResponseStart | ResponseBody]) -> bytes:
    return b"".join(p.body if isinstance(p, ResponseStart) else p.data for p in parts)


@then("agent stream {stream:d} has received {size:d} bytes in order")
def check_answer(context: Context, stream: int, size: int) -> None:
    parts = answer_parts(context)
    assert [part.end for part in parts] == [False] * (len(parts) - 1) + [True]
    received = answer_bytes_of(parts)
    assert received == context.body and len(received) == size


@then("agent stream {stream:d} has received {size:d} of these bytes")
def check_answer_so_far(context: Context, stream: int, size: int) -> None:
    parts = answer_parts(context)
    assert not any(part.end for part in parts)
    assert answer_bytes_of(parts) == context.body[:size]


@when("the proxy gives the agent credit for {size:d} bytes on agent stream {stream:d}")
def give_credit(context: Context, size: int, stream: int) -> None:
    context.agent.send(CallCredit(stream=stream, bytes=size))


@when("the agent gets {count:d} calls with {left:d} seconds left and answers of {size:d} bytes")
def answer_large(context: Context, count: int, left: int, size: int) -> None:
    for stream in range(1, count + 1):
        send_call(context, stream, left)
        answer_bytes(context, stream, size)


@then("the agent's drain has not finished")
def check_not_drained(context: Context) -> None:
    assert not context.agent.outputs_of(DrainFinished)


@then("the failure of agent stream {stream:d} has a retry-after time")
def check_retry_after(context: Context, stream: int) -> None:
    failed = [m for m in context.agent.sent(PROXY_CONNECTION, CallFailed) if m.stream == stream]
    assert failed[0].retry_after_ms > 0


@then("any sequence of calls gets one answer each, at most one attempt and a true outcome")
def check_call_invariants(_context: Context) -> None:
    operation = st.tuples(
        st.sampled_from(["call", "call", "call", "resend", "cancel", "answer", "fail", "wait"]),
        st.integers(0, 30),
        st.booleans(),
    )

    @HYPOTHESIS_SETTINGS
    @examples(st.lists(operation, max_size=120))
    def run(operations: list[tuple[str, int, bool]]) -> None:
        sequence = CallSequence()
        for name, number, flag in operations:
            sequence.step(name, number, flag)
        sequence.check()

    run()


class CallSequence:
    """Runs generated operations on a call service and records its outputs."""

    def __init__(self) -> None:
        limits = CallLimits(QueueLimits(slots=2, group_calls=4))
        self.service = CallService("orders", 7, limits, random.Random(7))
        self.now = 0.0
        self.streams = 0
        self.running: dict[int, int] = {}
        self.started: list[int] = []
        self.final_messages: dict[int, list[object]] = {}

    def step(self, name: str, number: int, flag: bool) -> None:
        if flag:
            self.take(self.service.expire(self.now))
        match name:
            case "call":
                self.streams += 1
                left = 50 + 100 * number
                self.call(call_start(self.streams, group=f"g{number % 3}", deadline_left_ms=left))
            case "resend" if self.streams:
                stream = 1 + number % self.streams
                again = call_start(stream)
                again.stream += 1000 * flag
                self.call(again)
            case "cancel":
                stream = next(iter(self.running.values()), 0) if flag else number
                self.take(self.service.cancel(PROXY_CONNECTION, CallCancel(stream=stream)))
            case "answer" if self.running:
                attempt = self.end_one(number)
                self.take(
                    self.service.attempt_answered(AttemptAnswered(attempt, 200, (), b""), self.now)
                )
            case "fail" if self.running:
                attempt = self.end_one(number)
                failure = Failure(ErrorKind.CONNECTION_FAILED, "broken")
                self.take(
                    self.service.attempt_failed(AttemptFailed(attempt, failure, True), self.now)
                )
            case "wait":
                self.now += number / 20

    def end_one(self, number: int) -> int:
        attempt = list(self.running)[number % len(self.running)]
        del self.running[attempt]
        return attempt

    def call(self, start: CallStart) -> None:
        self.take(self.service.start(PROXY_CONNECTION, "proxy-1", start, self.now))

    def take(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, StartAttempt):
                assert output.timeout > 0
                self.running[output.attempt] = int(output.target)
                self.started.append(int(output.target))
            elif isinstance(output, SendMessage):
                message = output.message
                assert isinstance(message, CallFailed | ResponseStart)
                self.final_messages.setdefault(message.stream, []).append(message)

    def check(self) -> None:
        while self.running:
            self.step("answer", 0, False)
        self.take(self.service.expire(self.now + FAR_FUTURE_SECONDS))
        for stream in range(1, self.streams + 1):
            messages = [m for m in self.final_messages.get(stream, []) if not is_resend_answer(m)]
            assert len(messages) == 1, (stream, messages)
            assert self.started.count(stream) <= (0 if any(map(is_not_run, messages)) else 1)
        assert self.service.running == 0 and self.service.waiting == 0


def is_resend_answer(message: object) -> bool:
    return isinstance(message, CallFailed) and message.kind == ErrorKind.OUTCOME_UNKNOWN.value


def is_not_run(message: object) -> bool:
    if not isinstance(message, CallFailed):
        return False
    return ERROR_TABLE[ErrorKind(message.kind)].outcome is Outcome.NOT_RUN


@when("configuration gives group {group:S} weight {weight:d} and bodies {size:d} bytes")
def install(context: Context, group: str, weight: int, size: int) -> None:
    share = Share(service="orders", group=group, weight=weight)
    service = Service(name="orders", max_body_bytes=size)
    context.agent.install(Resource(share=share), Resource(service=service))


@when("groups {first:S} and {second:S} keep {count:d} calls waiting for {rounds:d} answers")
def keep_waiting(context: Context, first: str, second: str, count: int, rounds: int) -> None:
    agent = context.agent
    for stream in range(1, 2 * count + rounds):
        group = (first, second)[stream % 2]
        agent.send(call_start(stream, group=group, deadline_left_ms=900_000))
    for index in range(rounds):
        agent.now += 0.02
        agent.handle(AttemptAnswered(agent.attempt_of(index + 1), 200, (), b""))


@then("group {group:S} had about {part:d} of {whole:d} attempts")
def check_share_of_attempts(context: Context, group: str, part: int, whole: int) -> None:
    starts = context.agent.outputs_of(StartAttempt)
    parity = ("web", "batch").index(group)
    started = sum(1 for start in starts if int(start.target) % 2 == parity)
    assert abs(started - len(starts) * part / whole) <= 2, (started, len(starts))


@when(
    "the agent's stop begins, with {answers:d} seconds for answers, "
    "and it takes calls for {listens:d}"
)
def begin_stop(context: Context, answers: int, listens: int) -> None:
    now = context.agent.now
    context.agent.handle(StopBegan(now + answers, now + listens))


@then("the failure on agent stream {stream:d} does not say that the agent is draining")
def check_not_draining(context: Context, stream: int) -> None:
    failed = context.agent.sent(PROXY_CONNECTION, CallFailed)
    (load,) = [each.load for each in failed if each.stream == stream]
    assert load.slots and not load.draining, load


@when("the agent is asked to drain")
def request_drain(context: Context) -> None:
    context.agent.handle(DrainRequested())


@then("the relay is told that the agent is draining")
def check_draining(context: Context) -> None:
    last = context.agent.sent(context.agent.relay_connection, LeaseRenew)[-1]
    assert last.state == ENDPOINT_STATE_DRAINING


@then("the relay is told that the agent is gone")
def check_gone(context: Context) -> None:
    last = context.agent.sent(context.agent.relay_connection, LeaseRenew)[-1]
    assert last.state == ENDPOINT_STATE_GONE


@then("agent stream {stream:d} has its answer")
def check_answered(context: Context, stream: int) -> None:
    answered = context.agent.sent(PROXY_CONNECTION, ResponseStart)
    assert [message.stream for message in answered] == [stream]


@then("agent streams 1 and 2 have their answers")
def check_both_answered(context: Context) -> None:
    answered = context.agent.sent(PROXY_CONNECTION, ResponseStart)
    assert [message.stream for message in answered] == [1, 2]


@then("the drain has finished with {count:d} calls cancelled")
def check_drained(context: Context, count: int) -> None:
    assert [output.cut_off for output in context.agent.outputs_of(DrainFinished)] == [count]
