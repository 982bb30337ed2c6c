"""Steps for endpoint selection: load, zones, slow start, ejection, updates and group limits."""

from __future__ import annotations

import math
import random
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from proxy_harness import (
    SERVICE,
    agent_endpoints,
    derandomized,
)

from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointUpdate,
)
from limelever.proxy.balancer import Balancer, BalancerSettings
from limelever.proxy.endpoints import UNLISTED_GRACE_SECONDS, EndpointView
from limelever.proxy.group_limits import GroupLimits, LimitSettings, ShareKey
from limelever.proxy.health import HealthSettings, Verdict
from limelever.proxy.transfer_size import MEDIUM_TIME_FRACTION, SMALL_TIME_FRACTION


def view_of(endpoints: list[Endpoint], now: float = 0.0) -> EndpointView:
    view = EndpointView()
    view.apply(EndpointUpdate(full=True, endpoints=endpoints), now)
    return view


def balancer_of(seed: int = 1, **fields: float) -> Balancer:
    settings = BalancerSettings(zone="here", **fields)  # type: ignore[arg-type]
    return Balancer(settings, HealthSettings(), random.Random(seed))


@given('endpoints with {slots:d} slots in zones "{zones}"')
def endpoints_in_zones(context: Context, slots: int, zones: str) -> None:
    endpoints = [agent_endpoints(1, z, slots, i)[0] for i, z in enumerate(zones.split(", "))]
    context.view = view_of(endpoints)
    context.usable = context.view.usable(SERVICE, 0.0)
    context.balancer = balancer_of()
    context.zones = []


@when("the balancer starts {count:d} calls")
def balancer_starts(context: Context, count: int) -> None:
    for _ in range(count):
        entry = context.balancer.pick(context.usable, 0.0)
        context.balancer.attempt_started(entry.key)
        context.zones.append(entry.zone)


@then('all of the balancer\'s calls are in zone "{zone}"')
def all_in_zone(context: Context, zone: str) -> None:
    assert set(context.zones) == {zone}, context.zones


@then('some of the balancer\'s calls are in zone "{zone}"')
def some_in_zone(context: Context, zone: str) -> None:
    assert zone in context.zones, context.zones


@when("relays report a load of {load:d} for the first two endpoints")
def relays_report_loads(context: Context, load: int) -> None:
    for entry in context.usable[:2]:
        hash_value = endpoint_hash(entry.key.service, entry.key.instance)
        key = context.view.by_hash(hash_value)
        assert key == entry.key
        context.balancer.observe_zone_load(key, load, 0.0)


@given("each endpoint has reported a service time of {seconds:g} seconds")
def report_service_times(context: Context, seconds: float) -> None:
    for entry in context.usable:
        context.balancer.observe_load(entry.key, 0, 0.0, seconds)


@when("endpoints are picked for {count:d} calls, one after the other")
def pick_for_calls(context: Context, count: int) -> None:
    for number in range(count):
        now = 20.0 + number * 0.1
        for entry in context.usable[:2]:
            context.balancer.observe_zone_load(entry.key, 3, now)
        entry = context.balancer.pick(context.usable, now, local_budget=0.5, small=True)
        context.zones.append(entry.zone)


@then('less than a third of the calls are in zone "{zone}"')
def less_than_a_third(context: Context, zone: str) -> None:
    assert context.zones.count(zone) < len(context.zones) / 3, Counter(context.zones)


@then("all of the balancer's calls are at the third endpoint")
def all_at_third(context: Context) -> None:
    third = context.usable[2].key
    assert context.balancer.in_flight(third) == len(context.zones)


@given("a warm endpoint and a cold one")
def warm_and_cold(context: Context) -> None:
    context.view = view_of(agent_endpoints(1, slots=40))
    context.view.apply(EndpointUpdate(endpoints=agent_endpoints(1, slots=40, first=1)), 50.0)


def share_of_cold(context: Context, now: float) -> float:
    balancer = balancer_of(spill_load=1000.0)
    usable = context.view.usable(SERVICE, now)
    picked = Counter()
    for _ in range(40):
        entry = balancer.pick(usable, now)
        assert entry is not None
        balancer.attempt_started(entry.key)
        picked[entry.key.instance] += 1
    return picked["instance-1"] / 40


@then("the cold endpoint gets less than a third of the calls at first")
def cold_gets_less_than_third(context: Context) -> None:
    assert share_of_cold(context, 50.5) < 1 / 3


@then("the cold endpoint gets about half of the calls after its slow start")
def cold_gets_half(context: Context) -> None:
    assert 0.4 <= share_of_cold(context, 61.0) <= 0.6


