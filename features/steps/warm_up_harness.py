"""An agent under load beside a back end that warms up, in virtual time."""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from functools import partial

from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from balancing_steps import SERVICE, balancer_of, view_of
from proxy_harness import agent_endpoints

from limelever.agent.interface import AttemptAnswered, StartAttempt, WarmUpReported
from limelever.common.sansio import DeadlineReached, Event, Output, SendMessage
from limelever.protocol.calls_pb2 import AgentLoad, CallFailed, ResponseStart
from limelever.protocol.config_pb2 import Resource, Service
from limelever.proxy.endpoints import EndpointKey
from limelever.proxy.health import Verdict

CALLS_PER_S = 3.2
LIMIT = 12
"""Whole calls in a second: 3.2 a second, exceeded by half, and 8 more are 12.8."""

BUCKET_LIMIT = 8
"""Whole calls in a second that a known warm-up lets through, two thirds of the limit."""

WARM_SECONDS, COLD_SECONDS = 0.05, 0.1
DEADLINE_SECONDS = 1.0
REPORT_SECONDS = 1.5
FIRST_SEQUENCE = 10

FLEET_SLOTS, FLEET_TRIES = 3, 2
FLEET_WARM_SECONDS = 0.19
FLEET_BUDGET_SECONDS = 0.6
"""An instance of the fleet handles 15.8 calls a second when it is warm."""


def most_in_a_second(starts: Sequence[float], since: float = 0.0, seconds: float = 1.0) -> int:
    """Return the most starts in any second that ends at a start from ``since`` on.

    ``seconds`` is the length of another span.
    """
    counts = [
        number - bisect.bisect_left(starts, at - seconds)
        for number, at in enumerate(starts, 1)
        if at >= since
    ]
    return max(counts, default=0)


