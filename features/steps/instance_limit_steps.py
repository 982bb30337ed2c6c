"""Steps for an agent whose instance states a limit or that it is leaving."""

from __future__ import annotations

import itertools

from agent_harness import HYPOTHESIS_SETTINGS, PROXY_CONNECTION
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st
from stated_load import StatedLoad, signals_of
from warm_up_harness import CALLS_PER_S, most_in_a_second

from limelever.agent import events
from limelever.agent.instance_signals import LOWEST_LIMIT
from limelever.agent.interface import (
    AttemptFailed,
    BackendProbed,
    CallsLimited,
    CancelAttempt,
    DrainRequested,
    InstanceLimitChanged,
    StartAttempt,
)
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import LogEvent
from limelever.protocol.calls_pb2 import CallFailed, ResponseStart
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_DRAINING, Register

SPAN_SECONDS = 4.0
OVER, SLACK = 1.5, 5
ROUNDING = 1e-6


@given("an agent whose instance states a limit of {limit:g} a second")
def given_limited(context: Context, limit: float) -> None:
    context.load = StatedLoad(limit)
    context.load.call()
    context.load.run(0.1)
    context.since = context.load.now
    assert context.load.stated_limit == max(LOWEST_LIMIT, limit)


@given("a warming agent whose instance states a limit of {limit:g} a second")
def given_warming(context: Context, limit: float) -> None:
    context.load = StatedLoad(limit, warm_up=CALLS_PER_S)
    context.load.report(60.0)
    context.load.run(1.0)
    context.load.call()
    context.load.run(0.1)
    context.since = context.load.now


@given("an agent whose instance states no limit and takes {seconds:g} seconds for a call")
def given_unlimited(context: Context, seconds: float) -> None:
    context.load = StatedLoad()
    context.load.work_seconds = seconds


@given("a registered agent whose instance states a limit of {limit:g} a second")
def given_registered(context: Context, limit: float) -> None:
    context.load = StatedLoad(limit)
    context.load.register()


@given("a registered agent whose instance states no limit")
def given_registered_unlimited(context: Context) -> None:
    context.load = StatedLoad()
    context.load.register()


@when("its callers send {rate:g} calls a second for {seconds:g} seconds")
def send_calls(context: Context, rate: float, seconds: float) -> None:
    context.load.offer(rate, seconds)
    context.load.run(seconds)


def spans(starts: list[float], since: float, until: float) -> list[int]:
    """Return the starts in spans that begin at ``since`` or at a start after it."""
    begins = [since, *(at for at in starts if at >= since)]
    return [
        sum(begun <= at < begun + SPAN_SECONDS for at in starts)
        for begun in begins
        if begun + SPAN_SECONDS <= until
    ]


@then("the starts in any 4 seconds after the first response are {least:d} to {most:d}")
def check_spans(context: Context, least: int, most: int) -> None:
    counts = spans(context.load.starts, context.since, context.load.now)
    assert counts and least <= min(counts) and max(counts) <= most, (min(counts), max(counts))


@then('calls beyond the limit are refused at once as "{kind}", not run')
def refused_at_once(context: Context, kind: str) -> None:
    refused = [each for at, each in context.load.refusals if at >= context.since]
    limited = [each for each in refused if each.instance_limited]
    assert limited, refused[:3]
    assert all(ErrorKind(kind) is ErrorKind.INSTANCE_LIMITED for _ in limited)
    assert all(each.kind == ErrorKind.OVERLOADED and each.retry_after_ms for each in limited)
    assert any("calls a second" in each.reason for each in limited), limited[0].reason


@when(
    "{count:d} calls with {left:g} seconds left arrive, and the instance states a limit of "
    "{limit:g} a second"
)
def queue_then_state(context: Context, count: int, left: float, limit: float) -> None:
    load = context.load
    for _ in range(count):
        load.call(left)
    context.queued = load.core.waiting
    assert context.queued > 5, context.queued
    context.refused_before = len(load.refusals)
    load.limit = limit
    load.run(0.5)
    context.stated_at = load.now


@then('those that can\'t be started in time are refused at once as "{kind}"')
def unstartable(context: Context, kind: str) -> None:
    load = context.load
    refused = load.refusals[context.refused_before :]
    assert refused and all(each.instance_limited for _, each in refused), refused[:3]
    assert all(at <= context.stated_at for at, _ in refused)
    waiting = load.core.waiting
    before = len(load.refusals)
    load.run(3.0)
    late = load.refusals[before:]
    assert waiting and not late, (waiting, late)


@then("the refused callers get different times")
def different_times(context: Context) -> None:
    times = [each.retry_after_ms for _, each in context.load.refusals[context.refused_before :]]
    assert len(set(times)) >= min(len(times), 4), times


