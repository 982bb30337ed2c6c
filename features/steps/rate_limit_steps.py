"""Steps for tenants' rate limits across the fleet."""

from __future__ import annotations

import itertools
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from rate_limit_alternatives import (
    FractionCoordinator,
    FractionLimits,
    LeaseCoordinator,
    LeaseFleet,
    LeaseLimits,
)
from rate_limit_fleet import RateLimitFleet, Tenant, Traffic, power_law

from limelever.limits.rules import Limit
from limelever.relay.events import LIMITS_PARTED, LIMITS_WHOLE

TOTAL_RATE = 300.0
"""Calls per second of all tenants together."""


def tenants_named(context: Context, names: str) -> list[Tenant]:
    return [context.fleet.tenants[f"tenant-{name}"] for name in names.split(", ")]


@given(
    "{proxies:d} proxies and 5 relays, and {count:d} tenants of unequal size with limits of "
    "{times:g} times their usual rate"
)
def given_fleet(context: Context, proxies: int, times: float, count: int) -> None:
    context.fleet = RateLimitFleet(1, power_law(count, TOTAL_RATE), proxies, times)


@given("60 proxies and 5 relays that admit a fraction of the demand without counting use")
def given_fraction_fleet(context: Context) -> None:
    tenants = power_law(6, TOTAL_RATE)
    context.fleet = RateLimitFleet(
        1, tenants, make_limits=FractionLimits, make_coordinator=FractionCoordinator
    )


@given("the rate limit fleet uses seed {seed:d}")
def given_seed(context: Context, seed: int) -> None:
    context.fleet = RateLimitFleet(seed, power_law(len(context.fleet.tenants), TOTAL_RATE))


@given("60 proxies and 5 relays that lease rates")
def given_lease_fleet(context: Context) -> None:
    tenants = power_law(6, TOTAL_RATE)
    context.fleet = LeaseFleet(
        1, tenants, make_limits=LeaseLimits, make_coordinator=LeaseCoordinator
    )


@when("{seconds:g} seconds pass in the rate limit fleet")
def pass_seconds(context: Context, seconds: float) -> None:
    context.fleet.run(seconds)


@when('the tenants "{names}" send {times:g} times their usual rate for {seconds:g} seconds')
def send_rate(context: Context, names: str, times: float, seconds: float) -> None:
    for tenant in tenants_named(context, names):
        tenant.rate = times * tenant.usual_rate
    context.fleet.run(seconds)


@when('all callers of zone "{zone}" move to the other zones for {seconds:g} seconds')
def callers_move(context: Context, zone: str, seconds: float) -> None:
    for tenant in context.fleet.tenants.values():
        tenant.weights = tuple(float(each != zone) for each in "abc")
    context.fleet.run(seconds)


@when('the tenant "{name}" sends all its calls to one proxy for {seconds:g} seconds')
def one_proxy(context: Context, name: str, seconds: float) -> None:
    (tenant,) = tenants_named(context, name)
    tenant.only_proxy = context.fleet.proxies[7]
    context.fleet.run(seconds)


@when("the proxies are partitioned from the relays for {seconds:g} seconds")
def partition_for(context: Context, seconds: float) -> None:
    partition_all_proxies(context.fleet)
    context.fleet.run(seconds)
    for tenant in context.fleet.tenants.values():
        tenant.reset()


@when('the limits of the tenants "{names}" are lowered to a tenth')
def limits_lowered(context: Context, names: str) -> None:
    for tenant in tenants_named(context, names):
        tenant.set_limit(tenant.entry.rate / 10, tenant.entry.burst / 10)
    context.fleet.set_limits()


@when("a relay of the rate limit fleet is killed")
def relay_killed(context: Context) -> None:
    context.fleet.kill_relay(context.fleet.relays[0])


@when("the killed relays of the rate limit fleet restart")
def relays_start(context: Context) -> None:
    for relay in context.fleet.relays:
        if relay.down:
            context.fleet.start_relay(relay)


