"""Steps for late calls in an agent's queue."""

from __future__ import annotations

import heapq
import random

from behave import given, then, when
from behave.runner import Context

from limelever.agent.fair_queue import FairQueue, QueueLimits
from limelever.agent.group_queue import QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.common.errors import Failure
from limelever.protocol.priorities import late_group, priority_group

ROUTE = priority_group(1, "read")
LOOKUP = priority_group(1, "lookup")
DEADLINE = 2.0
SHORT = 0.02


class LateLoad:
    """Plays calls and their callers' returns through an agent's queue in virtual time."""

    def __init__(self, slots: int, work: float, target: float) -> None:
        self.queue = FairQueue(QueueLimits(slots=slots))
        self.slots, self.work, self.target = slots, work, target
        self.capacity = slots / work
        self.now = 0.0
        self.last = 0
        self.asked = self.in_time = self.late = 0
        self.started: list[int] = []
        self.running: list[tuple[float, int]] = []
        self.waiting: dict[int, tuple[float, int]] = {}
        self.arrivals: list[tuple[float, float, int]] = []
        self.offer(0.0, 0)
        self.finish_until(work)

    def offer(self, target: float, returns: int, group: str = ROUTE) -> int:
        self.last += 1
        name = self.queue.group_of(group, target, self.now)
        call = QueuedCall(self.last, name, self.now + DEADLINE, 0, self.now, target)
        self.waiting[self.last] = (target, returns)
        offered = self.queue.offer(call, self.now)
        if isinstance(offered, Failure):
            self.come_back(self.last, offered.retry_after)
        self.start()
        return self.last

    def come_back(self, call: int, after: float) -> None:
        target, returns = self.waiting.pop(call)
        if returns:
            heapq.heappush(self.arrivals, (self.now + after, target, returns - 1))

    def start(self) -> None:
        lost = (*self.queue.take_expired(self.now), *self.queue.take_hopeless(self.now))
        for call in lost:
            self.come_back(call, self.queue.advice(ROUTE, self.now))
        while (call := self.queue.start_next(self.now)) is not None:
            self.started.append(call.call)
            heapq.heappush(self.running, (self.now + self.work, call.call))

    def finish_until(self, at: float) -> None:
        while self.running and self.running[0][0] <= at:
            self.now, call = heapq.heappop(self.running)
            self.queue.finish(call, self.now, representative=True)
            target, _ = self.waiting.pop(call)
            self.in_time += self.now <= target
            self.late += self.now > target
            self.start()
        self.now = at

    def play(self, rate: float, spare: float, returns: int, seconds: float) -> None:
        """Let calls come at random that have ``spare`` seconds to their target."""
        source = random.Random(1)
        at = self.now
        self.in_time = self.late = 0
        while at < seconds:
            at += source.expovariate(rate)
            while self.arrivals and self.arrivals[0][0] <= at:
                due, target, left = heapq.heappop(self.arrivals)
                self.finish_until(due)
                self.offer(target, left)
            self.finish_until(at)
            self.asked += 1
            self.offer(at + spare, returns)


@given(
    "an agent queue with {slots:d} slots for calls of {work:d} ms with a target of {target:d} ms"
)
def given_load(context: Context, slots: int, work: int, target: int) -> None:
    context.load = LateLoad(slots, work / 1000, target / 1000)


@when("a late call waits behind running ones and a fresh one comes")
def come_behind(context: Context) -> None:
    wait_behind(context)
    context.fresh = context.load.offer(context.load.now + context.load.target, 0)


@then("the fresh call is the next to start, and the late one comes after it")
def check_fresh_first(context: Context) -> None:
    load = context.load
    load.waiting[context.call.call] = (load.now, 0)
    load.finish_until(load.running[0][0])
    assert load.started[-2:] == [context.fresh, context.call.call], load.started


@when(
    "fresh calls have held {held:d} slots for {seconds:d} s and {count:d} late calls come as they "
    "end"
)
def hold_slots(context: Context, held: int, seconds: int, count: int) -> None:
    load = context.load
    until = load.now + seconds
    while load.now < until:
        for _ in range(held):
            load.offer(load.now + load.target, 0)
        load.finish_until(load.now + load.work)
    context.late = [load.offer(load.now, 0) for _ in range(count)]


@then("{late:d} late calls run, and {fresh:d} fresh calls that come now start at once")
def check_kept(context: Context, late: int, fresh: int) -> None:
    load = context.load
    assert [call for _, call in load.running] == context.late[:late]
    come = [load.offer(load.now + load.target, 0) for _ in range(fresh)]
    assert sorted(call for _, call in load.running) == [*context.late[:late], *come]


@when("late calls come for {seconds:d} s at {times:g} times what the slots can do")
def play_late(context: Context, seconds: int, times: float) -> None:
    load = context.load
    load.play(load.capacity * times, 0.0, 0, seconds)


@then("at least {percent:d} in 100 of them were served")
def check_served(context: Context, percent: int) -> None:
    load = context.load
    assert load.late * 100 >= percent * load.asked, (load.late, load.asked)


@when("a late call waits behind running ones")
def wait_behind(context: Context) -> None:
    load = context.load
    while load.queue.running < load.slots:
        load.offer(load.now + load.target, 0)
    load.finish_until(load.now + 0.95 * load.work)
    load.last += 1
    context.call = QueuedCall(
        load.last, late_group(ROUTE), load.now + DEADLINE, 0, load.now, load.now
    )
    context.offered = load.queue.offer(context.call, load.now, checked=True)


@then("it is given back within a quarter of the time of a call")
def check_given_back(context: Context) -> None:
    load = context.load
    assert context.offered == ()
    due = load.queue.next_deadline()
    assert due is not None
    assert due <= load.now + load.work / 4 + 1e-9, due - load.now
    assert load.queue.take_expired(due) == (context.call.call,)


@when("a short call comes past its target")
def come_short(context: Context) -> None:
    load = context.load
    for number in range(1000, 1010):
        call = QueuedCall(number, LOOKUP, load.now + DEADLINE, 0, load.now, load.now + 1.0)
        load.queue.offer(call, load.now)
        load.queue.start_next(load.now)
        load.now += SHORT
        load.queue.finish(number, load.now, representative=True)
    for number in range(2000, 2010):
        call = QueuedCall(number, ROUTE, load.now + DEADLINE, 0, load.now, load.now + 1.0)
        load.queue.offer(call, load.now)
        load.queue.start_next(load.now)
        load.now += load.work
        load.queue.finish(number, load.now, representative=True)


@then("it is queued in its own group")
def check_own(context: Context) -> None:
    load = context.load
    assert load.queue.group_of(LOOKUP, load.now, load.now) == LOOKUP
    assert load.queue.group_of(ROUTE, load.now, load.now) == late_group(ROUTE)


@then("a late call of the route is expected to take as long as any other")
def check_time(context: Context) -> None:
    load = context.load
    assert abs(load.queue.service_time_of(late_group(ROUTE)) - load.work) < 1e-9


@when("a call and a late one of {count:d} routes each wait")
def wait_each(context: Context, count: int) -> None:
    context.groups = GroupTable(1, 32)
    for number in range(count):
        group = priority_group(1, f"route-{number}")
        for name in (group, late_group(group)):
            opened = context.groups.open(name, 0.0)
            opened.append(QueuedCall(number, name, DEADLINE, 0))


@then("a call of a further route has a queue of its own")
def check_queue(context: Context) -> None:
    assert context.groups.open(ROUTE, 0.0).name == ROUTE
