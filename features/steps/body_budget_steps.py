"""Steps for the budget of a process, and for what waits for it at each step of a call."""

from __future__ import annotations

import contextlib
import random

import trio
from agent_harness import PROXY_CONNECTION, REGISTRATION, AgentHarness, call_start
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies
from proxy_harness import ProxyHarness
from trio.testing import MockClock

from limelever.agent.backend_client import BackendClient
from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import AttemptAnswered, BackendGone, StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.byte_budget import SMALL_BYTES, ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address, Started
from limelever.protocol.calls_pb2 import (
    CallBody,
    CallCancel,
    CallCredit,
    CallFailed,
    ResponseBody,
    ResponseStart,
)
from limelever.proxy.attempts import AttemptSettings
from limelever.proxy.request_reservation import RequestReservations

MEGABYTE = 1_000_000
MEBIBYTE = 1 << 20
LARGEST = 64 * MEBIBYTE
PROPERTY = settings(max_examples=300, deadline=None, derandomize=True, database=None)
USES = strategies.sampled_from(list(Use))
SIZES = strategies.integers(1, 120)


@then("drawn bodies are held within the budget, and all of them are taken in the end")
def then_within(context):
    @PROPERTY
    @drawn(
        strategies.lists(strategies.tuples(USES, SIZES), max_size=40),
        strategies.randoms(use_true_random=False),
    )
    def check(bodies, draw):
        budget = ByteBudget(100 * MEGABYTE)
        held, waiting = [], []

        def granted(use, size):
            waiting.remove((use, size))
            held.append((use, size))

        for use, tenths in bodies:
            size = tenths * MEGABYTE // 4
            if budget.take(use, size):
                held.append((use, size))
            elif budget.can_wait(use, size):
                waiting.append((use, size))
                budget.wait(use, size, lambda use=use, size=size: granted(use, size))
            assert sum(size for _, size in held) <= budget.limit
            if held and draw.random() < 0.4:
                budget.release(*held.pop(draw.randrange(len(held))))
        while held:
            budget.release(*held.pop(draw.randrange(len(held))))
        assert not waiting, waiting
        assert all(budget.used(use) == 0 for use in Use)

    check()


@given("a budget of {size:d} MB for bodies of up to 64 MiB")
def given_budget(context, size):
    context.budget = ByteBudget(size * MEGABYTE)
    context.reservations = RequestReservations(context.budget, LARGEST, 1 << 30)


async def open_reservations(context, sizes, longest_wait=1.0):
    return [context.reservations.open(size, longest_wait, 30.0) for size in sizes]


@when("{count:d} requests of {size:d} MB come to the proxy")
def when_requests(context, count, size):
    context.opened = trio.run(open_reservations, context, [size * MEGABYTE] * count)


@when(
    "{count:d} uploads of {size:d} kB wait of which {arrived:d} kB have arrived, and the room for"
    " all is released"
)
def when_uploads_wait(context, count, size, arrived):
    async def run():
        context.budget.charge(Use.REQUEST, context.budget.limit)
        context.opened = await open_reservations(context, [size * 1000] * count)
        assert all(each.must_wait for each in context.opened)
        assert not any(each.add(arrived * 1000) for each in context.opened)
        context.budget.release(Use.REQUEST, context.budget.limit)

    context.bytes = count * size * 1000
    trio.run(run)


@then("all of them are held, and nothing beyond them")
def then_all_held(context):
    assert not any(each.must_wait for each in context.opened)
    assert context.budget.used(Use.REQUEST) == context.bytes, context.budget.used(Use.REQUEST)


@then("{held:d} of them is held, {waiting:d} waits and {refused:d} is refused")
def then_reservations(context, held, waiting, refused):
    failures = [each for each in context.opened if isinstance(each, Failure)]
    opened = [each for each in context.opened if not isinstance(each, Failure)]
    assert all(each.kind is ErrorKind.OVERLOADED for each in failures), failures
    found = (sum(not r.must_wait for r in opened), sum(r.must_wait for r in opened), len(failures))
    assert found == (held, waiting, refused), found


@then("a request of {size:d} kB is held")
def then_small_held(context, size):
    (room,) = trio.run(open_reservations, context, [size * 1000])
    assert not isinstance(room, Failure) and not room.must_wait
    assert size * 1000 <= SMALL_BYTES


@when('bodies of {size:d} MB at the step "{step}" fill what they may')
def when_filled(context, size, step):
    while context.budget.take(Use(step), size * MEGABYTE):
        continue


@then('a body of {size:d} MB is taken at the step "{step}"')
def then_next_taken(context, size, step):
    assert context.budget.take(Use(step), size * MEGABYTE), context.budget.used(Use(step))