@when("{count:d} relays of the rate limit fleet are partitioned from the other {others:d}")
def relays_partitioned(context: Context, count: int, others: int) -> None:
    partition_relays(context.fleet, count)


@when("all proxies of the rate limit fleet are partitioned from the relays")
def all_proxies_partitioned(context: Context) -> None:
    partition_all_proxies(context.fleet)


@when("the partitions of the rate limit fleet heal")
def partitions_heal(context: Context) -> None:
    context.fleet.heal()


@when("all relays and proxies of the rate limit fleet are restarted")
def restart_all(context: Context) -> None:
    for relay in context.fleet.relays:
        context.fleet.kill_relay(relay)
    for relay in context.fleet.relays:
        context.fleet.start_relay(relay)
    for proxy in context.fleet.proxies:
        context.fleet.restart_proxy(proxy)
    context.since = context.fleet.now


@when("no tenant of the rate limit fleet has a limit")
def no_limits(context: Context) -> None:
    for tenant in context.fleet.tenants.values():
        tenant.set_limit(0.0, 0.0)
    context.fleet.set_limits()
    context.fleet.run(1.0)
    context.fleet.traffic = Traffic()


def check_limits(fleet: RateLimitFleet, since: float = 0.0) -> None:
    for tenant in fleet.tenants.values():
        excess = fleet.excess_over_limit(tenant, since)
        assert excess <= 0, (tenant.entry, excess)


@then("no tenant has exceeded its limit by more than the allowed excess")
def limits_kept(context: Context) -> None:
    check_limits(context.fleet)


@then('the tenants "{names}" have exceeded their limits by more than the allowed excess')
def limits_exceeded(context: Context, names: str) -> None:
    for tenant in tenants_named(context, names):
        excess = context.fleet.excess_over_limit(tenant)
        assert excess > 0, (tenant.entry, excess)


@then("no tenant has exceeded its limit in any window since then by more than the allowed excess")
def limits_kept_since(context: Context) -> None:
    check_limits(context.fleet, context.since)


@then('the tenants "{names}" kept their limits in the last {seconds:g} seconds')
def limits_kept_lately(context: Context, names: str, seconds: float) -> None:
    fleet = context.fleet
    for tenant in tenants_named(context, names):
        excess = fleet.excess_over_limit(tenant, fleet.now - seconds)
        assert excess <= 0, (tenant.entry, excess)


@then(
    'the tenants "{names}" got at least {percent:d} percent of their limits'
    " in the last {seconds:g} seconds"
)
def got_limits(context: Context, names: str, percent: int, seconds: float) -> None:
    fleet = context.fleet
    for tenant in tenants_named(context, names):
        got = sum(1 for at in tenant.admitted if at > fleet.now - seconds)
        calls = fleet.rules.nominal_calls(Limit(tenant.entry.rate, tenant.entry.burst))
        assert got >= percent / 100 * calls, (tenant.entry, got, calls)


@then(
    'the tenants "{names}" got at least {percent:d} percent of what one token bucket would admit '
    "each second"
)
def got_each_second(context: Context, names: str, percent: int) -> None:
    for tenant in tenants_named(context, names):
        got = Counter(int(at) for at in tenant.admitted)
        ideal = Counter(int(at) for at in tenant.ideal)
        served = sum((got & ideal).values())
        assert served >= percent / 100 * sum(ideal.values()), (tenant.entry, served, ideal)


@then('at most {count:d} in 1000 calls of the tenants "{names}" were refused')
def refused(context: Context, count: int, names: str) -> None:
    for tenant in tenants_named(context, names):
        calls = tenant.refused + len(tenant.admitted)
        assert tenant.refused <= max(1, calls * count / 1000), (tenant.entry, tenant.refused, calls)


def refused_below_limit(context: Context, names: str) -> tuple[int, int]:
    tenants = tenants_named(context, names)
    calls = sum(each.refused + len(each.admitted) for each in tenants)
    return sum(each.refused_below_limit for each in tenants), calls


@then('at most {count:d} in 1000 calls of the tenants "{names}" were refused below their limits')
def refused_below(context: Context, count: int, names: str) -> None:
    refusals, calls = refused_below_limit(context, names)
    assert refusals <= calls * count / 1000, (refusals, calls)


