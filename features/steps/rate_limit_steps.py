"""Steps for limits of tenants over the whole fleet."""

from __future__ import annotations

import itertools
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from limits_fleet import LimitsFleet, Tenant, Traffic, power_law
from limits_ways import FractionBoard, FractionLimits, LeaseBoard, LeaseFleet, LeaseLimits

from limelever.limits.rules import Limit
from limelever.relay.events import LIMITS_PARTED, LIMITS_WHOLE

TOTAL = 300.0
"""Calls a second of all tenants together."""


def chosen(context: Context, names: str) -> list[Tenant]:
    return [context.fleet.tenants[f"tenant-{name}"] for name in names.split(", ")]


@given(
    "{proxies:d} proxies and 5 relays, and {count:d} tenants of unequal size"
    " with limits of {times:g} times their usual"
)
def given_fleet(context: Context, proxies: int, times: float, count: int) -> None:
    context.fleet = LimitsFleet(1, power_law(count, TOTAL), proxies, times)


@given("60 proxies and 5 relays that go by the part of what is asked alone")
def given_fraction_fleet(context: Context) -> None:
    tenants = power_law(6, TOTAL)
    context.fleet = LimitsFleet(1, tenants, make=FractionLimits, make_board=FractionBoard)


@given("the fleet of limits is drawn from seed {seed:d}")
def given_seed(context: Context, seed: int) -> None:
    context.fleet = LimitsFleet(seed, power_law(len(context.fleet.tenants), TOTAL))


@given("60 proxies and 5 relays that lease out rates")
def given_lease_fleet(context: Context) -> None:
    tenants = power_law(6, TOTAL)
    context.fleet = LeaseFleet(1, tenants, make=LeaseLimits, make_board=LeaseBoard)


@when("{seconds:g} seconds pass in the fleet of limits")
def pass_seconds(context: Context, seconds: float) -> None:
    context.fleet.run(seconds)


@when('the tenants "{names}" send {times:g} times their usual for {seconds:g} seconds')
def send_more(context: Context, names: str, times: float, seconds: float) -> None:
    for tenant in chosen(context, names):
        tenant.sends = times * tenant.usual
    context.fleet.run(seconds)


@when('all callers of zone "{zone}" move to the others for {seconds:g} seconds')
def callers_move(context: Context, zone: str, seconds: float) -> None:
    for tenant in context.fleet.tenants.values():
        tenant.weights = tuple(float(each != zone) for each in "abc")
    context.fleet.run(seconds)


@when('the tenant "{name}" sends by one proxy alone for {seconds:g} seconds')
def one_proxy(context: Context, name: str, seconds: float) -> None:
    (tenant,) = chosen(context, name)
    tenant.by = context.fleet.proxies[7]
    context.fleet.run(seconds)


@when("the proxies hear nothing of each other for {seconds:g} seconds")
def hear_nothing(context: Context, seconds: float) -> None:
    cut_all(context.fleet)
    context.fleet.run(seconds)
    for tenant in context.fleet.tenants.values():
        tenant.forget()


@when('the limits of the tenants "{names}" are put down to a tenth')
def limits_down(context: Context, names: str) -> None:
    for tenant in chosen(context, names):
        tenant.limit_to(tenant.entry.rate / 10, tenant.entry.burst / 10)
    context.fleet.set_limits()


@when("a relay of the fleet of limits is killed")
def relay_killed(context: Context) -> None:
    context.fleet.kill_relay(context.fleet.relays[0])


@when("the relays of the fleet of limits that were killed start again")
def relays_start(context: Context) -> None:
    for relay in context.fleet.relays:
        if relay.down:
            context.fleet.start_relay(relay)


@when("{count:d} relays of the fleet of limits are cut off from {others:d}")
def relays_cut(context: Context, count: int, others: int) -> None:
    split(context.fleet, count)


@when("no proxy reaches a relay of the fleet of limits")
def no_proxy_reaches(context: Context) -> None:
    cut_all(context.fleet)