@given("any call outcomes, at least half of the endpoints stay in use")
def ejection_floor(context: Context) -> None:
    outcomes = st.lists(st.tuples(st.integers(0, 9), st.sampled_from([-3, 1, 5, 8])), max_size=40)

    @hypothesis_settings(derandomized, max_examples=300)
    @examples(st.integers(1, 10), outcomes, st.integers(0, 5))
    def check(count: int, plan: list[tuple[int, int]], seed: int) -> None:
        usable = view_of(agent_endpoints(count)).usable(SERVICE, 0.0)
        balancer = balancer_of(seed)
        for number, failures in plan:
            key = usable[number % count].key
            verdict = Verdict.FAILED if failures > 0 else Verdict.SUCCEEDED
            for _ in range(abs(failures)):
                balancer.attempt_started(key)
                balancer.attempt_ended(key, verdict, 0.01, 1.0)
        in_use = set()
        while (entry := balancer.pick(usable, 1.0, in_use)) is not None:
            in_use.add(entry.key)
        assert len(in_use) >= math.ceil(count / 2)

    check()


@given("an endpoint that reports no load and fails every call")
def failing_endpoint(context: Context) -> None:
    context.usable = view_of(agent_endpoints(4)).usable(SERVICE, 0.0)
    context.balancer = balancer_of()


@then("the balancer ejects the failing endpoint, and tries it again later")
def ejected_then_retried(context: Context) -> None:
    balancer, usable = context.balancer, context.usable
    failing = usable[0].key
    for _ in range(HealthSettings().failures_to_eject):
        balancer.attempt_started(failing)
        ejected = balancer.attempt_ended(failing, Verdict.FAILED, 0.01, 1.0)
        balancer.observe_load(failing, 0, 1.0)
    assert ejected > 0
    assert all(balancer.pick(usable, 1.1).key != failing for _ in range(50))
    assert any(balancer.pick(usable, 1.1 + ejected).key == failing for _ in range(50))
    balancer.attempt_started(failing)
    again = balancer.attempt_ended(failing, Verdict.FAILED, 0.01, 1.1 + ejected)
    assert again > ejected


ENDPOINT_STATES = (ENDPOINT_STATE_READY, ENDPOINT_STATE_DRAINING, ENDPOINT_STATE_GONE)


@given("endpoint updates in any order, the newest wins and a drained incarnation stays unusable")
def endpoint_updates_in_any_order(context: Context) -> None:
    updates = st.tuples(st.integers(1, 3), st.integers(1, 3), st.sampled_from(ENDPOINT_STATES))

    @derandomized
    @examples(st.lists(updates, min_size=1, max_size=12), st.randoms(use_true_random=False))
    def check(plan: list[tuple[int, int, int]], shuffler: random.Random) -> None:
        states: dict[tuple[int, int], int] = {}
        for incarnation, sequence, state in plan:
            states.setdefault((incarnation, sequence), state)
        messages = [update_of(*revision, state) for revision, state in states.items()] * 2
        shuffler.shuffle(messages)
        view = EndpointView()
        for message in messages:
            view.apply(EndpointUpdate(endpoints=[message]), 1.0)
        newest = max(states)
        usable = view.usable(SERVICE, 1.0)
        assert all((e.incarnation, e.sequence) == newest for e in usable)
        assert not (usable and states[newest] != ENDPOINT_STATE_READY)
        own = {state for revision, state in states.items() if revision[0] == newest[0]}
        if states[newest] == ENDPOINT_STATE_READY and ENDPOINT_STATE_DRAINING not in own:
            assert len(usable) == 1, states
        assert not (usable and ENDPOINT_STATE_DRAINING in own), states

    check()


@given("an endpoint for which another relay has sent a newer update")
def newer_update_from_other_relay(context: Context) -> None:
    context.view = view_of([update_of(1, 5, ENDPOINT_STATE_READY)])


@then("an older update that its incarnation is draining makes it unusable for good")
def older_draining_update(context: Context) -> None:
    context.view.apply(EndpointUpdate(endpoints=[update_of(1, 3, ENDPOINT_STATE_DRAINING)]), 1.0)
    assert context.view.usable(SERVICE, 1.0) == ()
    context.view.apply(EndpointUpdate(endpoints=[update_of(1, 6, ENDPOINT_STATE_READY)]), 2.0)
    assert context.view.usable(SERVICE, 2.0) == ()


@then("its next incarnation is usable")
def next_incarnation(context: Context) -> None:
    context.view.apply(EndpointUpdate(endpoints=[update_of(2, 1, ENDPOINT_STATE_READY)]), 3.0)
    assert len(context.view.usable(SERVICE, 3.0)) == 1


@given("an endpoint whose lease has expired at a partitioned relay")
def expired_lease(context: Context) -> None:
    context.view = view_of([update_of(1, 5, ENDPOINT_STATE_READY)])
    context.view.apply(EndpointUpdate(endpoints=[update_of(1, 5, ENDPOINT_STATE_GONE)]), 1.0)


@then("an update no newer than its removal does not bring it back")
def not_brought_back(context: Context) -> None:
    context.view.apply(EndpointUpdate(endpoints=[update_of(1, 5, ENDPOINT_STATE_READY)]), 2.0)
    assert context.view.usable(SERVICE, 2.0) == ()


