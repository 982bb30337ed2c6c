"""Steps for the limit on the calls to a warming back end."""

from __future__ import annotations

from collections import Counter
from functools import partial

from agent_harness import HYPOTHESIS_SETTINGS, PROXY_CONNECTION
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st
from warm_up_harness import (
    BUCKET_LIMIT,
    DEADLINE_SECONDS,
    LIMIT,
    WarmUpFleet,
    WarmUpLoad,
    most_in_a_second,
)

from limelever.agent.interface import (
    AttemptFailed,
    BackendChecked,
    BackendProbed,
    CallsLimited,
    ConnectResult,
    StartAttempt,
    WarmUpForgotten,
)
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import DeadlineReached
from limelever.common.settings import seconds as from_ms
from limelever.protocol.calls_pb2 import ResponseStart
from limelever.protocol.endpoints_pb2 import Register

ROUNDING_SECONDS = 0.002


@given("an agent whose back end reports that it warms up for {left:g} seconds")
def given_warming(context: Context, left: float) -> None:
    context.load = WarmUpLoad()
    context.load.report(left, sequence=5)
    context.warm_at = context.load.now + left


@given("an agent whose back end reports that it is warm")
def given_warm(context: Context) -> None:
    context.load = WarmUpLoad()
    context.load.report(0.0)


@given("a registered agent whose back end reports that it is warm")
def given_registered(context: Context) -> None:
    given_warm(context)
    context.load.register()
    context.load.run(0.1)
    context.answers_seen = 0


@when("its next report says that it warms up for {left:g} seconds")
@when("another report says that it warms up for {left:g} seconds")
def reports_warming(context: Context, left: float) -> None:
    context.answers_seen = len(context.load.sent(PROXY_CONNECTION, ResponseStart))
    context.load.report(left)


@then(
    "its answers state {least:d} to {most:d} milliseconds, and its last registration {low:d} to "
    "{high:d}"
)
def states(context: Context, least: int, most: int, low: int, high: int) -> None:
    load = context.load
    sent = load.sent(PROXY_CONNECTION, ResponseStart)
    answers = [each.load for each in sent[context.answers_seen :]]
    assert answers
    assert all(least <= each.warm_up_left_ms <= most for each in answers), answers
    context.registered = load.sent(load.relay_connection, Register)
    assert low <= context.registered[-1].endpoint.warm_up_left_ms <= high, context.registered


@then("it has registered once for each change")
def registered_once(context: Context) -> None:
    assert len(context.registered) == 3, context.registered


@given("an agent whose back end has not reported")
def given_unknown(context: Context) -> None:
    context.load = WarmUpLoad()


@given("an agent whose service has no limit")
def given_no_limit(context: Context) -> None:
    context.load = WarmUpLoad(calls_per_s=0.0)


@given("an agent without a configuration that waits for one")
def given_held(context: Context) -> None:
    context.load = WarmUpLoad(held=True)


@when("it is offered {rate:g} calls a second for {seconds:g} seconds")
def offer(context: Context, rate: float, seconds: float) -> None:
    context.offered_from = context.load.now
    context.load.offer(rate, seconds)
    context.load.run(seconds)


@when(
    "it is offered {rate:g} calls a second for {seconds:g} seconds and turns cold after "
    "{cold:g} seconds"
)
def turn_cold(context: Context, rate: float, seconds: float, cold: float) -> None:
    load, cold_at = context.load, context.load.now + cold
    load.report_regularly(seconds, lambda now: max(0.0, cold_at + 3.0 - now) * (now >= cold_at))
    load.offer(rate, seconds)
    load.run(3.0)
    context.since = load.now
    assert most_in_a_second(load.starts) > LIMIT, "the load is too low for the limit to matter"
    load.run(seconds - 3.0)


@when("it is offered {rate:g} calls a second for {seconds:g} seconds and reports the time left")
def offer_with_reports(context: Context, rate: float, seconds: float) -> None:
    context.load.report_regularly(seconds, lambda now: max(0.0, context.warm_at - now))
    offer(context, rate, seconds)


