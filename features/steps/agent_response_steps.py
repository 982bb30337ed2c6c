"""Steps for back end responses, and for refusals by expected wait."""

from __future__ import annotations

import math

import trio
from behave import given, then, when

from limelever.agent.backend_client import BackendClient
from limelever.agent.fair_queue import FairQueue, QueueLimits
from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.interface import AttemptAnswered, AttemptFailed, StartAttempt
from limelever.agent.response_parser import ResponseParser
from limelever.agent.settings import BackendSettings
from limelever.agent.wait_estimator import WaitEstimator
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import Address
from limelever.protocol.priorities import priority_group

NAMES = HeaderNames(
    timeout=b"x-time",
    request_id=b"x-id",
    target_instance=b"x-instance",
    not_run=b"x-not-run",
    answers_repeat_id=True,
)
TEST_TIMEOUT_SECONDS = 10
SLOTS = 6


class StubBackend:
    """Sends the same response to every request and records the requests."""

    def __init__(self, answer: str) -> None:
        self.status = int(answer.split()[0])
        self.answer = answer
        self.connections = 0
        self.requests: list[list[bytes]] = []

    async def handle(self, stream):
        self.connections += 1
        received = b""
        while True:
            data = await stream.receive_some(65536)
            if not data:
                return
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                lines = head.split(b"\r\n")
                self.requests.append(lines)
                await stream.send_all(self.respond(lines))

    def respond(self, lines):
        sent = next(line for line in lines if line.lower().startswith(b"x-id:"))
        headers = [b"HTTP/1.1 %d Any" % self.status, b"content-length: 2"]
        if "another id" in self.answer:
            headers.append(b"x-id: other")
        elif "the id" in self.answer:
            headers.append(sent)
        if "not run" in self.answer:
            headers.append(b"x-not-run: 1")
        return b"\r\n".join([*headers, b"", b"ok"])


@given("a back end that answers with {answer}")
def given_back_end(context, answer):
    context.back_end = StubBackend(answer)
    context.ids = []


@when('an agent\'s back-end client sends it a request with the id "{name}"')
def when_sent(context, name):
    context.ids.append(name.encode())
    context.back_end.connections = 0
    context.back_end.requests.clear()
    context.events = trio.run(exchange, context.back_end, context.ids)


async def exchange(back_end, ids):
    events = []
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, back_end.handle, 0)
            port = listeners[0].socket.getsockname()[1]
            settings = BackendSettings(address=Address("127.0.0.1", port))
            backend = BackendClient(settings, nursery, events.append, NAMES, b"instance-7")
            for number, request_id in enumerate(ids, start=1):
                headers = ((b"host", b"h"), (b"x-id", request_id), (b"x-instance", b"forged"))
                backend.start(StartAttempt(number, "s", b"GET", b"/", headers, b"", 5.0))
                while len(events) < number:
                    await trio.sleep(0.005)
            backend.close()
            nursery.cancel_scope.cancel()
    return events


@then("the attempt is answered with {status:d}")
def then_answered(context, status):
    (event,) = context.events
    assert isinstance(event, AttemptAnswered) and event.status == status, event


@then("the attempt fails as {kind}, {outcome}")
def then_failed(context, kind, outcome):
    (event,) = context.events
    assert isinstance(event, AttemptFailed), event
    assert event.failure.kind is ErrorKind(kind), event
    assert event.refused is (outcome == "not run"), event
    assert event.sent_any_byte


@then("the back end has seen {count:d} connections")
def then_connections(context, count):
    assert context.back_end.connections == count


@then("the back end was told the instance, the time left and the id, once each")
def then_told(context):
    (lines,) = context.back_end.requests
    headers = [line.lower() for line in lines]
    assert [h for h in headers if h.startswith(b"x-instance:")] == [b"x-instance: instance-7"]
    assert [h for h in headers if h.startswith(b"x-id:")] == [b"x-id: one"]
    (left,) = [h for h in headers if h.startswith(b"x-time:")]
    assert 0 < int(left.split(b":")[1]) <= 5000


@given(
    "a queue whose slots are busy with calls of {service:d} ms, and {waiting:d} calls of the new "
    "call's group waiting"
)
def given_queue(context, service, waiting):
    context.groups = GroupTable(1, 32)
    context.estimate = WaitEstimator(SLOTS, context.groups)
    context.waiting = waiting
    common = context.groups.open("common", 0.0)
    context.service_time = service / 1000.0
    common.running = SLOTS