@when(
    "a call of {seconds:g} seconds is started, and the instance then states a limit of {limit:g} "
    "a second"
)
def overlap(context: Context, seconds: float, limit: float) -> None:
    load = context.load
    context.long_call = load.start_one(seconds)
    load.limit = limit
    load.call()
    load.run(1.0)


@then("the limit is still {limit:g} after the response to that call, which was sent before")
def still_limited(context: Context, limit: float) -> None:
    context.load.respond(context.long_call, signals_of(None))
    assert context.load.stated_limit == limit, context.load.stated_limit


@when("the instance states a limit of {limit:g} a second")
def state_limit(context: Context, limit: float) -> None:
    context.load.limit = limit


@when("the instance states no limit")
def state_none(context: Context) -> None:
    context.load.limit = None


@then("the limit is {limit:g} after the next calls")
def limit_after_calls(context: Context, limit: float) -> None:
    load = context.load
    for _ in range(3):
        load.call()
        load.run(0.5)
    assert load.stated_limit == limit, load.stated_limit


@when('a response states the limit "{value}"')
def state_value(context: Context, value: str) -> None:
    load = context.load
    for _ in range(2):
        load.run(1.0)
        load.respond(load.start_one(1.0), signals_of(value))


@then("the limit is {limit:g}, and {count:d} lines say that it is invalid")
def limit_and_lines(context: Context, limit: float, count: int) -> None:
    load = context.load
    lines = [
        each for each in load.outputs_of(LogEvent) if each.code == events.INSTANCE_LIMIT_INVALID
    ]
    assert (load.stated_limit, len(lines)) == (limit, count), (load.stated_limit, lines)


@then("the limit is {limit:g}")
def limit_is(context: Context, limit: float) -> None:
    assert context.load.stated_limit == limit, context.load.stated_limit


@when(
    "the agent is killed and started again, and proxies that know the limit send {rate:g} calls a "
    "second for {seconds:g} seconds"
)
def restart(context: Context, rate: float, seconds: float) -> None:
    former = context.load
    context.former_starts = list(former.starts)
    load = context.load = StatedLoad(former.limit)
    load.now = former.now
    load.known_limit = former.stated_limit
    send_calls(context, rate, seconds)


@then(
    "the starts of both agents in any 4 seconds after the first response are {least:d} to {most:d}"
)
def check_both(context: Context, least: int, most: int) -> None:
    starts = [*context.former_starts, *context.load.starts]
    counts = spans(starts, context.since, context.load.now)
    assert counts and least <= min(counts) and max(counts) <= most, (min(counts), max(counts))


@when(
    "a call arrives by a proxy that has heard of a limit of {one:g}, and one by a proxy that has "
    "heard of {other:g}"
)
def calls_of_proxies(context: Context, one: float, other: float) -> None:
    for context.load.known_limit in (one, other, one):
        context.load.call()


@when("a call arrives by a proxy that has heard of a limit of {limit:g}")
def call_of_proxy(context: Context, limit: float) -> None:
    context.load.known_limit = limit
    context.load.call()


@when("the instance responds without a limit")
def responds(context: Context) -> None:
    context.load.run(1.0)


@when("a response with status 421 states no limit")
def misdirected(context: Context) -> None:
    load = context.load
    load.run(1.0)
    failure = Failure(ErrorKind.WRONG_INCARNATION, "another instance")
    load.handle(AttemptFailed(load.start_one(1.0), failure, sent_any_byte=True, refused=True))


@when("a health response states no limit")
def health_without(context: Context) -> None:
    context.load.handle(BackendProbed(True))


@when("a health response states a limit of {limit:g}")
def health_with(context: Context, limit: float) -> None:
    context.load.handle(BackendProbed(True, None, signals_of(f"{limit:g}")))


@then(
    "no order of calls and limits that the agent has heard breaks one and a half of the limit and "
    "5 calls"
)
def any_order(context: Context) -> None:
    limits = st.sampled_from([None, 0.0, 0.5, 3.0, 12.5, 40.0])
    step = st.tuples(limits, st.floats(0.05, 3.0), st.sampled_from([0.0, 5.0, 60.0]))

    @HYPOTHESIS_SETTINGS
    @examples(st.lists(step, min_size=1, max_size=6))
    def check(plan: list[tuple[float | None, float, float]]) -> None:
        load = StatedLoad()
        for limit, seconds, rate in plan:
            load.limit = limit
            load.offer(rate, seconds)
            load.run(seconds)
        load.run(SPAN_SECONDS)
        check_heard(load)

    check()


def check_heard(load: StatedLoad) -> None:
    """Check each span in which the agent had heard of a limit all the time."""
    changes = [(0.0, 0.0), *load.limit_changes]
    for begun in load.starts:
        allowed = allowance(changes, begun)
        if allowed is None:
            continue
        count = sum(begun <= at <= begun + SPAN_SECONDS for at in load.starts)
        assert count <= allowed + ROUNDING, (begun, count, allowed, changes)