class WarmUpLoad(AgentHarness):
    """Feeds an agent calls and reports at scheduled times and answers what it starts.

    ``starts`` are the times at which calls were started at the back end, ``refusals`` the refusals
    with the times at which they were sent.
    """

    def __init__(
        self, calls_per_s: float = CALLS_PER_S, slots: int = 6, *, held: bool = False
    ) -> None:
        self.starts: list[float] = []
        self.refusals: list[tuple[float, CallFailed]] = []
        self._answers: list[tuple[float, int]] = []
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.next_stream = 1
        self.on_end: Callable[[int, bool, AgentLoad], None] = lambda *_: None
        self._sequence = itertools.count(FIRST_SEQUENCE)
        self.work_seconds = WARM_SECONDS
        self.warm_at = 0.0
        super().__init__(slots, held=held)
        self.add_proxy()
        self.proxies = {PROXY_CONNECTION}
        if not held:
            self.configure(calls_per_s)

    def configure(self, calls_per_s: float) -> None:
        service = Service(name="orders", warm_up_ms=3000, warm_up_calls_per_s=calls_per_s)
        self.install(Resource(service=service))

    def handle(self, event: Event) -> None:
        outputs = self.core.handle(event, self.now)
        self.outputs.extend(outputs)
        for output in outputs:
            if isinstance(output, StartAttempt):
                self.starts.append(self.now)
                heapq.heappush(self._answers, (self.now + self.work_seconds, output.attempt))
            if isinstance(output, SendMessage) and isinstance(output.message, CallFailed):
                assert output.connection in self.proxies
                self.refusals.append((self.now, output.message))
        self._tell_ends(outputs)

    def _tell_ends(self, outputs: Sequence[Output]) -> None:
        for output in outputs:
            message = output.message if isinstance(output, SendMessage) else None
            if isinstance(message, ResponseStart | CallFailed):
                answered = isinstance(message, ResponseStart)
                self.on_end(message.stream, answered, message.load)

    def report(self, left: float, sequence: int = 0) -> None:
        self.warm_at = self.now + left
        self.handle(WarmUpReported(sequence or next(self._sequence), left))

    def call(self, left: float = DEADLINE_SECONDS) -> None:
        self.next_stream += 1
        self.send(call_start(self.next_stream - 1, deadline_left_ms=round(left * 1000)))

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action ``seconds`` from now."""
        entry = (self.now + seconds, next(self._order), action)
        heapq.heappush(self._scheduled, entry)

    def offer(self, per_second: float, seconds: float) -> None:
        """Schedule calls at even intervals for the next ``seconds``."""
        for number in range(int(per_second * seconds)):
            self.at(number / per_second, self.call)

    def report_regularly(self, seconds: float, left: Callable[[float], float]) -> None:
        """Schedule reports of the time left, which ``left`` tells by the time, for ``seconds``."""
        for number in range(int(seconds / REPORT_SECONDS) + 1):
            self.at(number * REPORT_SECONDS, lambda: self.report(left(self.now)))

    def run(self, seconds: float) -> None:
        """Let ``seconds`` pass, with timers, answers and what was scheduled in their order."""
        until = self.now + seconds
        while (due := self._next_time()) <= until:
            self.now = max(self.now, due)
            self._step(due)
        self.now = until

    def _next_time(self) -> float:
        times = [self.core.next_deadline()]
        times += [queue[0][0] for queue in (self._answers, self._scheduled) if queue]
        return min((at for at in times if at is not None), default=float("inf"))

    def _step(self, due: float) -> None:
        if self._answers and self._answers[0][0] <= due:
            _, attempt = heapq.heappop(self._answers)
            self.handle(AttemptAnswered(attempt, 200, (), b""))
        elif self._scheduled and self._scheduled[0][0] <= due:
            heapq.heappop(self._scheduled)[2]()
        else:
            self.handle(DeadlineReached())


class WarmUpFleet:
    """Agents of one service behind one balancer, with a second try for refused calls.

    ``answered`` and ``refused`` count calls by their final result.
    """

    def __init__(self, warm: int, cold: int, left: float) -> None:
        self.loads = [WarmUpLoad(slots=FLEET_SLOTS) for _ in range(warm + cold)]
        self.cold = self.loads[warm:]
        endpoints = agent_endpoints(warm + cold, "here", FLEET_SLOTS)
        for load in self.loads:
            load.work_seconds = FLEET_WARM_SECONDS
            load.report(0.0)
        for load, endpoint in zip(self.cold, endpoints[warm:], strict=True):
            load.work_seconds = 2 * FLEET_WARM_SECONDS
            load.report(left)
            endpoint.warm_up_left_ms = round(left * 1000)
        self.now = self.loads[0].now
        self.usable = view_of(endpoints, self.now).usable(SERVICE, self.now)
        self.balancer = balancer_of()
        self.balancer.warming.set_rates({SERVICE: CALLS_PER_S})
        self.answered = self.refused = 0
        self._random = random.Random(1)
        for entry, load in zip(self.usable, self.loads, strict=True):
            load.on_end = partial(self._ended, entry.key)
        self._tried: dict[tuple[EndpointKey, int], set[EndpointKey]] = {}

    def offer(self, per_second: float, seconds: float) -> None:
        """Send calls at random times for ``seconds``."""
        end = self.now + seconds
        while (gap := self._random.expovariate(per_second)) + self.now < end:
            self._run(gap)
            self._send(set())
        self._run(end - self.now)

    def _run(self, seconds: float) -> None:
        for load in self.loads:
            load.run(seconds)
        self.now += seconds

    def _send(self, tried: set[EndpointKey]) -> None:
        entry = self.balancer.pick(self.usable, self.now, tried, local_budget=FLEET_BUDGET_SECONDS)
        assert entry is not None
        load = self.loads[self.usable.index(entry)]
        self.balancer.attempt_started(entry.key)
        stream = load.next_stream
        self._tried[entry.key, stream] = {*tried, entry.key}
        load.call()

    def _ended(self, key: EndpointKey, stream: int, answered: bool, state: AgentLoad) -> None:
        tried, now = self._tried.pop((key, stream)), self.now
        self.balancer.attempt_ended(key, Verdict.NEUTRAL, 0.0, now)
        self.balancer.observe_load(key, state.in_flight + state.queued, now, state.service_us / 1e6)
        self.balancer.warming.observe(key, state.warm_up_left_ms, now)
        if answered:
            self.answered += 1
        elif len(tried) < FLEET_TRIES:
            self._send(tried)
        else:
            self.refused += 1