@then(
    "a call of {service:d} ms with {target:d} ms to its target and {deadline:d} ms to its "
    "deadline is {result}"
)
def then_admission(context, service, target, deadline, result):
    group: GroupQueue = context.groups.open("asked", 0.0)
    for number in range(context.waiting):
        group.append(QueuedCall(number, "asked", math.inf, 0, 0.0))
    for _ in range(50):
        context.estimate.observe("asked", service / 1000.0)
    for _ in range(50):
        context.estimate.observe("common", context.service_time)
    call = QueuedCall(99, "asked", deadline / 1000.0, 0, 0.0, target / 1000.0)
    wait = context.estimate.expected_wait(group, 0.0)
    refused = context.estimate.exceeds_wait_limit(group, call, 0.0, wait)
    assert refused is (result == "refused"), wait


@given(
    "a queue whose slots are busy with calls of {service:d} ms on route long, with {waiting:d} "
    "more waiting, after short calls of {short:d} ms"
)
def given_two_routes(context, service, waiting, short):
    queue = context.queue = FairQueue(QueueLimits(slots=SLOTS))
    context.long, context.short = priority_group(2, "long"), priority_group(2, "short")
    now = 0.0
    for number in range(50):
        for group, milliseconds in ((context.long, service), (context.short, short)):
            call = number * 2 + (group == context.short)
            queue.offer(QueuedCall(call, group, math.inf, 0, now), now)
            assert queue.start_next(now) is not None
            now += milliseconds / 1000.0
            queue.finish(call, now, representative=True)
    for number in range(1000, 1000 + SLOTS + waiting):
        queue.offer(QueuedCall(number, context.long, math.inf, 0, now), now)
        queue.start_next(now)
    context.now = now


@when(
    "a call on route short with {target:d} ms to its target and {deadline:d} ms to its deadline "
    "is offered"
)
def offer_short(context, target, deadline):
    now = context.now
    call = QueuedCall(7, context.short, now + deadline / 1000, 0, now, now + target / 1000)
    context.offered = context.queue.offer(call, now)


@then("it is queued, and starts before the calls of route long")
def then_short_first(context):
    assert context.offered == (), context.offered
    now = context.now + 0.1
    context.queue.finish(1000, now, representative=True)
    started = context.queue.start_next(now)
    assert started is not None
    assert started.group == context.short, started


@given(
    "calls of {short:d} ms on one route and of {long:d} ms on another, {percent:d} percent on the "
    "first"
)
def given_mixed_calls(context, short, long, percent):
    context.estimate = WaitEstimator(SLOTS, GroupTable(1, 32))
    short_due = 0.0
    for _ in range(300):
        short_due += percent / 100
        is_short = short_due >= 1
        short_due -= is_short
        name, service = ("short", short) if is_short else ("long", long)
        context.estimate.observe(name, service / 1000)


@then(
    "a call of {service:d} ms that waits {wait:d} ms is admitted with {target:d} ms to its "
    "target and {deadline:d} to its deadline"
)
def then_short_admitted(context, service, wait, target, deadline):
    group = GroupQueue("short", 1)
    call = QueuedCall(1, "short", deadline / 1000, 0, 0.0, target / 1000)
    assert not context.estimate.exceeds_wait_limit(group, call, 0.0, wait / 1000), (
        context.estimate.time_weighted
    )


class UrgentLoad:
    """Simulates a queue in steps of 1 ms, with urgent calls at a constant rate."""

    def __init__(self, slots, urgent_ms, urgent_slots):
        self.queue = FairQueue(QueueLimits(slots=slots))
        self.urgent_ms, self.gap = urgent_ms, urgent_ms / urgent_slots
        self.urgent, self.less_urgent = priority_group(0, "urgent"), priority_group(1, "less")
        self.running = []
        self.service = {}
        self.arrived = {}
        self.waits = []
        self.due = 0.0

    def offer(self, group, service_ms, target, now):
        number = len(self.service)
        self.service[number] = service_ms
        call = QueuedCall(number, group, now + 5.0, 0, now, now + target)
        if not isinstance(self.queue.offer(call, now), Failure) and group == self.less_urgent:
            self.arrived[number] = now

    def run(self, seconds, less_urgent_every_ms, less_urgent_ms, target):
        for millisecond in range(int(seconds * 1000)):
            now = millisecond / 1000.0
            for end, number in [each for each in self.running if each[0] <= now]:
                self.running.remove((end, number))
                self.queue.finish(number, now, representative=True)
            if millisecond >= self.due:
                self.due += self.gap
                self.offer(self.urgent, self.urgent_ms, 1.0, now)
            if millisecond % less_urgent_every_ms == 0:
                self.offer(self.less_urgent, less_urgent_ms, target, now)
            while (started := self.queue.start_next(now)) is not None:
                self.running.append((now + self.service[started.number] / 1000.0, started.number))
                if started.number in self.arrived:
                    self.waits.append(now - self.arrived[started.number])