@then("its newer registration at another relay brings it back")
def brought_back(context: Context) -> None:
    context.view.apply(EndpointUpdate(endpoints=[update_of(1, 6, ENDPOINT_STATE_READY)]), 3.0)
    assert len(context.view.usable(SERVICE, 3.0)) == 1


def update_of(incarnation: int, sequence: int, state: int) -> Endpoint:
    endpoint = agent_endpoints(1)[0]
    endpoint.incarnation, endpoint.sequence = incarnation, sequence
    endpoint.state = state
    return endpoint


@given("a view of {count:d} endpoints")
def view_of_many(context: Context, count: int) -> None:
    context.view = view_of(agent_endpoints(count))


@when("a full update lists only {count:d} of them")
def full_update(context: Context, count: int) -> None:
    context.view.apply(EndpointUpdate(full=True, endpoints=agent_endpoints(count)), 5.0)


@then("the view keeps the others for a grace period")
def keeps_others(context: Context) -> None:
    assert len(context.view.usable(SERVICE, 5.0)) == 3
    assert len(context.view.usable(SERVICE, 5.0 + UNLISTED_GRACE_SECONDS)) == 1


@given("any calls of three groups, the limits hold and a group below its share is admitted")
def group_limits(context: Context) -> None:
    steps = st.lists(st.tuples(st.integers(0, 2), st.integers(-5, 20)), max_size=30)

    @derandomized
    @examples(steps)
    def check(plan: list[tuple[int, int]]) -> None:
        limits = GroupLimits(LimitSettings(max_in_flight=20, share_from=0.8))
        held: Counter[int] = Counter()
        for group, change in plan:
            key = ShareKey(SERVICE, str(group))
            for _ in range(min(-change, held[group])):
                limits.release(key)
                held[group] -= 1
            for _ in range(change):
                check_admission(limits, key, held, group)
            assert sum(held.values()) == limits.in_flight <= 20

    check()


def check_admission(limits: GroupLimits, key: ShareKey, held: Counter[int], group: int) -> None:
    """Near the limit, exactly the groups that have used up their share are refused."""
    total = sum(held.values())
    active = sum(1 for count in held.values() if count)
    over_share = held[group] and held[group] >= 20 // active
    refusal = limits.admit(key, weight=1)
    held[group] += refusal is None
    expected = total >= 20 or bool(total >= 16 and over_share)
    assert (refusal is not None) == expected, (held, group)


@given("two endpoints, one with many short calls and one with a few long calls")
def endpoints_with_call_mixes(context: Context) -> None:
    endpoints = [agent_endpoints(1, "here", 12, number)[0] for number in range(2)]
    context.usable = view_of(endpoints).usable(SERVICE, 0.0)
    flooded, other = (entry.key for entry in context.usable)
    balancer = context.balancer = balancer_of()
    for key, overall, load in ((flooded, 0.025, 40), (other, 0.062, 20)):
        balancer.observe_load(key, load, 1.0, overall)
        balancer.observe_route(key, "short", 0.02)
        balancer.observe_route(key, "long", 0.15)
    context.other = other


@then("a short call goes to the endpoint with few calls, though its average service time is longer")
def short_call_goes_to_other(context: Context) -> None:
    chosen = [context.balancer.pick(context.usable, 1.0, route="short").key for _ in range(20)]
    assert set(chosen) == {context.other}, chosen


@when('the route "{name}" is removed from the balancer')
def remove_route(context: Context, name: str) -> None:
    context.balancer.keep_only_routes(frozenset({"short", "long"} - {name}))


@then('the balancer has service times only for the route "{name}"')
def only_route_has_service_times(context: Context, name: str) -> None:
    held = {n for health in context.balancer._health.values() for n in health.service_time_by_route}
    assert held == {name}, held


@given(
    "an idle local endpoint that takes {own:d} ms and an idle remote one that takes {other:d} ms"
)
def local_and_remote_endpoint(context: Context, own: int, other: int) -> None:
    endpoints = [
        agent_endpoints(1, zone, 12, number)[0] for number, zone in enumerate(("here", "there"))
    ]
    context.usable = view_of(endpoints).usable(SERVICE, 0.0)
    context.balancer = balancer_of()
    for entry in context.usable:
        seconds = (own if entry.zone == "here" else other) / 1000
        context.balancer.observe_load(entry.key, 0, 1.0, seconds)


@then("a {kind:w} call with {target:d} ms to its latency target goes {where}")
def call_goes(context: Context, kind: str, target: int, where: str) -> None:
    local_budget = (
        target / 1000 * (SMALL_TIME_FRACTION if kind == "small" else MEDIUM_TIME_FRACTION)
    )
    balancer = context.balancer
    picked = balancer.pick(context.usable, 1.0, local_budget=local_budget, small=kind == "small")
    assert (picked.zone == "here") is (where == "to its zone"), picked
