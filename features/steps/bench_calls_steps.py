"""Steps for the experiments on calls: their arithmetic, without a fleet."""

from __future__ import annotations

from functools import partial

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever_lab.bench_calls.calls_experiment import ProcessorTime, SliceCost, processor_cost
from limelever_lab.bench_calls.deployment import GroupShare
from limelever_lab.bench_calls.fair_division import entitled_rates
from limelever_lab.bench_calls.open_loop import BROKEN, OpenLoop, run_open_loop
from limelever_lab.bench_calls.shares_experiment import offered_loads

CASES = settings(derandomize=True, max_examples=200, deadline=None, database=None)
UNUSED_TARGET = "http://127.0.0.1:9"


@then("any offers and weights are divided by weighted max-min")
def check_division(_context: Context) -> None:
    groups = st.lists(st.tuples(st.integers(0, 500), st.integers(1, 20)), min_size=1, max_size=6)

    @CASES
    @examples(groups, st.integers(1, 500))
    def check(drawn: list[tuple[int, int]], capacity: int) -> None:
        offered = {str(i): float(rate) for i, (rate, _) in enumerate(drawn)}
        weights = {str(i): weight for i, (_, weight) in enumerate(drawn)}
        due = entitled_rates(offered, weights, capacity)
        assert abs(sum(due.values()) - min(capacity, sum(offered.values()))) < 1e-6
        for group, rate in due.items():
            assert rate <= offered[group] + 1e-9
            wants_more = rate < offered[group] - 1e-6
            for other in due:
                if wants_more:
                    assert due[other] / weights[other] <= rate / weights[group] + 1e-6

    check()


@given(
    "bench slices with {first:d}, {second:d} and {third:d} calls, "
    "each call {proxy:d} us at the proxy and {agent:d} us at agents"
)
def slices(context: Context, first: int, second: int, third: int, proxy: int, agent: int) -> None:
    def slice_of(calls: int) -> SliceCost:
        idle = 0.01
        used = ProcessorTime(idle + calls * proxy / 1e6, idle + calls * agent / 1e6, 0.0)
        return SliceCost(calls, used)

    context.cost = processor_cost([slice_of(calls) for calls in (first, second, third)], 0.5)


@then("the bench gives {proxy:d} us a call at the proxy and {agent:d} us at the agent")
def check_cost(context: Context, proxy: int, agent: int) -> None:
    assert round(context.cost.proxy_microseconds_per_call, 6) == proxy
    assert round(context.cost.agent_microseconds_per_call, 6) == agent


@given("bench loads for weights small=1, large=5 and a capacity of {capacity:d} calls a second")
def loads(context: Context, capacity: int) -> None:
    context.capacity = capacity
    context.loads = offered_loads((GroupShare("small", 1), GroupShare("large", 5)), capacity)


@then("in one bench load group large is silent and group small offers more than the capacity")
def check_silent(context: Context) -> None:
    [load] = [load for load in context.loads if not load.rates["large"]]
    assert load.rates["small"] > context.capacity


@then("in one bench load group large begins when counting begins")
def check_late(context: Context) -> None:
    assert [load.late for load in context.loads if load.late] == [frozenset({"large"})]


def open_loop(rate: float, duration: float, warm_up: float) -> OpenLoop:
    return OpenLoop({"all": rate}, one_group=True, warm_up=warm_up, duration=duration, seed=1)


async def no_back_end(plan: OpenLoop) -> dict[str, object]:
    return dict(await run_open_loop((UNUSED_TARGET,), plan))


@then("an open loop without rate makes no calls")
def check_no_calls(context: Context) -> None:
    calls = trio.run(partial(no_back_end, open_loop(0.0, 1.0, 0.0)))
    assert calls["all"].offered == 0


@when(
    "open loop callers offer {rate:d} calls a second for {duration:d} seconds of virtual time "
    "after {warm_up:d} of warm-up"
)
def run_loop(context: Context, rate: int, duration: int, warm_up: int) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    plan = open_loop(float(rate), float(duration), float(warm_up))
    context.calls = trio.run(partial(no_back_end, plan), clock=clock)["all"]


@then("the open loop counted about {count:d} calls, all of them broken for want of a back end")
def check_counted(context: Context, count: int) -> None:
    calls = context.calls
    assert abs(calls.offered - count) < count / 10, calls.offered
    assert calls.refused[BROKEN] == calls.offered