@when("the cuts of the fleet of limits heal")
def cuts_heal(context: Context) -> None:
    context.fleet.mend()


@when("all relays and proxies of the fleet of limits are killed and started again")
def restart_all(context: Context) -> None:
    for relay in context.fleet.relays:
        context.fleet.kill_relay(relay)
    for relay in context.fleet.relays:
        context.fleet.start_relay(relay)
    for proxy in context.fleet.proxies:
        context.fleet.restart_proxy(proxy)
    context.since = context.fleet.now


@when("no tenant of the fleet of limits has a limit")
def no_limits(context: Context) -> None:
    for tenant in context.fleet.tenants.values():
        tenant.limit_to(0.0, 0.0)
    context.fleet.set_limits()
    context.fleet.run(1.0)
    context.fleet.traffic = Traffic()


def keep_limits(fleet: LimitsFleet, since: float = 0.0) -> None:
    for tenant in fleet.tenants.values():
        over = fleet.over_the_bound(tenant, since)
        assert over <= 0, (tenant.entry, over)


@then("no tenant has passed its limit by more than the rule allows")
def limits_kept(context: Context) -> None:
    keep_limits(context.fleet)


@then('the tenants "{names}" have passed their limits by more than the rule allows')
def limits_passed(context: Context, names: str) -> None:
    for tenant in chosen(context, names):
        over = context.fleet.over_the_bound(tenant)
        assert over > 0, (tenant.entry, over)


@then("no tenant has passed its limit in any window since then by more than the rule allows")
def limits_kept_since(context: Context) -> None:
    keep_limits(context.fleet, context.since)


@then('the tenants "{names}" kept their limits in the last {seconds:g} seconds')
def kept_of_late(context: Context, names: str, seconds: float) -> None:
    fleet = context.fleet
    for tenant in chosen(context, names):
        over = fleet.over_the_bound(tenant, fleet.now - seconds)
        assert over <= 0, (tenant.entry, over)


@then(
    'the tenants "{names}" got at least {percent:d} percent of their limits'
    " in the last {seconds:g} seconds"
)
def got_limits(context: Context, names: str, percent: int, seconds: float) -> None:
    fleet = context.fleet
    for tenant in chosen(context, names):
        got = sum(1 for at in tenant.admitted if at > fleet.now - seconds)
        calls = fleet.rules.nominal_calls(Limit(tenant.entry.rate, tenant.entry.burst))
        assert got >= percent / 100 * calls, (tenant.entry, got, calls)


@then('the tenants "{names}" got at least {percent:d} percent of what they were owed each second')
def got_each_second(context: Context, names: str, percent: int) -> None:
    for tenant in chosen(context, names):
        got = Counter(int(at) for at in tenant.admitted)
        owed = Counter(int(at) for at in tenant.owed)
        served = sum((got & owed).values())
        assert served >= percent / 100 * sum(owed.values()), (tenant.entry, served, owed)


@then('at most {count:d} in 1000 calls of the tenants "{names}" was refused')
def refused(context: Context, count: int, names: str) -> None:
    for tenant in chosen(context, names):
        calls = tenant.refused + len(tenant.admitted)
        assert tenant.refused <= max(1, calls * count / 1000), (tenant.entry, tenant.refused, calls)


def wronged(context: Context, names: str) -> tuple[int, int]:
    tenants = chosen(context, names)
    calls = sum(each.refused + len(each.admitted) for each in tenants)
    return sum(each.wronged for each in tenants), calls


@then('at most {count:d} in 1000 calls of the tenants "{names}" were refused below their limits')
def refused_below(context: Context, count: int, names: str) -> None:
    refusals, calls = wronged(context, names)
    assert refusals <= calls * count / 1000, (refusals, calls)


@then('more than {count:d} in 1000 calls of the tenants "{names}" were refused below their limits')
def refused_many_below(context: Context, count: int, names: str) -> None:
    refusals, calls = wronged(context, names)
    assert refusals > calls * count / 1000, (refusals, calls)