@given(
    "a queue of {slots:d} slots where calls of {service:d} ms that are more urgent hold {held:d} "
    "slots on average"
)
def given_urgent_load(context, slots, service, held):
    context.load = UrgentLoad(slots, service, held)


@when("calls of {service:d} ms with {target:d} ms to their target keep arriving")
def when_less_urgent(context, service, target):
    context.load.run(8.0, less_urgent_every_ms=12, less_urgent_ms=service, target=target / 1000.0)


@then("90 percent of those that are admitted start within {most:d} ms")
def then_start_within(context, most):
    waits = sorted(context.load.waits[len(context.load.waits) // 2 :])
    assert len(waits) > 50, waits
    p90 = waits[len(waits) * 9 // 10]
    assert p90 * 1000 <= most, p90


@given("a queue of {slots:d} slots that is full of calls of {service:d} ms")
def given_full_queue(context, slots, service):
    queue = context.queue = FairQueue(QueueLimits(slots=slots))
    now = 0.0
    for number in range(50):
        queue.offer(QueuedCall(number, "all", math.inf, 0, now), now)
        assert queue.start_next(now) is not None
        now += service / 1000.0
        queue.finish(number, now, representative=True)
    for number in range(100, 100 + 3 * slots):
        queue.offer(QueuedCall(number, "all", math.inf, 0, now), now)
        queue.start_next(now)
    context.now = now


def refused_now(context):
    now = context.now
    refusal = context.queue.offer(QueuedCall(999, "all", now + 0.15, 0, now), now)
    assert isinstance(refusal, Failure), refusal
    return refusal.retry_after


@when("{count:d} calls are refused at the same time")
def when_refused_together(context, count):
    context.retries = [refused_now(context) for _ in range(count)]


@when("no call is refused for {pause:d} seconds and then one is refused")
def when_refused_later(context, pause):
    context.now += pause
    context.retry_later = refused_now(context)


@then("each of them got a later retry time than the one before, {step:d} ms later on average")
def then_retries_spread(context, step):
    retries = context.retries
    assert all(later > earlier for earlier, later in zip(retries, retries[1:], strict=False)), (
        retries
    )
    average = (retries[-1] - retries[0]) / (len(retries) - 1)
    assert abs(average * 1000 - step) < step / 4, average


@then("that one got as early a retry time as the first")
def then_retry_early(context):
    assert abs(context.retry_later - context.retries[0]) < 0.001, (
        context.retry_later,
        context.retries,
    )


@then("none of them got a retry time of more than {most:d} seconds")
def then_retries_bounded(context, most):
    assert max(context.retries) <= most + 0.001, max(context.retries)


@given("a new queue of {slots:d} slots")
def given_new_queue(context, slots):
    context.queue = FairQueue(QueueLimits(slots=slots))
    context.refusals = []


def offer_all(context, count, target):
    for number in range(count):
        offered = context.queue.offer(QueuedCall(number, "all", 5.0, 0, 0.0, target), 0.0)
        if isinstance(offered, Failure):
            context.refusals.append(offered)
        context.queue.start_next(0.0)


@when("{count:d} calls with {target:d} ms to their target arrive at once")
def when_many_with_target(context, count, target):
    offer_all(context, count, target / 1000.0)


@when("{count:d} calls without a target arrive at once")
def when_many_without_target(context, count):
    offer_all(context, count, math.inf)


@then("{running:d} of them run, {waiting:d} wait and {refused:d} were refused with a retry time")
def then_run_and_wait(context, running, waiting, refused):
    queue = context.queue
    found = (queue.running, queue.queued, len(context.refusals))
    assert found == (running, waiting, refused), found
    assert all(refusal.retry_after > 0 for refusal in context.refusals)


@when("the first of them ends after {service:d} ms")
def when_first_ends(context, service):
    context.now = service / 1000.0
    context.queue.finish(0, context.now, representative=True)


@then("a call with {target:d} ms to its target is refused for its expected wait")
def then_refused_for_wait(context, target):
    now = context.now
    call = QueuedCall(999, "all", now + 5.0, 0, now, now + target / 1000.0)
    offered = context.queue.offer(call, now)
    assert isinstance(offered, Failure) and "about" in offered.reason, offered


OK = b"HTTP/1.1 200 OK\r\n"
COMPLETE = OK + b"content-length: 2\r\n\r\nok"
CONTINUE, NO_STATUS = b"HTTP/1.1 100 Continue\r\n", b"HTTP/1.1 000 Nothing\r\n"
CHUNKS = OK + b"transfer-encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n"
RAW_RESPONSES = {
    "a length and the body": COMPLETE,
    "chunks": CHUNKS + b"0\r\n\r\n",
    "chunks with a trailer field": CHUNKS + b"0\r\nx-behind: 9\r\n\r\n",
    "a length, the body and more": COMPLETE + b"more",
    "a complete response twice": COMPLETE + COMPLETE,
    "a length, the body and connection close": OK
    + b"connection: close\r\ncontent-length: 2\r\n\r\nok",
    "the version 1.0": b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "no length": OK + b"x: y\r\n\r\nok",
    "half of the body": OK + b"content-length: 4\r\n\r\nok",
    "half of the head": OK + b"content-len",
    "half of a chunk": CHUNKS + b"5\r\nab",
    "a body over the limit": OK + b"content-length: 200\r\n\r\n" + bytes(200),
    "two lengths": OK + b"content-length: 2\r\ncontent-length: 3\r\n\r\nok",
    "an unknown transfer coding": OK + b"transfer-encoding: gzip\r\n\r\nok",
    "bytes that are not HTTP": b"\x00\x01\x02 nothing",
    "a protocol upgrade": b"HTTP/1.1 101 Ok\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
    "100 Continue and then the response": CONTINUE + b"\r\n" + COMPLETE,
    "no content": b"HTTP/1.1 204 Nothing\r\n\r\n",
    "a length and no body": OK + b"content-length: 2\r\n\r\n",
    "status 000 and a body, then a response": NO_STATUS + b"content-length: 2\r\n\r\nok" + COMPLETE,
    "status 000 without a body, then a response": NO_STATUS + b"\r\n" + COMPLETE,
    "status 999": b"HTTP/1.1 999 More\r\ncontent-length: 2\r\n\r\n",
    "100 Continue, then status 000": CONTINUE + b"\r\n" + NO_STATUS + b"\r\n" + COMPLETE,
    "100 Continue whose body is a response": CONTINUE
    + b"content-length: %d\r\n\r\n" % len(COMPLETE)
    + COMPLETE,
    "100 Continue whose chunks are a response": CONTINUE
    + b"transfer-encoding: chunked\r\n\r\n"
    + COMPLETE,
    "status 101, then a response": b"HTTP/1.1 101 Ok\r\n\r\n" + COMPLETE,
}
LIMIT_BYTES = 100


@when("a back end answers a {method:w} with {raw}")
def when_raw_answer(context, method, raw):
    name, _, end = raw.partition(", ended by a ")
    context.parser = ResponseParser(method.encode(), LIMIT_BYTES)
    context.parser.feed(RAW_RESPONSES[name])
    if end == "close":
        context.parser.handle_close()
    elif end == "reset":
        context.parser.handle_error("reset")


@then("the response {result}, and its connection {reuse}")
def then_parsed(context, result, reuse):
    parser = context.parser
    assert (parser.response is not None) is (result == "is complete"), parser.failure
    assert (parser.failure is None) is (result == "is complete"), parser.failure
    assert parser.reusable is (reuse == "is reusable")
    if parser.response is not None:
        assert parser.response.body in (b"ok", b""), parser.response


async def answer_before_reading(stream):
    await stream.send_all(COMPLETE.replace(b"\r\n\r\n", b"\r\nx-id: one\r\n\r\n"))
    await trio.sleep_forever()


async def send_large(size):
    events = []
    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer_before_reading, 0)
            port = listeners[0].socket.getsockname()[1]
            settings = BackendSettings(address=Address("127.0.0.1", port))
            backend = BackendClient(settings, nursery, events.append, NAMES)
            headers = ((b"host", b"h"), (b"x-id", b"one"))
            backend.start(StartAttempt(1, "s", b"POST", b"/", headers, bytes(size), 60.0))
            while not events:
                await trio.sleep(0.005)
            nursery.cancel_scope.cancel()
    return events


@when("an attempt sends {size:d} MiB to a back end that answers without reading it")
def when_early_answer(context, size):
    context.events = trio.run(send_large, size << 20)
