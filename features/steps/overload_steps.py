"""Steps for overload in virtual time: lost zones, floods, spill-over, cold and slow back ends."""

from __future__ import annotations

from collections import Counter

from behave import given, then, when
from behave.runner import Context
from mesh_bench import SERVICE_SECONDS, ZONE_CAPACITY, CallResult, MeshBench

from limelever.common.errors import Failure, Outcome
from limelever.proxy.call_types import CallAnswer

SETTLING_SECONDS = 3.0
"""Time after the last arrival in which every call ends."""

HTTP_OK = 200
COLD_AGENT = "agent-a-cold"
SLOW_AGENT = "agent-a-0"
"""The agent whose back end is slow or fails."""


def parse_numbers(text: str) -> dict[str, int]:
    pairs = (pair.split("=") for pair in text.split(", "))
    return {name: int(number) for name, number in pairs}


def served(results: list[CallResult]) -> list[CallResult]:
    return [result for result in results if isinstance(result.answer, CallAnswer)]


def refusals(results: list[CallResult]) -> list[CallResult]:
    return [result for result in results if isinstance(result.answer, Failure)]


@given("a mesh bench of two zones with weights {weights}")
def mesh_of_two_zones(context: Context, weights: str) -> None:
    context.groups = tuple(parse_numbers(weights))
    context.mesh = MeshBench(parse_numbers(weights))
    context.lost_at = context.mesh.now


@when(
    'each group of the mesh bench offers {rate:d} calls a second to zones "{zones}" '
    "for {seconds:d} seconds"
)
def offer(context: Context, rate: int, zones: str, seconds: int) -> None:
    context.mesh.offer_load(dict.fromkeys(context.groups, rate), seconds, zones)
    context.mesh.run(seconds)
    context.offered_until = context.mesh.now


@when(
    "group {first:S} of the mesh bench offers {rate:d} and group {second:S} {other:d} calls a "
    "second for {seconds:d} seconds"
)
def offer_two(
    context: Context, first: str, rate: int, second: str, other: int, seconds: int
) -> None:
    context.mesh.offer_load({first: rate, second: other}, seconds, "ab")
    context.mesh.run(seconds)
    context.offered_until = context.mesh.now


@when("the mesh bench loses zone {zone:S}")
def lose_zone(context: Context, zone: str) -> None:
    context.lost_at = context.mesh.now
    context.mesh.fail_zone(zone)


@when("a cold agent joins zone {zone:S} of the mesh bench")
def add_cold(context: Context, zone: str) -> None:
    context.mesh.add_agent(COLD_AGENT, zone)
    context.joined_at = context.mesh.now


@when("an agent of zone a of the mesh bench becomes {factor:d} times slower")
def slow_down(context: Context, factor: int) -> None:
    context.mesh.service_times[SLOW_AGENT] = factor * SERVICE_SECONDS


@when("an agent of zone a of the mesh bench fails every call at once")
def fail_at_once(context: Context) -> None:
    context.mesh.failing.add(SLOW_AGENT)


@then("fewer than {percent:d} percent of the mesh bench's calls failed")
def check_failed(context: Context, percent: int) -> None:
    context.mesh.run(SETTLING_SECONDS)
    answers = [result.answer for result in served(context.mesh.results)]
    failed = sum(answer.status != HTTP_OK for answer in answers)
    assert 0 < failed * 100 < percent * len(answers), (failed, len(answers))


def after_loss(context: Context) -> list[CallResult]:
    """Return the calls that arrived from two seconds after the loss on; all must have ended."""
    context.mesh.run(SETTLING_SECONDS)
    since = context.lost_at + 2.0
    ended = context.mesh.ended(since, context.offered_until)
    assert len(ended) == sum(
        since <= r.arrived < context.offered_until for r in context.mesh.results
    )
    return ended


@then(
    "from second 2 after the loss the mesh bench answers at least {percent:d} percent "
    "of zone a's capacity"
)
def check_capacity(context: Context, percent: int) -> None:
    answers = served(after_loss(context))
    rate = len(answers) / (context.offered_until - context.lost_at - 2.0)
    assert rate * 100 >= percent * ZONE_CAPACITY, rate


@then("the groups of the mesh bench are served {rates} a second, within {percent:d} percent")
def check_shares(context: Context, rates: str, percent: int) -> None:
    seconds = context.offered_until - context.lost_at - 2.0
    counts = Counter(result.group for result in served(after_loss(context)))
    for group, rate in parse_numbers(rates).items():
        measured = counts[group] / seconds
        assert abs(measured - rate) * 100 <= percent * rate, (group, measured)


@then(
    "9 of 10 refusals of the mesh bench came within {milliseconds:d} ms, "
    "all NOT RUN and with a retry time"
)
def check_refusals(context: Context, milliseconds: int) -> None:
    refused = refusals(after_loss(context))
    times = sorted(result.ended - result.arrived for result in refused)
    assert times[len(times) * 9 // 10] * 1000 <= milliseconds, times[len(times) * 9 // 10]
    for result in refused:
        assert result.answer.outcome is Outcome.NOT_RUN and result.answer.retry_after > 0, result


@then("the mesh bench made no more attempts than {percent:d} percent of its calls")
def check_attempts(context: Context, percent: int) -> None:
    calls = len(context.mesh.results)
    assert context.mesh.attempt_count * 100 <= percent * calls, (context.mesh.attempt_count, calls)


@then("every call of group {group:S} is answered by the mesh bench")
def check_all_answered(context: Context, group: str) -> None:
    results = [result for result in after_loss(context) if result.group == group]
    assert len(served(results)) == len(results)


@then("the mesh bench refuses nothing")
def check_nothing_refused(context: Context) -> None:
    context.mesh.run(SETTLING_SECONDS)
    assert not refusals(context.mesh.results)


@then("zone {zone:S} of the mesh bench got between {low:d} and {high:d} percent of the calls")
def check_spill(context: Context, zone: str, low: int, high: int) -> None:
    starts = context.mesh.attempts_by_agent
    there = sum(count for name, count in starts.items() if name.startswith(f"agent-{zone}-"))
    assert low * starts.total() <= 100 * there <= high * starts.total(), starts


def cold_agent_share(context: Context, since: float, until: float) -> float:
    """Return the cold agent's share of the attempts in zone a between two times."""
    started = [name for at, name in context.mesh.attempt_log if since <= at < until]
    in_zone = [name for name in started if name.startswith("agent-a-")]
    return in_zone.count(COLD_AGENT) / len(in_zone)


@then("the cold agent got less than {percent:d} percent of zone a's calls in its first 2 seconds")
def check_cold(context: Context, percent: int) -> None:
    share = cold_agent_share(context, context.joined_at, context.joined_at + 2.0)
    assert 0 < share * 100 < percent, share


@then("the cold agent got at least {percent:d} percent of zone a's calls in its last 5 seconds")
def check_warm(context: Context, percent: int) -> None:
    share = cold_agent_share(context, context.offered_until - 5.0, context.offered_until)
    assert share * 100 >= percent, share


@then("the slow agent of the mesh bench got less than {percent:d} percent of the calls")
def check_slow(context: Context, percent: int) -> None:
    starts = context.mesh.attempts_by_agent
    assert starts[SLOW_AGENT] * 100 < percent * starts.total(), starts
