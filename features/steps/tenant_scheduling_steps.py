"""Steps for the scheduling of tenants within a group of an agent's queue."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter

from agent_harness import HYPOTHESIS_SETTINGS, PROXY_CONNECTION, call_start
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st

from limelever.agent.call_service import CallLimits, CallService
from limelever.agent.fair_queue import FairQueue, QueueLimits
from limelever.agent.group_queue import QueuedCall
from limelever.agent.interface import AttemptAnswered, StartAttempt
from limelever.agent.tenant_scheduler import TenantRates, TenantScheduler
from limelever.common.errors import Failure
from limelever.common.sansio import Output
from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_TENANT,
    Resource,
    Tenant,
    VersionedResource,
)
from limelever.protocol.keys import Key
from limelever.protocol.priorities import priority_group
from limelever.subscriber.configuration import ConfigurationSet

ROUTE = priority_group(1, "lookup")
DEADLINE = 5.0


class TenantLoad:
    """Runs one route's calls through an agent's queue in simulated time."""

    def __init__(self, slots: int, rates: dict[str, float]) -> None:
        self.rates = rates
        self.queue = FairQueue(QueueLimits(slots=slots))
        self.queue.set_tenant_rates(rates)
        self.now = 0.0
        self.last = 0
        self.tenant_of: dict[int, str] = {}
        self.started: list[int] = []
        self.running: list[tuple[float, int, float]] = []
        self.offered: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.targets: dict[int, float] = {}

    def offer(self, tenant: str, target: float = math.inf) -> object:
        self.last += 1
        self.tenant_of[self.last] = tenant
        self.targets[self.last] = target
        self.offered[tenant] += 1
        deadline = self.now + DEADLINE
        call = QueuedCall(self.last, ROUTE, deadline, 0, self.now, target, tenant)
        return self.queue.offer(call, self.now)

    def start(self, work: float) -> None:
        self.queue.pop_expired(self.now)
        self.queue.pop_infeasible(self.now)
        while (call := self.queue.start_next(self.now)) is not None:
            self.started.append(call.number)
            heapq.heappush(self.running, (self.now + work, call.number, work))

    def finish_one(self) -> None:
        self.now, call, _ = heapq.heappop(self.running)
        self.queue.finish(call, self.now, representative=True)
        tenant = self.tenant_of[call]
        self.served[tenant] += 1
        self.in_time[tenant] += self.now <= self.targets[call]

    def run(self, wanted: dict[str, float], work: float, target: float, seconds: float) -> None:
        """Run with random arrivals at the ``wanted`` rates."""
        source = random.Random(1)
        arrivals = [(source.expovariate(rate), name) for name, rate in wanted.items()]
        heapq.heapify(arrivals)
        while arrivals[0][0] < seconds:
            at, tenant = heapq.heappop(arrivals)
            while self.running and self.running[0][0] <= at:
                self.finish_one()
                self.start(work)
            self.now = at
            self.offer(tenant, at + target)
            self.start(work)
            heapq.heappush(arrivals, (at + source.expovariate(wanted[tenant]), tenant))


def parse_rates(text: str) -> dict[str, float]:
    if text == "none":
        return {}
    pairs = (pair.split("=") for pair in text.split(", "))
    return {name: float(rate) for name, rate in pairs}


@given("an agent queue of one route with {slots:d} slots and tenants {rates}")
def given_load(context: Context, slots: int, rates: str) -> None:
    context.load = TenantLoad(slots, parse_rates(rates))


@when("tenant hot has {count:d} calls waiting and tenant small offers one")
def flood(context: Context, count: int) -> None:
    load = context.load
    for _ in range(count):
        assert load.offer("hot") == ()
    load.start(0.1)
    assert load.offer("small") == ()
    load.started.clear()


@then("the call of tenant small is the next or the one after it to start")
def check_next(context: Context) -> None:
    load = context.load
    for _ in range(2):
        load.finish_one()
        load.start(0.1)
    assert load.last in load.started[:2], load.started


@then("backlogged tenants are served by their rates to within one call")
def check_rates(_context: Context) -> None:
    rates = st.lists(st.floats(0.1, 50.0), min_size=2, max_size=6)

    @HYPOTHESIS_SETTINGS
    @examples(rates, st.integers(1, 200))
    def serve(drawn: list[float], starts: int) -> None:
        named = {f"t{index}": rate for index, rate in enumerate(drawn)}
        known = TenantRates()
        known.replace(named)
        scheduler = TenantScheduler(known)
        tenant_of = dict(enumerate(list(named) * (starts + 1)))
        for call, tenant in tenant_of.items():
            scheduler.add(call, tenant)
        served: Counter[str] = Counter()
        for _ in range(starts):
            call = scheduler.next_call
            scheduler.mark_started(call, tenant_of[call])
            served[tenant_of[call]] += 1
        for name, rate in named.items():
            for other, other_rate in named.items():
                apart = abs(served[name] / rate - served[other] / other_rate)
                assert apart <= 1 / rate + 1 / other_rate + 1e-6, (named, served)

    serve()


@when(
    "calls of {work:d} ms with {target:d} ms to their target arrive for {seconds:d} s, at "
    "{times:d} times the rate of hot and at the rate of the others"
)
def run_hot(context: Context, work: int, target: int, seconds: int, times: int) -> None:
    load = context.load
    load.seconds = seconds
    wanted = {name: rate * (times if name == "hot" else 1) for name, rate in load.rates.items()}
    load.run(wanted, work / 1000, target / 1000, seconds)


@when(
    "calls of {work:d} ms with {target:d} ms to their target arrive for {seconds:d} s, at twice"
    " the rate of each"
)
def run_all(context: Context, work: int, target: int, seconds: int) -> None:
    wanted = {name: rate * 2 for name, rate in context.load.rates.items()}
    context.load.run(wanted, work / 1000, target / 1000, seconds)


@then("at least {percent:d} percent of the calls of large, middle and small met their target")
def check_others(context: Context, percent: int) -> None:
    load = context.load
    for name in ("large", "middle", "small"):
        part = load.in_time[name] / load.offered[name]
        assert part * 100 >= percent, (name, part, load.offered, load.in_time)


@then("tenant hot was served at least {rate:d} calls a second")
def check_hot(context: Context, rate: int) -> None:
    load = context.load
    assert load.served["hot"] >= rate * load.seconds, load.served


@then("each tenant had at least half the overall ratio of its calls served")
def check_all(context: Context) -> None:
    load = context.load
    usual = load.served.total() / load.offered.total()
    parts = {name: load.served[name] / load.offered[name] for name in load.rates}
    assert usual < 0.9, "there was room for all"
    assert all(part >= usual / 2 for part in parts.values()), (usual, parts)


@when("tenant hot fills the queue and tenant small offers one")
def fill(context: Context) -> None:
    load = context.load
    load.offer("hot")
    load.start(0.1)
    while load.offer("hot") == ():
        load.newest = load.last
    context.offered = load.offer("small")


@then("the newest waiting call of tenant hot was evicted with a retry time")
def check_evicted(context: Context) -> None:
    (eviction,) = context.offered
    assert eviction.call == context.load.newest
    assert eviction.failure.retry_after > 0


@then("a further call of tenant hot is refused")
def check_further(context: Context) -> None:
    assert isinstance(context.load.offer("hot"), Failure)


@when("{count:d} calls without a tenant wait")
def wait_without(context: Context, count: int) -> None:
    for _ in range(count):
        context.load.offer("")


@then("they start in arrival order")
def check_order(context: Context) -> None:
    load = context.load
    load.start(0.1)
    while load.running:
        load.finish_one()
        load.start(0.1)
    assert load.started == sorted(load.tenant_of), load.started


@when(
    "the configuration has tenants hot={hot:d}, small={small:d} and both have {count:d} calls "
    "waiting for {rounds:d} answers"
)
def configure(context: Context, hot: int, small: int, count: int, rounds: int) -> None:
    resources = {
        Key(RESOURCE_KIND_TENANT, name): VersionedResource(
            resource=Resource(tenant=Tenant(name=name, rate_per_s=rate)), version=1
        )
        for name, rate in (("hot", hot), ("small", small))
    }
    limits = CallLimits(QueueLimits(slots=1))
    service = CallService("orders", 7, limits, random.Random(1))
    tenants = ConfigurationSet(resources).tenants.values()
    service.set_tenant_rates({each.name: each.rate_per_s for each in tenants})
    outputs: list[Output] = []
    for stream in range(1, 2 * count + 1):
        start = call_start(stream, tenant=("hot", "small")[stream % 2], deadline_left_ms=900_000)
        outputs += service.start(PROXY_CONNECTION, "proxy-1", start, 0.0)
    for index in range(rounds):
        attempts = [output for output in outputs if isinstance(output, StartAttempt)]
        answer = AttemptAnswered(attempts[index].attempt, 200, (), b"")
        outputs += service.attempt_answered(answer, 0.02 * (index + 1))
    context.starts = [output for output in outputs if isinstance(output, StartAttempt)]


@then("tenant hot had about {part:d} of {whole:d} attempts")
def check_hot_part(context: Context, part: int, whole: int) -> None:
    starts = context.starts
    had = sum(1 for start in starts if int(start.target) % 2 == 0)
    assert abs(had - len(starts) * part / whole) <= 2, (had, len(starts))
