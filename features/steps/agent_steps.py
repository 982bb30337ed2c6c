"""Steps for the agent: fair queue, calls, drain and registration, all under virtual time."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.agent.backend import Backend
from limelever.agent.call_service import CallLimits, CallService
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import FIRST_CHARGE, FairQueue, QueueLimits
from limelever.agent.group_queue import QueuedCall
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendProbed,
    CancelAttempt,
    DrainFinished,
    DrainRequested,
    StartAttempt,
)
from limelever.agent.registration import Registration, RegistrationSettings
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ERROR_TABLE, ErrorKind, Failure, Outcome
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    MessageReceived,
    OpenConnection,
    Output,
    Peer,
    Purpose,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
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
    CALL_KIND_REPEATABLE,
    Resource,
    Service,
    Share,
    VersionedResource,
)
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    FreshnessAnswer,
    FreshnessProbe,
    RetryLater,
)
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    LeaseGranted,
    LeaseLost,
    LeaseRenew,
    Register,
)
from limelever.subscriber.settings import SubscriberSettings

CASES = settings(derandomize=True, max_examples=60, deadline=None, database=None)
FAR = 1e9
RELAYS = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
PROXY_LINK = 1
SHED_GROUP = "g0"
PROXY = Peer(Role.PROXY, "proxy-1", "lodz-a", Purpose.CALLS)
RELAY = Peer(Role.RELAY, "relay-1", "lodz-a", Purpose.REGISTRATION)
REGISTRATION = RegistrationSettings(
    RELAYS, "orders", "orders-1", "lodz-a", Address("10.0.0.9", 5), 1
)


# --- fair queue -----------------------------------------------------------------------------


def parse_weights(text: str) -> dict[str, int]:
    pairs = (pair.split("=") for pair in text.split(", "))
    return {name: int(weight) for name, weight in pairs}


def make_queue(weights: dict[str, int], **limits: int) -> FairQueue:
    queue = FairQueue(QueueLimits(**limits))
    queue.set_weights(weights)
    return queue


@dataclass
class Course:
    """Serves a fair queue in virtual time; counts slot time and starts by group."""

    queue: FairQueue
    slots: int
    now: float = 0.0
    last: int = 0
    busy: list[tuple[float, int, str, float]] = field(default_factory=list)
    served: dict[str, float] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)

    def offer(self, group: str, left: float = FAR, size: int = 0) -> object:
        self.last += 1
        return self.queue.offer(QueuedCall(self.last, group, self.now + left, size), self.now)

    def start(self, duration: dict[str, float]) -> None:
        while (call := self.queue.start_next(self.now)) is not None:
            taken = duration[call.group]
            heapq.heappush(self.busy, (self.now + taken, call.call, call.group, taken))
            self.starts.append(call.group)

    def finish_one(self) -> str:
        self.now, call, group, taken = heapq.heappop(self.busy)
        self.queue.finish(call, self.now, representative=group != SHED_GROUP)
        self.served[group] = self.served.get(group, 0.0) + taken
        return group


@then("backlogged agent groups are served within the bound of their weights")
def check_fairness(_context: Context) -> None:
    groups = st.lists(st.tuples(st.integers(1, 20), st.floats(0.001, 0.05)), min_size=2, max_size=5)

    @CASES
    @examples(groups, st.integers(1, 6))
    def serve(drawn: list[tuple[int, float]], slots: int) -> None:
        weights = {f"g{index}": weight for index, (weight, _) in enumerate(drawn)}
        duration = {f"g{index}": taken for index, (_, taken) in enumerate(drawn)}
        course = Course(make_queue(weights, slots=slots, group_calls=1000), slots)
        for group in weights:
            for _ in range(20):
                course.offer(group)
        course.start(duration)
        longest = max(FIRST_CHARGE, *duration.values())
        for _ in range(400):
            course.offer(course.finish_one())
            course.start(duration)
            parts = [(course.served.get(g, 0.0) / w, w) for g, w in weights.items()]
            for part, weight in parts:
                for other, other_weight in parts:
                    bound = 2 * slots * longest * (1 / weight + 1 / other_weight)
                    assert abs(part - other) <= bound + 1e-9

    serve()


@then("the agent queue never leaves a slot free while a call waits")
def check_work_conserving(_context: Context) -> None:
    step = st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0.0, 0.1))

    @CASES
    @examples(st.lists(step, max_size=200), st.integers(1, 6))
    def serve(steps: list[tuple[str, bool, float]], slots: int) -> None:
        course = Course(make_queue({"a": 1, "b": 50}, slots=slots), slots)
        for group, arrives, taken in steps:
            if arrives:
                course.offer(group)
            elif course.busy:
                course.finish_one()
            course.start(dict.fromkeys("abc", taken))
            assert course.queue.queued == 0 or course.queue.running == slots

    serve()


@given("an agent queue with {slots:d} slots and weights {weights}")
def given_queue(context: Context, slots: int, weights: str) -> None:
    context.course = Course(make_queue(parse_weights(weights), slots=slots), slots)


@given("an agent queue of {size:d} bytes with {slots:d} slot and weights {weights}")
def given_byte_queue(context: Context, size: int, slots: int, weights: str) -> None:
    queue = make_queue(parse_weights(weights), slots=slots, total_bytes=size)
    context.course = Course(queue, slots)


@when(
    "group flood offers {count:d} calls at once and group steady keeps {kept:d} calls waiting "
    "for {rounds:d} rounds"
)
def flood(context: Context, count: int, kept: int, rounds: int) -> None:
    course, duration = context.course, {"flood": 0.02, "steady": 0.02}
    context.refused = [course.offer("flood") for _ in range(count // 2)]
    course.start(duration)
    for _ in range(kept):
        course.offer("steady")
    context.refused += [course.offer("flood") for _ in range(count // 2)]
    course.starts.clear()
    for _ in range(rounds):
        course.offer(course.finish_one())
        course.start(duration)


@then("group steady was given at least {percent:d} percent of the starts")
def check_steady(context: Context, percent: int) -> None:
    starts = context.course.starts
    assert starts.count("steady") * 100 >= percent * len(starts), starts.count("steady")


@then("some calls of group flood were refused with {kind:S}")
def check_refused(context: Context, kind: str) -> None:
    kinds = {each.kind.value for each in context.refused if isinstance(each, Failure)}
    assert kind in kinds, kinds


@when("group flood fills the bytes of the queue and group steady offers a call of {size:d} bytes")
def flood_bytes(context: Context, size: int) -> None:
    course = context.course
    course.offer("flood")
    course.start({"flood": 1.0})
    for _ in range(10):
        course.offer("flood", size=100)
    context.offered = course.offer("steady", size=size)


@then("the call of group steady waits and calls of group flood were given back")
def check_eviction(context: Context) -> None:
    assert not isinstance(context.offered, Failure)
    assert len(context.offered) == 3
    assert {each.failure.outcome for each in context.offered} == {Outcome.NOT_RUN}
    assert context.course.queue.queued_bytes == 1000


@when("the weights become {weights} while both groups are backlogged")
def change_weights(context: Context, weights: str) -> None:
    course, duration = context.course, {"flood": 0.02, "steady": 0.02}
    for group in ["flood", "steady"] * 20:
        course.offer(group)
    course.start(duration)
    for index in range(200):
        if index == 100:
            course.queue.set_weights(parse_weights(weights))
            course.starts.clear()
        course.offer(course.finish_one())
        course.start(duration)


@then("group steady gets about 3 of 4 starts")
def check_new_weights(context: Context) -> None:
    assert 70 <= context.course.starts.count("steady") <= 80, context.course.starts


@when("calls take 1 second each and 5 calls wait")
def fill_slowly(context: Context) -> None:
    course = context.course
    course.offer("steady")
    course.start({"steady": 1.0})
    course.finish_one()
    for _ in range(6):
        course.offer("steady")
        course.start({"steady": 1.0})


@then("a call with {left:d} seconds left is refused with {kind:S} and advice")
def check_short(context: Context, left: int, kind: str) -> None:
    offered = context.course.offer("steady", left=left)
    assert isinstance(offered, Failure)
    assert offered.kind.value == kind
    assert offered.retry_after > 0


@then("a call with {left:d} seconds left is queued")
def check_long(context: Context, left: int) -> None:
    assert context.course.offer("steady", left=left) == ()


# --- calls ----------------------------------------------------------------------------------


def call_start(stream: int, **fields: object) -> CallStart:
    start = CallStart(
        stream=stream,
        attempt_id=stream.to_bytes(16, "big"),
        agent_incarnation=7,
        service="orders",
        group="web",
        call_kind=CALL_KIND_REPEATABLE,
        deadline_left_ms=10_000,
        method=b"GET",
        target=str(stream).encode(),
        end=True,
    )
    for name, value in fields.items():
        setattr(start, name, value)
    return start


class AgentBench:
    """An agent core with its shell's part played by the test."""

    def __init__(self, slots: int) -> None:
        options = AgentOptions(
            REGISTRATION,
            SubscriberSettings(RELAYS, ("orders",)),
            CallLimits(QueueLimits(slots=slots)),
        )
        self.core = AgentCore(options, 7, random.Random(1))
        self.now = 100.0
        self.outputs: list[Output] = []
        self.tell(Started())

    def tell(self, event: Event) -> None:
        self.outputs.extend(self.core.handle(event, self.now))

    def advance(self, seconds: float) -> None:
        until = self.now + seconds
        while (due := self.core.next_deadline()) is not None and due <= until:
            self.now = max(self.now, due)
            self.tell(DeadlineReached())
        self.now = until

    def add_proxy(self) -> None:
        self.tell(ConnectionOpened(PROXY_LINK, PROXY))

    def send(self, message: object) -> None:
        self.tell(MessageReceived(PROXY_LINK, message))  # type: ignore[arg-type]

    def register(self) -> None:
        self.tell(BackendProbed(True))
        self.relay_link = next(
            output.connection
            for output in self.outputs
            if isinstance(output, OpenConnection) and output.purpose is Purpose.REGISTRATION
        )
        self.tell(ConnectionOpened(self.relay_link, RELAY))
        grant = LeaseGranted(lease_ms=6000, incarnation=7)
        self.tell(MessageReceived(self.relay_link, grant))

    def of(self, kind: type[Output]) -> list[Output]:
        return [output for output in self.outputs if isinstance(output, kind)]

    def sent(self, link: int, kind: type) -> list[object]:
        sent = (o for o in self.outputs if isinstance(o, SendMessage) and o.connection == link)
        return [output.message for output in sent if isinstance(output.message, kind)]

    def attempt_of(self, stream: int) -> int:
        return self.of(StartAttempt)[stream - 1].attempt  # type: ignore[attr-defined]