def allowance(changes: list[tuple[float, float]], begun: float) -> float | None:
    """Return what the limits allow in a span, ``None`` if there was none for a while."""
    total = 0.0
    ends = [at for at, _ in changes[1:]] + [float("inf")]
    for (at, limit), until in zip(changes, ends, strict=True):
        overlap = min(until, begun + SPAN_SECONDS) - max(at, begun)
        if overlap > 0 and not limit:
            return None
        total += limit * max(0.0, overlap)
    return OVER * total + SLACK


@then("its log says once that the limit is {limit:g}")
def logged_once(context: Context, limit: float) -> None:
    lines = [
        each.fields["calls_per_s"]
        for each in context.load.outputs_of(LogEvent)
        if each.code == events.INSTANCE_LIMIT_CHANGED
    ]
    assert lines == [limit], lines
    (changed,) = context.load.outputs_of(InstanceLimitChanged)
    assert changed.calls_per_s == limit


@then("it counts calls that the limit has delayed and refused")
def counted(context: Context) -> None:
    counts = [each for each in context.load.outputs_of(CallsLimited) if each.by_statement]
    assert sum(each.delayed for each in counts) and sum(each.refused for each in counts), counts
    assert not [each for each in context.load.outputs_of(CallsLimited) if not each.by_statement]


@then("its responses state the limit, and a share of it for each proxy")
def stated_to_proxies(context: Context) -> None:
    load = context.load.sent(PROXY_CONNECTION, ResponseStart)[-1].load
    assert (load.limit, load.limit_share) == (6.0, 6.0), load


@then("its registration states the limit, at most once a second")
def stated_to_relay(context: Context) -> None:
    load = context.load
    assert load.sent(load.relay_connection, Register)[-1].endpoint.limit == 6.0
    before = len(load.sent(load.relay_connection, Register))
    for number in itertools.islice(itertools.count(1), 40):
        load.limit = 10.0 + number
        load.call()
        load.run(0.1)
    sent = load.sent(load.relay_connection, Register)[before:]
    assert 2 <= len(sent) <= 5, len(sent)


@when("the instance states that it is leaving")
def state_leaving(context: Context) -> None:
    load = context.load
    load.leaving = True
    load.work_seconds = 0.4
    for _ in range(60):
        load.call(left=8.0)
    load.run(0.4)


@then("the response says so to the proxy, and the registration to the relay")
def leave_stated(context: Context) -> None:
    load = context.load
    assert load.sent(PROXY_CONNECTION, ResponseStart)[0].load.leaving
    endpoint = load.sent(load.relay_connection, Register)[-1].endpoint
    assert endpoint.leaving and endpoint.state == ENDPOINT_STATE_DRAINING, endpoint
    lines = [e for e in load.outputs_of(LogEvent) if e.code == events.INSTANCE_LEAVING]
    assert len(lines) == 1, lines


@then("a further call is refused as draining, not run")
def refused_draining(context: Context) -> None:
    load = context.load
    started = len(load.outputs_of(StartAttempt))
    load.call()
    refusal = load.sent(PROXY_CONNECTION, CallFailed)[-1]
    assert refusal.kind == ErrorKind.DRAINING and refusal.load.leaving, refusal
    assert len(load.outputs_of(StartAttempt)) == started


@then("queued calls are refused within the time for them")
def queue_refused(context: Context) -> None:
    load = context.load
    assert load.core.waiting
    load.run(2.1)
    assert not load.core.waiting
    assert most_in_a_second(load.starts, load.now - 0.1) == 0


@when("a call of {seconds:g} seconds is started, and the instance states that it is leaving")
def long_call_leaving(context: Context, seconds: float) -> None:
    load = context.load
    context.long_call = load.start_one(seconds)
    context.long_stream = load.next_stream - 1
    load.leaving = True
    load.call()
    load.run(0.5)


@when("{seconds:g} seconds pass, and the node goes on")
def pass_time(context: Context, seconds: float) -> None:
    context.load.run(seconds)


@when("{seconds:g} seconds pass, and the node is asked to stop after {stop:g}")
def stop_meanwhile(context: Context, seconds: float, stop: float) -> None:
    context.load.run(stop)
    context.load.handle(DrainRequested())
    context.load.run(seconds - stop)


@then("the long call is {end}")
def long_call_end(context: Context, end: str) -> None:
    load = context.load
    cut = [e for e in load.outputs_of(CancelAttempt) if e.attempt == context.long_call]
    load.run(15.0)
    answered = [
        e for e in load.sent(PROXY_CONNECTION, ResponseStart) if e.stream == context.long_stream
    ]
    assert (bool(answered), bool(cut)) == (end == "answered", end == "cut"), (answered, cut)