@then('the tenant "{name}" was refused nothing in the last {seconds:g} seconds')
def refused_nothing(context: Context, name: str, seconds: float) -> None:
    (tenant,) = chosen(context, name)
    late = [at for at in tenant.refused_at if at > context.fleet.now - seconds]
    assert not late, late


@then("all relays have told that limits are parted, and that they are whole again")
def relays_told(context: Context) -> None:
    told = [event for event in context.fleet.logs if event in (LIMITS_PARTED, LIMITS_WHOLE)]
    relays = len(context.fleet.relays)
    assert told == [LIMITS_PARTED] * relays + [LIMITS_WHOLE] * relays, told


@then("nothing was said in the fleet of limits in the last 2 seconds")
def nothing_said(context: Context) -> None:
    assert context.fleet.traffic.messages == 0, context.fleet.traffic


# --- any schedule ---------------------------------------------------------------------------


def split(fleet: LimitsFleet, count: int) -> None:
    for one, other in itertools.product(fleet.relays[:count], fleet.relays[count:]):
        fleet.cut(one.name, other.name)


def cut_all(fleet: LimitsFleet) -> None:
    cut_off(fleet, len(fleet.proxies))


def cut_off(fleet: LimitsFleet, count: int) -> None:
    for proxy, relay in itertools.product(fleet.proxies[:count], fleet.relays):
        fleet.cut(proxy.name, relay.name)


def hot(fleet: LimitsFleet, number: int, times: float) -> None:
    tenant = fleet.tenants[f"tenant-{number}"]
    tenant.sends = times * tenant.usual


def kill(fleet: LimitsFleet, number: int) -> None:
    up = [relay for relay in fleet.relays if not relay.down]
    if len(up) > 1:
        fleet.kill_relay(up[number % len(up)])


def start(fleet: LimitsFleet) -> None:
    for relay in fleet.relays:
        if relay.down:
            fleet.start_relay(relay)


def restart(fleet: LimitsFleet, count: int) -> None:
    for proxy in fleet.proxies[-count:]:
        fleet.restart_proxy(proxy)


def shift(fleet: LimitsFleet, weights: tuple[float, ...]) -> None:
    for tenant in fleet.tenants.values():
        tenant.weights = weights


WEIGHT = st.sampled_from((0.1, 1.0, 2.0))
EVENTS = st.one_of(
    st.tuples(st.just(hot), st.integers(0, 3), st.floats(1.0, 7.5)),
    st.tuples(st.just(shift), st.tuples(WEIGHT, WEIGHT, WEIGHT)),
    st.tuples(st.just(kill), st.integers(0, 4)),
    st.tuples(st.just(start)),
    st.tuples(st.just(restart), st.sampled_from((1, 6, 15))),
    st.tuples(st.just(split), st.integers(1, 4)),
    st.tuples(st.just(cut_off), st.sampled_from((3, 12, 20, 60))),
    st.tuples(st.just(LimitsFleet.mend)),
)
PAUSE = st.sampled_from((0.2, 0.8, 1.5, 3.0))
TIMED = st.tuples(EVENTS, PAUSE)


@then("in any schedule of the fleet of limits every tenant keeps its limit in every window")
def any_schedule(context: Context) -> None:
    @hypothesis_settings(derandomize=True, deadline=None, max_examples=25, database=None)
    @examples(
        st.integers(0, 1000),
        st.sampled_from((30.0, 150.0, 300.0)),
        st.sampled_from((0.0, 0.03, 0.1)),
        st.sampled_from((0.002, 0.01, 0.05)),
        st.lists(TIMED, min_size=1, max_size=6),
    )
    def check(seed: int, total: float, loss: float, delay: float, schedule: list) -> None:
        fleet = LimitsFleet(seed, power_law(4, total))
        fleet.loss, fleet.delay = loss, delay
        fleet.run(4.0)
        for (act, *values), pause in schedule:
            act(fleet, *values)
            fleet.run(pause)
        keep_limits(fleet)

    check()