@when("a body in chunks has {size:d} MB, another one of {other:d} MB waits, and the first goes on")
def when_chunks(context, size, other):
    async def run():
        (chunked,) = await open_reservations(context, [0])
        context.waited = []
        for megabyte in range(size + 5):
            if megabyte == size:
                (waiting,) = await open_reservations(context, [other * MEGABYTE])
                assert waiting.must_wait
            for _ in range(20):
                assert chunked.add(MEGABYTE // 20) is None
                context.waited.append(chunked.must_wait)
        chunked.finish()

    trio.run(run)


@then("the body in chunks is read whole")
def then_chunks_read(context):
    assert not any(context.waited)


@when("a request of {size:d} MB is announced of which nothing comes, and another one follows")
def when_announced(context, size):
    async def run():
        opened = await open_reservations(context, [size * MEGABYTE] * 2, longest_wait=5.0)
        assert not opened[0].must_wait and opened[1].must_wait
        began = trio.current_time()
        context.outcome = await opened[1].wait()
        context.waited = trio.current_time() - began

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the other one is received within {seconds:g} seconds")
def then_received(context, seconds):
    assert context.outcome is None and context.waited <= seconds, context.waited


@when("a request of {size:d} MB is held, and another one with {seconds:g} second to go follows")
def when_held(context, size, seconds):
    async def run():
        opened = await open_reservations(context, [size * MEGABYTE] * 2, longest_wait=seconds / 2)
        opened[0].add(size * MEGABYTE)
        began = trio.current_time()
        context.outcome = await opened[1].wait()
        context.waited = trio.current_time() - began

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("the other one is refused after half a second, as overloaded")
def then_refused(context):
    assert isinstance(context.outcome, Failure), context.outcome
    assert context.outcome.kind is ErrorKind.OVERLOADED and context.outcome.retry_after > 0
    assert 0.4 < context.waited < 0.6, context.waited


@given("an agent with a budget of {size:d} MB and a proxy")
def given_agent(context, size):
    context.agent = AgentHarness(6)
    context.budget = ByteBudget(size * MEGABYTE)
    limits = CallLimits(
        QueueLimits(slots=6, total_bytes=1 << 30),
        max_body_bytes=LARGEST,
        assembling_bytes=1 << 30,
    )
    options = AgentOptions(REGISTRATION, None, limits)
    context.agent.core = AgentCore(options, 7, random.Random(1), budget=context.budget)
    context.agent.outputs.clear()
    context.agent.handle(Started())
    context.agent.add_proxy()


@when(
    "the agent gets the heads of {count:d} calls with bodies of {size:d} MB and {left:g} seconds "
    "to go"
)
def when_heads(context, count, size, left):
    for stream in range(1, count + 1):
        start = call_start(
            stream,
            end=False,
            awaits_credit=True,
            body_bytes=size * MEGABYTE,
            deadline_left_ms=int(left * 1000),
        )
        context.agent.send(start)


def streams_of(context, kind):
    return {message.stream for message in context.agent.sent(PROXY_CONNECTION, kind)}


@then(
    "{credit:d} of these calls gets credit, {waiting:d} waits and {refused:d} is refused as "
    "overloaded"
)
def then_credit(context, credit, waiting, refused):
    failed = context.agent.sent(PROXY_CONNECTION, CallFailed)
    assert all(each.kind == ErrorKind.OVERLOADED.value for each in failed), failed
    assert (len(streams_of(context, CallCredit)), len(failed)) == (credit, refused)
    assert context.agent.core.waiting == credit + waiting


@when("the call with credit ends")
def when_call_ends(context):
    (stream,) = streams_of(context, CallCredit)
    context.agent.send(CallCancel(stream=stream))
    context.agent.advance(0.05)


@then("the waiting call gets credit")
def then_waiting_gets_credit(context):
    assert streams_of(context, CallCredit) == {1, 2}


@when("{seconds:g} seconds pass without an end of the first")
def when_time_passes(context, seconds):
    context.agent.advance(seconds)


@then("the second call is refused as overloaded, and never gets credit")
def then_second_refused(context):
    (failed,) = context.agent.sent(PROXY_CONNECTION, CallFailed)
    assert failed.stream == 2 and failed.kind == ErrorKind.OVERLOADED.value, failed
    assert streams_of(context, CallCredit) == {1}


@when("the agent runs a call with a body of {size:d} MB, and sends a response of {answer:d} MB")
def when_runs(context, size, answer):
    agent = context.agent
    for stream in (1, 2):
        agent.send(
            call_start(stream, end=False, awaits_credit=True, body_bytes=size * MEGABYTE // stream)
        )
        part = bytes(MEGABYTE)
        for number in range(size // stream):
            end = number == size // stream - 1
            agent.send(CallBody(stream=stream, data=part, end=end))
    first, _ = agent.outputs_of(StartAttempt)
    agent.handle(AttemptAnswered(first.attempt, 200, (), bytes(answer * MEGABYTE)))
    assert context.budget.used(Use.CALL) and context.budget.used(Use.RESPONSE)


@when("the agent's instance is gone")
def when_gone(context):
    context.agent.handle(BackendGone())


@then("nothing is held in the budget")
def then_nothing_held(context):
    assert all(context.budget.used(use) == 0 for use in Use), context.budget.used(Use.RESPONSE)


@when("a back-end client is cancelled within a response of {size:d} MiB")
def when_client_cancelled(context, size):
    context.budget = ByteBudget(100 * MEGABYTE)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (size * MEBIBYTE)

    async def respond(stream):
        await stream.receive_some(4096)
        await stream.send_all(head + bytes(MEBIBYTE))
        await trio.sleep_forever()

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, respond, 0)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            backend = BackendSettings(address=address, max_response_bytes=LARGEST)
            client = BackendClient(backend, nursery, lambda event: None, budget=context.budget)
            client.start(StartAttempt(1, "s", b"GET", b"/", (), b"", 10.0))
            with trio.fail_after(10):
                while context.budget.used(Use.RESPONSE) < size * MEBIBYTE:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    trio.run(run)


class CreditHarness(ProxyHarness):
    """A proxy whose agents record the credit that they are given."""

    def __init__(self, budget: ByteBudget) -> None:
        limits = AttemptSettings(answer_limit_bytes=LARGEST, assembly_limit_bytes=1 << 30)
        super().__init__(attempts=limits, budget=budget)
        self.credited: dict[int, int] = {}

    def _deliver(self, connection, message):
        if isinstance(message, CallCredit):
            self.credited[message.stream] = self.credited.get(message.stream, 0) + message.bytes
        else:
            super()._deliver(connection, message)


@given("a proxy with a budget of {size:d} MB, which waits for {count:d} answers")
def given_proxy(context, size, count):
    context.proxy = CreditHarness(ByteBudget(size * MEGABYTE))
    context.proxy.start()
    for number in range(count):
        context.proxy.ask(f"/orders/{number}")
    context.begun = list(context.proxy.open_attempts)
    assert len(context.begun) == count, context.begun


def send_part(context, number, size, *, first=False, end=False):
    connection, start = context.begun[number]
    if first:
        message = ResponseStart(
            stream=start.stream, attempt_id=start.attempt_id, status=200, body_bytes=size
        )
    else:
        message = ResponseBody(stream=start.stream, data=bytes(size), end=end)
    context.proxy.reply(connection, message)


@when("both answers begin, each of {size:d} MB")
def when_answers_begin(context, size):
    for number in range(2):
        send_part(context, number, size * MEGABYTE, first=True)
        send_part(context, number, MEBIBYTE // 4)


def credited(context):
    return [number for number in range(2) if credit_of(context, number)]


def credit_of(context, number):
    return context.proxy.credited.get(context.begun[number][1].stream, 0)


@then("credit is given for the first answer only")
def then_first_credited(context):
    assert credited(context) == [0], context.proxy.credited


@when("the first answer has ended")
def when_first_ends(context):
    send_part(context, 0, 1, end=True)
    context.proxy.advance(0.05)


@then("credit is given for the second answer")
def then_second_credited(context):
    assert credit_of(context, 1) == MEBIBYTE // 4, context.proxy.credited


@when(
    "a back end sends {count:d} responses of {size:d} MiB to an agent with a budget of {most:d} MB"
)
def when_back_end_sends(context, count, size, most):
    body = bytes(size * MEBIBYTE)
    budget = ByteBudget(most * MEGABYTE)
    context.received, context.peak = [], 0

    async def respond(stream):
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.receive_some(4096)
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )

    def post(event):
        context.peak = max(context.peak, budget.used(Use.RESPONSE))
        context.received.append(len(event.body))

    async def run():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, respond, 0)
                address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
                backend = BackendSettings(address=address, max_response_bytes=LARGEST)
                client = BackendClient(backend, nursery, post, budget=budget)
                for number in range(count):
                    client.start(StartAttempt(number, "s", b"GET", b"/", (), b"", 10.0))
                while len(context.received) < count:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        assert budget.used(Use.RESPONSE) == 0

    trio.run(run)
    context.sizes = [size * MEBIBYTE] * count


@then("both responses are received, one after the other")
def then_both_received(context):
    assert context.received == context.sizes, context.received
    assert context.peak == context.sizes[0], context.peak