@when("{count:d} calls arrive at once")
def arrive(context: Context, count: int) -> None:
    for _ in range(count):
        context.load.call()


@when("an older report says that it is warm")
def older_report(context: Context) -> None:
    context.load.report(0.0, sequence=4)


@when("reports {first:d} to {last:d} arrive late and say that it is warm")
def late_reports(context: Context, first: int, last: int) -> None:
    for sequence in range(first, last + 1):
        context.load.report(0.0, sequence)


@when("reports {first:d} to {last:d} arrive every {gap:g} seconds and say that it is warm")
def renumbered_reports(context: Context, first: int, last: int, gap: float) -> None:
    for sequence in range(first, last + 1):
        context.load.run(gap)
        context.load.report(0.0, sequence)


def fail_attempt(context: Context, sent: bool) -> None:
    load = context.load
    load.report(0.0)
    load.call()
    failure = Failure(ErrorKind.BACKEND_FAILED, "ended")
    attempt = load.outputs_of(StartAttempt)[-1].attempt
    load.handle(AttemptFailed(attempt, failure, sent, connection_ended=sent))
    load.handle(BackendChecked(ConnectResult.OPENED))
    context.since = load.now + ROUNDING_SECONDS


@when("the back end closes the connection of a call and refuses a new one")
def connection_closes(context: Context) -> None:
    fail_attempt(context, sent=True)
    context.load.handle(BackendChecked(ConnectResult.REFUSED))
    context.load.handle(BackendChecked(ConnectResult.OPENED))


@when("the back end closes the connection of a call and accepts a new one")
def connection_resets(context: Context) -> None:
    fail_attempt(context, sent=True)


@when("the back end is not reached by a call")
def cannot_reach(context: Context) -> None:
    fail_attempt(context, sent=False)


@when("a connection check of the back end is refused")
def check_refused(context: Context) -> None:
    context.load.report(0.0)
    context.load.handle(BackendChecked(ConnectResult.REFUSED))
    context.load.handle(BackendChecked(ConnectResult.OPENED))
    context.since = context.load.now + ROUNDING_SECONDS


@when("its next report says that it is warm")
def next_report(context: Context) -> None:
    context.load.run(0.5)
    context.load.report(0.0)


@when("a report that was sent before arrives, which says that it is warm")
def queued_report(context: Context) -> None:
    context.load.run(0.1)
    context.load.report(0.0)


@when("a health response says that it warms up for {left:g} seconds")
def health_response(context: Context, left: float) -> None:
    context.load.handle(BackendProbed(True, left))


@when("its warm-up is declared to be unknown")
def forget(context: Context) -> None:
    context.load.handle(WarmUpForgotten())
    context.since = context.load.now


@when("the process is suspended for {seconds:g} seconds")
def suspend(context: Context, seconds: float) -> None:
    context.load.now += seconds
    context.load.handle(DeadlineReached())
    context.since = context.load.now


@when("it has no calls for {seconds:g} seconds")
def pass_time(context: Context, seconds: float) -> None:
    context.load.run(seconds)


@when("the configuration has no limit for the service")
def configure(context: Context) -> None:
    context.load.configure(0.0)


@when("one more call has {left:g} seconds left")
def short_call(context: Context, left: float) -> None:
    context.load.call(left)
    context.left = left


@when("it is offered again at the time it was told")
def offer_again(context: Context) -> None:
    context.load.run(from_ms(context.load.refusals[-1][1].retry_after_ms) + ROUNDING_SECONDS)
    context.started = len(context.load.starts)
    context.load.call(context.left)


@when(
    "the agent is killed and started again, and is offered {rate:g} calls a second for "
    "{seconds:g} seconds"
)
def restart(context: Context, rate: float, seconds: float) -> None:
    former, load = context.load, WarmUpLoad()
    load.run(former.now - load.now)
    load.report(30.0)
    load.offer(rate, seconds)
    load.run(seconds)
    context.starts = former.starts + load.starts