@given("an agent of incarnation 7 with {slots:d} slots and a proxy")
def given_agent(context: Context, slots: int) -> None:
    context.agent = AgentBench(slots)
    context.agent.add_proxy()


@given("a registered agent with {slots:d} slots and a proxy")
def given_registered(context: Context, slots: int) -> None:
    given_agent(context, slots)
    context.agent.register()


@when("the agent gets a call on agent stream {stream:d} with {left:d} seconds left")
def send_call(context: Context, stream: int, left: int) -> None:
    context.agent.send(call_start(stream, deadline_left_ms=left * 1000))


@when("the agent gets a call on agent stream {stream:d} for incarnation {incarnation:d}")
def send_foreign(context: Context, stream: int, incarnation: int) -> None:
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


@when("the agent hears a cancel of agent stream {stream:d}")
def send_cancel(context: Context, stream: int) -> None:
    context.agent.send(CallCancel(stream=stream))


@when("the agent loses its proxy")
def lose_proxy(context: Context) -> None:
    context.agent.tell(ConnectionClosed(PROXY_LINK, "lost"))


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
    "the agent hears of the answer to agent stream {stream:d} before its timer, "
    "{seconds:d} seconds later"
)
def answer_before_timer(context: Context, stream: int, seconds: int) -> None:
    context.agent.now += seconds
    answer(context, stream)