@then('more than {count:d} in 1000 calls of the tenants "{names}" were refused below their limits')
def many_refused_below(context: Context, count: int, names: str) -> None:
    refusals, calls = refused_below_limit(context, names)
    assert refusals > calls * count / 1000, (refusals, calls)


@then('no call of the tenant "{name}" was refused in the last {seconds:g} seconds')
def none_refused(context: Context, name: str, seconds: float) -> None:
    (tenant,) = tenants_named(context, name)
    late = [at for at in tenant.refused_at if at > context.fleet.now - seconds]
    assert not late, late


@then("all relays have logged that limits are partitioned, and then that they are shared again")
def relays_logged(context: Context) -> None:
    logged = [event for event in context.fleet.logs if event in (LIMITS_PARTED, LIMITS_WHOLE)]
    relays = len(context.fleet.relays)
    assert logged == [LIMITS_PARTED] * relays + [LIMITS_WHOLE] * relays, logged


@then("no message was sent in the rate limit fleet in the last 2 seconds")
def no_message_sent(context: Context) -> None:
    assert context.fleet.traffic.messages == 0, context.fleet.traffic


# --- any schedule ---------------------------------------------------------------------------


def partition_relays(fleet: RateLimitFleet, count: int) -> None:
    for one, other in itertools.product(fleet.relays[:count], fleet.relays[count:]):
        fleet.partition(one.name, other.name)


def partition_all_proxies(fleet: RateLimitFleet) -> None:
    partition_proxies(fleet, len(fleet.proxies))


def partition_proxies(fleet: RateLimitFleet, count: int) -> None:
    for proxy, relay in itertools.product(fleet.proxies[:count], fleet.relays):
        fleet.partition(proxy.name, relay.name)


def set_rate(fleet: RateLimitFleet, number: int, times: float) -> None:
    tenant = fleet.tenants[f"tenant-{number}"]
    tenant.rate = times * tenant.usual_rate


def kill_one_relay(fleet: RateLimitFleet, number: int) -> None:
    up = [relay for relay in fleet.relays if not relay.down]
    if len(up) > 1:
        fleet.kill_relay(up[number % len(up)])


def start_relays(fleet: RateLimitFleet) -> None:
    for relay in fleet.relays:
        if relay.down:
            fleet.start_relay(relay)


def restart_proxies(fleet: RateLimitFleet, count: int) -> None:
    for proxy in fleet.proxies[-count:]:
        fleet.restart_proxy(proxy)


def shift_callers(fleet: RateLimitFleet, weights: tuple[float, ...]) -> None:
    for tenant in fleet.tenants.values():
        tenant.weights = weights


WEIGHT = st.sampled_from((0.1, 1.0, 2.0))
EVENTS = st.one_of(
    st.tuples(st.just(set_rate), st.integers(0, 3), st.floats(1.0, 7.5)),
    st.tuples(st.just(shift_callers), st.tuples(WEIGHT, WEIGHT, WEIGHT)),
    st.tuples(st.just(kill_one_relay), st.integers(0, 4)),
    st.tuples(st.just(start_relays)),
    st.tuples(st.just(restart_proxies), st.sampled_from((1, 6, 15))),
    st.tuples(st.just(partition_relays), st.integers(1, 4)),
    st.tuples(st.just(partition_proxies), st.sampled_from((3, 12, 20, 60))),
    st.tuples(st.just(RateLimitFleet.heal)),
)
PAUSE = st.sampled_from((0.2, 0.8, 1.5, 3.0))
TIMED = st.tuples(EVENTS, PAUSE)


@then("in any schedule of the rate limit fleet every tenant keeps its limit in every window")
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
        fleet = RateLimitFleet(seed, power_law(4, total))
        fleet.loss, fleet.delay = loss, delay
        fleet.run(4.0)
        for (act, *values), pause in schedule:
            act(fleet, *values)
            fleet.run(pause)
        check_limits(fleet)

    check()