@then("it is started")
def is_started(context: Context) -> None:
    assert len(context.load.starts) == context.started + 1


@then("no second of both agents has more than {most:d} starts")
def both_bounded(context: Context, most: int) -> None:
    assert most_in_a_second(context.starts) <= most, context.starts


@then("no {seconds:d} seconds have more than {most:d} starts")
def bounded_spans(context: Context, seconds: int, most: int) -> None:
    starts = context.load.starts
    assert most_in_a_second(starts, seconds=seconds) <= most, starts


@then("no second has more than {most:d} starts")
def bounded(context: Context, most: int) -> None:
    assert context.load.starts
    assert most_in_a_second(context.load.starts) <= most, context.load.starts


@then("no second has more than {most:d} starts while the back end is warming up")
def bounded_while_warming(context: Context, most: int) -> None:
    starts = [at for at in context.load.starts if at < context.warm_at]
    assert most_in_a_second(starts) <= most, starts


@then("no second that ends after the report has more than {most:d} starts")
@then("no second that ends after that has more than {most:d} starts")
def bounded_since(context: Context, most: int) -> None:
    assert most_in_a_second(context.load.starts, context.since) <= most, context.load.starts


@then("no second that ends {seconds:g} seconds later or after has more than {most:d} starts")
def bounded_later(context: Context, seconds: float, most: int) -> None:
    since = context.offered_from + seconds
    assert most_in_a_second(context.load.starts, since) <= most, context.load.starts


@then("the back end was sent at least {rate:d} calls a second while it was warming up")
def used(context: Context, rate: int) -> None:
    starts = [at for at in context.load.starts if at < context.warm_at]
    assert len(starts) >= rate * (context.warm_at - context.offered_from), starts


@then("the back end was sent at least {least:d} calls in the last second")
def used_last(context: Context, least: int) -> None:
    last = [at for at in context.load.starts if at >= context.load.now - 1.0]
    assert len(last) >= least, last


@then("the back end was sent {count:d} calls")
def sent(context: Context, count: int) -> None:
    assert len(context.load.starts) == count, context.load.starts


@then("from a second after the warm-up on every call is served")
def served_after(context: Context) -> None:
    late = [at for at, _ in context.load.refusals if at > context.warm_at + DEADLINE_SECONDS]
    assert not late, late
    assert context.load.starts[-1] > context.warm_at


@then("every call was started when it arrived")
def not_limited(context: Context) -> None:
    assert len(context.load.starts) == 180, len(context.load.starts)
    assert not context.load.refusals


@then("those that cannot be started in time are refused at once")
def refused_at_once(context: Context) -> None:
    load = context.load
    assert len(load.refusals) >= 50, len(load.refusals)
    assert {at for at, _ in load.refusals} == {load.now}
    context.retries = [from_ms(refusal.retry_after_ms) for _, refusal in load.refusals]
    load.run(1.0)
    assert len(load.starts) + len(load.refusals) == 60, "a call that was admitted was refused later"


@then("no tenth of the refused callers is told to return within the same tenth of a second")
def spread(context: Context) -> None:
    by_tenth = Counter(int(each * 10) for each in context.retries)
    assert max(by_tenth.values()) < len(context.retries) / 10 + 1, by_tenth


@then("the first of them returns when the bucket has a call for it")
def first_holds(context: Context) -> None:
    assert min(context.retries) >= len(context.load.starts) / 4.8 - 0.1, context.retries


@given("a fleet of {warm:d} warm instances and {cold:d} that warm up for {left:g} seconds")
def given_fleet(context: Context, warm: int, cold: int, left: float) -> None:
    context.fleet = WarmUpFleet(warm, cold, left)


def time_left(load: WarmUpLoad, now: float) -> float:
    return max(0.0, load.warm_at - now)