@when("the agent's back end answers agent stream {stream:d} with {size:d} bytes")
def answer_bytes(context: Context, stream: int, size: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.body = random.Random(1).randbytes(size)
    context.agent.tell(AttemptAnswered(attempt, 200, (), context.body))


@when("its attempt fails with {kind:S} and {sent:S} byte sent")
def fail_attempt(context: Context, kind: str, sent: str) -> None:
    failure = Failure(ErrorKind(kind), "broken")
    context.agent.tell(AttemptFailed(context.agent.attempt_of(1), failure, sent == "some"))


@then("agent stream {stream:d} has failed with {kind:S}")
def check_failed(context: Context, stream: int, kind: str) -> None:
    failed = [m for m in context.agent.sent(PROXY_LINK, CallFailed) if m.stream == stream]
    assert [message.kind for message in failed] == [kind], failed


@then("the agent's back end was asked once")
def check_asked_once(context: Context) -> None:
    assert len(context.agent.of(StartAttempt)) == 1


@then("the agent's back end was never asked")
def check_never_asked(context: Context) -> None:
    assert not context.agent.of(StartAttempt)


@then("the attempt of agent stream {stream:d} is cancelled at the back end")
@then("only the attempt of agent stream {stream:d} is cancelled")
def check_cancelled(context: Context, stream: int) -> None:
    cancelled = [output.attempt for output in context.agent.of(CancelAttempt)]
    assert cancelled == [context.agent.attempt_of(stream)]


@then("its slot is busy until the back end's request has ended")
def check_slot(context: Context) -> None:
    agent = context.agent
    assert agent.core.running == 1
    cancelled = Failure(ErrorKind.CANCELLED, "cancelled")
    agent.tell(AttemptFailed(agent.attempt_of(1), cancelled, True))
    assert agent.core.running == 0


@then("no call waits at the agent")
def check_none_waits(context: Context) -> None:
    assert context.agent.core.waiting == 0


@then("the attempt of agent stream {stream:d} carries {size:d} bytes")
def check_body(context: Context, stream: int, size: int) -> None:
    assert len(context.agent.of(StartAttempt)[stream - 1].body) == size


def answer_parts(context: Context) -> list[ResponseStart | ResponseBody]:
    (first,) = context.agent.sent(PROXY_LINK, ResponseStart)
    return [first, *context.agent.sent(PROXY_LINK, ResponseBody)]


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
    assert not context.agent.of(DrainFinished)


@then("the proxy of agent stream {stream:d} was told when to come back")
def check_advice(context: Context, stream: int) -> None:
    failed = [m for m in context.agent.sent(PROXY_LINK, CallFailed) if m.stream == stream]
    assert failed[0].retry_after_ms > 0


@then("any course of calls at the agent keeps its promises")
def check_promises(_context: Context) -> None:
    operation = st.tuples(
        st.sampled_from(["call", "call", "call", "resend", "cancel", "answer", "fail", "wait"]),
        st.integers(0, 30),
        st.booleans(),
    )

    @CASES
    @examples(st.lists(operation, max_size=120))
    def run(operations: list[tuple[str, int, bool]]) -> None:
        course = CallCourse()
        for name, number, flag in operations:
            course.step(name, number, flag)
        course.check()

    run()


class CallCourse:
    """Drives a call service by drawn operations and keeps what it did."""

    def __init__(self) -> None:
        limits = CallLimits(QueueLimits(slots=2, group_calls=4))
        self.service = CallService("orders", 7, limits)
        self.now = 0.0
        self.streams = 0
        self.running: dict[int, int] = {}
        self.started: list[int] = []
        self.final: dict[int, list[object]] = {}

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
                self.take(self.service.cancel(PROXY_LINK, stream))
            case "answer" if self.running:
                attempt = self.end_one(number)
                self.take(self.service.answered(AttemptAnswered(attempt, 200, (), b""), self.now))
            case "fail" if self.running:
                attempt = self.end_one(number)
                failure = Failure(ErrorKind.CONNECTION_FAILED, "broken")
                self.take(self.service.failed(AttemptFailed(attempt, failure, True), self.now))
            case "wait":
                self.now += number / 20

    def end_one(self, number: int) -> int:
        attempt = list(self.running)[number % len(self.running)]
        del self.running[attempt]
        return attempt

    def call(self, start: CallStart) -> None:
        self.take(self.service.start(PROXY_LINK, "proxy-1", start, self.now))

    def take(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, StartAttempt):
                assert output.timeout > 0
                self.running[output.attempt] = int(output.target)
                self.started.append(int(output.target))
            elif isinstance(output, SendMessage):
                message = output.message
                assert isinstance(message, CallFailed | ResponseStart)
                self.final.setdefault(message.stream, []).append(message)

    def check(self) -> None:
        while self.running:
            self.step("answer", 0, False)
        self.take(self.service.expire(self.now + FAR))
        for stream in range(1, self.streams + 1):
            messages = [m for m in self.final.get(stream, []) if not is_resend_answer(m)]
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
    agent = context.agent
    (dial,) = (o for o in agent.of(OpenConnection) if o.purpose is Purpose.SUBSCRIPTION)
    share = Share(service="orders", group=group, weight=weight)
    service = Service(name="orders", max_body_bytes=size)
    resources = [
        VersionedResource(resource=resource, version=3)
        for resource in (Resource(share=share), Resource(service=service))
    ]
    digest = SetDigest.of(resources).to_bytes()
    snapshot = ConfigSnapshot(version=3, resources=resources, digest=digest)
    agent.tell(ConnectionOpened(dial.connection, RELAY))
    agent.tell(MessageReceived(dial.connection, snapshot))
    while agent.core.version == 0:
        for probe in agent.sent(dial.connection, FreshnessProbe):
            answer = FreshnessAnswer(nonce=probe.nonce, version=3)
            agent.tell(MessageReceived(dial.connection, answer))
        for write in agent.of(ReplaceFile):
            agent.tell(WriteCompleted(write.token))


@when("groups {first:S} and {second:S} keep {count:d} calls waiting for {rounds:d} answers")
def keep_waiting(context: Context, first: str, second: str, count: int, rounds: int) -> None:
    agent = context.agent
    for stream in range(1, 2 * count + rounds):
        group = (first, second)[stream % 2]
        agent.send(call_start(stream, group=group, deadline_left_ms=900_000))
    for index in range(rounds):
        agent.now += 0.02
        agent.tell(AttemptAnswered(agent.attempt_of(index + 1), 200, (), b""))


@then("group {group:S} had about {part:d} of {whole:d} attempts")
def check_part(context: Context, group: str, part: int, whole: int) -> None:
    starts = context.agent.of(StartAttempt)
    parity = ("web", "batch").index(group)
    had = sum(1 for start in starts if int(start.target) % 2 == parity)
    assert abs(had - len(starts) * part / whole) <= 2, (had, len(starts))


# --- drain ----------------------------------------------------------------------------------


@when("the agent is asked to drain")
def ask_drain(context: Context) -> None:
    context.agent.tell(DrainRequested())


@then("the relay hears that the agent is draining")
def check_draining(context: Context) -> None:
    last = context.agent.sent(context.agent.relay_link, LeaseRenew)[-1]
    assert last.state == ENDPOINT_STATE_DRAINING


@then("the relay hears that the agent is gone")
def check_gone(context: Context) -> None:
    last = context.agent.sent(context.agent.relay_link, LeaseRenew)[-1]
    assert last.state == ENDPOINT_STATE_GONE


@then("agent stream {stream:d} has its answer")
def check_answered(context: Context, stream: int) -> None:
    answered = context.agent.sent(PROXY_LINK, ResponseStart)
    assert [message.stream for message in answered] == [stream]


@then("the drain has finished with {count:d} calls cut off")
def check_drained(context: Context, count: int) -> None:
    assert [output.cut_off for output in context.agent.of(DrainFinished)] == [count]


# --- registration ---------------------------------------------------------------------------


@given("an agent beside a cold back end")
def given_cold(context: Context) -> None:
    context.agent = AgentBench(1)


def registrations_dialled(context: Context) -> int:
    dials = context.agent.of(OpenConnection)
    return sum(1 for dial in dials if dial.purpose is Purpose.REGISTRATION)


@then("no relay has been dialled by the agent")
def check_not_dialled(context: Context) -> None:
    assert registrations_dialled(context) == 0


@then("a relay has been dialled by the agent")
def check_dialled(context: Context) -> None:
    assert registrations_dialled(context) == 1


@when("a health probe passes")
def probe_passes(context: Context) -> None:
    context.agent.tell(BackendProbed(True))


class RegistrationBench:
    """A registration that holds a lease; the test plays its relay."""

    def __init__(self, lease_ms: int) -> None:
        self.part = Registration(REGISTRATION, 7, DialledConnections(), random.Random(3))
        self.now = 0.0
        self.outputs: list[Output] = self.part.begin(self.now)
        self.tell(ConnectionOpened(self.link, RELAY))
        self.receive(LeaseGranted(lease_ms=lease_ms, incarnation=7))
        self.relay = self.part.relay

    @property
    def dials(self) -> list[OpenConnection]:
        return [output for output in self.outputs if isinstance(output, OpenConnection)]

    @property
    def link(self) -> int:
        return self.dials[-1].connection

    def messages(self, kind: type) -> list[object]:
        sent = (output for output in self.outputs if isinstance(output, SendMessage))
        return [output.message for output in sent if isinstance(output.message, kind)]

    def tell(self, event: Event) -> None:
        self.outputs.extend(self.part.handle(event, self.now))

    def receive(self, message: object) -> None:
        self.tell(MessageReceived(self.link, message))  # type: ignore[arg-type]

    def next(self) -> None:
        due = self.part.next_deadline()
        assert due is not None
        self.now = due
        self.tell(DeadlineReached())


@given("a registration with relays A and B that holds a lease of {seconds:d} seconds")
def given_lease(context: Context, seconds: int) -> None:
    context.registration = RegistrationBench(seconds * 1000)


@when("its next deadline comes")
def next_deadline(context: Context) -> None:
    context.registration.next()


@then("{seconds:d} seconds have passed and the lease was renewed")
def check_renewed(context: Context, seconds: int) -> None:
    assert context.registration.now == seconds
    assert len(context.registration.messages(LeaseRenew)) == 1


@when("the link to its relay closes and its next deadline comes")
def relay_closes(context: Context) -> None:
    bench = context.registration
    bench.tell(ConnectionClosed(bench.link, "lost"))
    bench.next()


@when("no renewal is answered for {seconds:d} seconds")
def relay_silent(context: Context, seconds: int) -> None:
    bench = context.registration
    while len(bench.dials) == 1 and bench.part.next_deadline() <= seconds:
        bench.next()


@then("the other relay is dialled")
def check_other(context: Context) -> None:
    bench = context.registration
    assert [dial.address for dial in bench.dials][1:] == [
        relay for relay in RELAYS if relay != bench.relay
    ]


@when("the relay says that the lease is lost")
def lease_lost(context: Context) -> None:
    context.registration.receive(LeaseLost(incarnation=7, reason="expired"))


@then("the endpoint is registered again with a higher sequence")
def check_registered_again(context: Context) -> None:
    first, second = context.registration.messages(Register)
    assert second.endpoint.sequence > first.endpoint.sequence


@when("the relay says to come back in {seconds:d} seconds")
def retry_later(context: Context, seconds: int) -> None:
    context.registration.receive(RetryLater(retry_after_ms=seconds * 1000))


@then("no relay is dialled within {seconds:d} seconds and one is dialled later")
def check_deferred(context: Context, seconds: int) -> None:
    bench = context.registration
    assert len(bench.dials) == 1
    bench.next()
    assert bench.now >= seconds and len(bench.dials) == 2


# --- back end's client ----------------------------------------------------------------------

ANSWERS = {
    b"/ok": b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    b"/shed": b"HTTP/1.1 503 Busy\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
    b"/big": b"HTTP/1.1 200 OK\r\ncontent-length: 3000\r\n\r\n" + bytes(3000),
}


async def serve_one(stream: trio.SocketStream) -> None:
    request = await stream.receive_some(65536)
    target = request.split()[1]
    if target in ANSWERS:
        await stream.send_all(ANSWERS[target])
    elif target != b"/drop":
        await stream.receive_some(1)


async def attempt_at(target: str) -> Event:
    received: list[Event] = []
    ended = trio.Event()

    def post(event: Event) -> None:
        received.append(event)
        ended.set()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        if target == "/refused":
            await listener.aclose()
        else:
            nursery.start_soon(trio.serve_listeners, serve_one, [listener])
        address = Address("127.0.0.1", port)
        backend = Backend(BackendSettings(address=address, max_response_bytes=1024), nursery, post)
        backend.start(StartAttempt(1, "orders", b"GET", target.encode(), (), b"", 0.3))
        if target == "/cancelled":
            await trio.sleep(0.1)
            backend.cancel(1)
        await ended.wait()
        backend.close()
        nursery.cancel_scope.cancel()
    (event,) = received
    return event


@when("an attempt at a live back end asks for {target:S}")
def run_attempt(context: Context, target: str) -> None:
    context.event = trio.run(attempt_at, target)


@then("the attempt has ended as {end}")
def check_end(context: Context, end: str) -> None:
    event = context.event
    if isinstance(event, AttemptAnswered):
        assert end == f"answered {event.status}"
        return
    sent = "after bytes" if event.sent_any_byte else "before any byte"
    assert end == f"{event.failure.kind.value} {sent}", event


@dataclass
class KeepingServer:
    """Answers requests without bodies, some on each connection; counts connections."""

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


async def ask_repeatedly(server: KeepingServer, count: int, at_once: int, allowed: int) -> int:
    answers = 0
    room = trio.Semaphore(at_once)

    def post(event: Event) -> None:
        nonlocal answers
        assert isinstance(event, AttemptAnswered), event
        answers += 1
        room.release()

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        nursery.start_soon(trio.serve_listeners, server.serve, [listener])
        backend = Backend(BackendSettings(address=address, connections=allowed), nursery, post)
        for number in range(count):
            await room.acquire()
            await trio.sleep(0.02 if at_once == 1 else 0.0)
            backend.start(StartAttempt(number, "orders", b"GET", b"/ok", (), b"", 10.0))
        while answers < count:
            await trio.sleep(0.001)
        backend.close()
        nursery.cancel_scope.cancel()
    return answers


@when("{count:d} attempts in turn meet a back end that keeps its connections")
def ask_keeping(context: Context, count: int) -> None:
    context.server = KeepingServer(requests_each=100)
    context.answers = trio.run(ask_repeatedly, context.server, count, 1, 10)


@when("{count:d} attempts in turn meet a back end that closes after each answer")
def ask_closing(context: Context, count: int) -> None:
    context.server = KeepingServer(requests_each=1)
    context.answers = trio.run(ask_repeatedly, context.server, count, 1, 10)


@when("{count:d} attempts at once meet a back end, and the agent may open {allowed:d} connections")
def ask_at_once(context: Context, count: int, allowed: int) -> None:
    context.server = KeepingServer(requests_each=100)
    context.answers = trio.run(ask_repeatedly, context.server, count, count, allowed)


@then("the agent's client was answered {count:d} times over {connections:d} connection")
@then("the agent's client was answered {count:d} times over {connections:d} connections")
def check_connections(context: Context, count: int, connections: int) -> None:
    assert (context.answers, context.server.connections) == (count, connections)
