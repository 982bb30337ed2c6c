"""Steps for the fair queue of an agent."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field

from agent_harness import (
    FAR_FUTURE_SECONDS,
    HYPOTHESIS_SETTINGS,
    SHED_GROUP,
)
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st

from limelever.agent.fair_queue import FairQueue, QueueLimits
from limelever.agent.group_queue import QueuedCall
from limelever.agent.wait_estimator import INITIAL_CHARGE_SECONDS
from limelever.common.errors import Failure, Outcome
from limelever.protocol.priorities import priority_group


def parse_weights(text: str) -> dict[str, int]:
    pairs = (pair.split("=") for pair in text.split(", "))
    return {name: int(weight) for name, weight in pairs}


def make_queue(weights: dict[str, int], **limits: int) -> FairQueue:
    queue = FairQueue(QueueLimits(**limits))
    queue.set_weights(weights)
    return queue


@dataclass
class QueueSimulation:
    """Runs a fair queue in simulated time; counts slot time and starts by group."""

    queue: FairQueue
    slots: int
    now: float = 0.0
    last: int = 0
    busy: list[tuple[float, int, str, float]] = field(default_factory=list)
    served: dict[str, float] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)

    def offer(self, group: str, left: float = FAR_FUTURE_SECONDS, size: int = 0) -> object:
        self.last += 1
        return self.queue.offer(QueuedCall(self.last, group, self.now + left, size), self.now)

    def start(self, duration: dict[str, float]) -> None:
        while (call := self.queue.start_next(self.now)) is not None:
            service = duration[call.group]
            heapq.heappush(self.busy, (self.now + service, call.number, call.group, service))
            self.starts.append(call.group)

    def finish_one(self) -> str:
        self.now, call, group, service = heapq.heappop(self.busy)
        self.queue.finish(call, self.now, representative=group != SHED_GROUP)
        self.served[group] = self.served.get(group, 0.0) + service
        return group


@then("backlogged agent groups are served within the bound of their weights")
def check_fairness(_context: Context) -> None:
    groups = st.lists(st.tuples(st.integers(1, 20), st.floats(0.001, 0.05)), min_size=2, max_size=5)

    @HYPOTHESIS_SETTINGS
    @examples(groups, st.integers(1, 6))
    def serve(drawn: list[tuple[int, float]], slots: int) -> None:
        weights = {f"g{index}": weight for index, (weight, _) in enumerate(drawn)}
        duration = {f"g{index}": service for index, (_, service) in enumerate(drawn)}
        simulation = QueueSimulation(make_queue(weights, slots=slots, group_calls=1000), slots)
        for group in weights:
            for _ in range(20):
                simulation.offer(group)
        simulation.start(duration)
        longest = max(INITIAL_CHARGE_SECONDS, *duration.values())
        for _ in range(400):
            simulation.offer(simulation.finish_one())
            simulation.start(duration)
            parts = [(simulation.served.get(g, 0.0) / w, w) for g, w in weights.items()]
            for part, weight in parts:
                for other, other_weight in parts:
                    bound = 2 * slots * longest * (1 / weight + 1 / other_weight)
                    assert abs(part - other) <= bound + 1e-9

    serve()


@then("the agent queue never leaves a slot free while a call waits")
def check_work_conserving(_context: Context) -> None:
    step = st.tuples(st.sampled_from("abc"), st.booleans(), st.floats(0.0, 0.1))

    @HYPOTHESIS_SETTINGS
    @examples(st.lists(step, max_size=200), st.integers(1, 6))
    def serve(steps: list[tuple[str, bool, float]], slots: int) -> None:
        simulation = QueueSimulation(make_queue({"a": 1, "b": 50}, slots=slots), slots)
        for group, arrives, service in steps:
            if arrives:
                simulation.offer(group)
            elif simulation.busy:
                simulation.finish_one()
            simulation.start(dict.fromkeys("abc", service))
            assert simulation.queue.queued == 0 or simulation.queue.running == slots

    serve()


@given("an agent queue with {slots:d} slots and weights {weights}")
def given_queue(context: Context, slots: int, weights: str) -> None:
    context.simulation = QueueSimulation(make_queue(parse_weights(weights), slots=slots), slots)


@given("an agent queue of {size:d} bytes with {slots:d} slot and weights {weights}")
def given_byte_queue(context: Context, size: int, slots: int, weights: str) -> None:
    queue = make_queue(parse_weights(weights), slots=slots, total_bytes=size)
    context.simulation = QueueSimulation(queue, slots)


@when(
    "group flood offers {count:d} calls at once and group steady keeps {kept:d} calls waiting "
    "for {rounds:d} rounds"
)
def flood(context: Context, count: int, kept: int, rounds: int) -> None:
    simulation, duration = context.simulation, {"flood": 0.02, "steady": 0.02}
    context.refused = [simulation.offer("flood") for _ in range(count // 2)]
    simulation.start(duration)
    for _ in range(kept):
        simulation.offer("steady")
    context.refused += [simulation.offer("flood") for _ in range(count // 2)]
    simulation.starts.clear()
    for _ in range(rounds):
        simulation.offer(simulation.finish_one())
        simulation.start(duration)


@then("group steady got at least {percent:d} percent of the starts")
def check_steady(context: Context, percent: int) -> None:
    starts = context.simulation.starts
    assert starts.count("steady") * 100 >= percent * len(starts), starts.count("steady")


@then("some calls of group flood were refused with {kind:S}")
def check_refused(context: Context, kind: str) -> None:
    kinds = {each.kind.value for each in context.refused if isinstance(each, Failure)}
    assert kind in kinds, kinds


@when("group flood fills the bytes of the queue and group steady offers a call of {size:d} bytes")
def flood_bytes(context: Context, size: int) -> None:
    simulation = context.simulation
    simulation.offer("flood")
    simulation.start({"flood": 1.0})
    for _ in range(10):
        simulation.offer("flood", size=100)
    context.offered = simulation.offer("steady", size=size)


@then("the call of group steady waits and calls of group flood were evicted")
def check_eviction(context: Context) -> None:
    assert not isinstance(context.offered, Failure)
    assert len(context.offered) == 3
    assert {each.failure.outcome for each in context.offered} == {Outcome.NOT_RUN}
    assert context.simulation.queue.queued_bytes == 1000


@when("the weights become {weights} while both groups are backlogged")
def change_weights(context: Context, weights: str) -> None:
    simulation, duration = context.simulation, {"flood": 0.02, "steady": 0.02}
    for group in ["flood", "steady"] * 20:
        simulation.offer(group)
    simulation.start(duration)
    for index in range(200):
        if index == 100:
            simulation.queue.set_weights(parse_weights(weights))
            simulation.starts.clear()
        simulation.offer(simulation.finish_one())
        simulation.start(duration)


@then("group steady gets about 3 of 4 starts")
def check_new_weights(context: Context) -> None:
    assert 70 <= context.simulation.starts.count("steady") <= 80, context.simulation.starts


@when("calls take 1 second each and 5 calls wait")
def fill_slowly(context: Context) -> None:
    simulation = context.simulation
    simulation.offer("steady")
    simulation.start({"steady": 1.0})
    simulation.finish_one()
    for _ in range(6):
        simulation.offer("steady")
        simulation.start({"steady": 1.0})


@then("a call with {left:d} seconds left is refused with {kind:S} and a retry time")
def check_short(context: Context, left: int, kind: str) -> None:
    offered = context.simulation.offer("steady", left=left)
    assert isinstance(offered, Failure)
    assert offered.kind.value == kind
    assert offered.retry_after > 0


@then("a call with {left:d} seconds left is queued")
def check_long(context: Context, left: int) -> None:
    assert context.simulation.offer("steady", left=left) == ()


@given(
    "an agent queue with {slots:d} slots where urgent calls recently held {held:d} slots and "
    "long calls wait"
)
def given_urgent_history(context: Context, slots: int, held: int) -> None:
    context.slots = slots
    context.queue = make_queue({}, slots=slots)
    context.long, context.urgent = priority_group(3, "long"), priority_group(1, "urgent")
    context.now = 0.0
    for number in range(100):
        for place in range(held):
            offer_and_start(context, number * held + place, context.urgent)
        context.now += 0.5
        for place in range(held):
            context.queue.finish(number * held + place, context.now, representative=True)
    for number in range(1000, 1000 + 2 * slots):
        call = QueuedCall(number, context.long, math.inf, 0, context.now)
        assert context.queue.offer(call, context.now) == ()


def offer_and_start(context: Context, number: int, group: str) -> None:
    call = QueuedCall(number, group, math.inf, 0, context.now)
    assert context.queue.offer(call, context.now) == ()
    started = context.queue.start_next(context.now)
    assert started is not None
    assert started.number == number, started


@when("no urgent call runs and the waiting long calls are started")
def start_long(context: Context) -> None:
    while context.queue.start_next(context.now) is not None:
        pass


@when("the queue's timers are served for {seconds:d} seconds")
def serve_timers(context: Context, seconds: int) -> None:
    end = context.now + seconds
    timers = 0
    while (due := context.queue.next_deadline()) is not None and due <= end:
        context.now = due
        start_long(context)
        timers += 1
        assert timers <= 2 * context.slots, "the queue sets timers without progress"


@then("{count:d} long calls run, and an urgent call that arrives now starts immediately")
def check_room(context: Context, count: int) -> None:
    check_running(context, count)
    offer_and_start(context, 5000, context.urgent)


@then("{count:d} long calls run")
def check_running(context: Context, count: int) -> None:
    assert context.queue.running == count, context.queue.running