@when("the fleet is offered {rate:g} calls a second for {seconds:g} seconds")
def offer_fleet(context: Context, rate: float, seconds: float) -> None:
    fleet = context.fleet
    context.fleet_seconds = seconds
    fleet.answered = fleet.refused = 0
    for load in fleet.loads:
        load.report_regularly(seconds, partial(time_left, load))
    fleet.offer(rate, seconds)


@then("no second has more than {most:d} starts at a warming instance of the fleet")
def fleet_bounded(context: Context, most: int) -> None:
    counts = [most_in_a_second(load.starts) for load in context.fleet.cold]
    assert max(counts) <= most, counts


@then("at most {most:d} of 100 calls are started at warming instances of the fleet")
def fleet_spares(context: Context, most: int) -> None:
    started = [len(load.starts) for load in context.fleet.loads]
    warming = [len(load.starts) for load in context.fleet.cold]
    assert 100 * sum(warming) <= most * sum(started), (sum(warming), sum(started))


@then("the fleet answers at least {least:d} of 100 calls")
def fleet_answers(context: Context, least: int) -> None:
    fleet = context.fleet
    share = 100 * fleet.answered / (fleet.answered + fleet.refused)
    assert share >= least, (fleet.answered, fleet.refused)


@then("the warming instances of the fleet have started at least {least:d} calls a second each")
def fleet_used(context: Context, least: int) -> None:
    starts = [len(load.starts) for load in context.fleet.cold]
    assert min(starts) >= least * context.fleet_seconds, starts


@then("the calls that were refused and those that were started later are counted")
def are_counted(context: Context) -> None:
    counted = context.load.outputs_of(CallsLimited)
    later = [at for at in context.load.starts if at > context.load.starts[0]]
    assert sum(each.refused for each in counted) == len(context.load.refusals), counted
    assert sum(each.delayed for each in counted) >= len(later) > 0, counted


@then("the last call was refused with {kind}")
def last_refused(context: Context, kind: str) -> None:
    at, refusal = context.load.refusals[-1]
    assert (at, refusal.kind) == (context.load.now, kind), refusal


STEP = st.one_of(
    st.tuples(st.just("calls"), st.integers(1, 40)),
    st.tuples(st.just("warm"), st.just(0)),
    st.tuples(st.just("cold"), st.integers(1, 40)),
    st.tuples(st.just("run"), st.integers(1, 50)),
    st.tuples(st.just("suspend"), st.integers(1, 50)),
    st.tuples(st.just("forget"), st.just(0)),
)


def apply_step(load: WarmUpLoad, kind: str, amount: int) -> None:
    if kind == "calls":
        load.offer(amount, 1.0)
    elif kind == "warm":
        load.report(0.0)
    elif kind == "cold":
        load.report(amount / 10)
    elif kind == "run":
        load.run(amount / 10)
    elif kind == "suspend":
        load.now += amount / 10
        load.handle(DeadlineReached())
    else:
        load.handle(WarmUpForgotten())


@then(
    "no order of calls, reports, silences, suspensions and resets breaks the bound of a known state"
)
def any_order(_context: Context) -> None:
    @HYPOTHESIS_SETTINGS
    @examples(st.lists(STEP, max_size=40))
    def check(steps: list[tuple[str, int]]) -> None:
        load = WarmUpLoad()
        cold_until = load.now
        limited: list[tuple[float, float]] = []
        for kind, amount in steps:
            before = load.now
            apply_step(load, kind, amount)
            if kind == "run" and before < cold_until:
                limited.append((before, min(load.now, cold_until)))
            cold_until = load.now + amount / 10 if kind == "cold" else cold_until
            cold_until = load.now if kind == "warm" else cold_until
        for since, until in limited:
            starts = [at for at in load.starts if at < until]
            assert most_in_a_second(starts, since) <= LIMIT, (since, until, starts)
            within = [at for at in starts if at >= since]
            assert most_in_a_second(within) <= BUCKET_LIMIT, (since, until, within)

    check()
