"""Agents of one service beside instances that state limits, behind several proxies' balancers."""

from __future__ import annotations

import random
from functools import partial

from balancing_steps import SERVICE, balancer_of, view_of
from proxy_harness import agent_endpoints
from stated_load import StatedLoad

from limelever.protocol.calls_pb2 import AgentLoad
from limelever.proxy.endpoints import EndpointKey
from limelever.proxy.health import Verdict

SLOTS, PROXIES, MOST_TRIES = 6, 8, 4
WORK_SECONDS, BUDGET_SECONDS = 0.06, 0.3


class StatedFleet:
    """``answered`` and ``refused`` count calls by their result, ``tries`` those sent to agents.

    A refused call goes to another instance as long as its proxy knows of room there.
    """

    def __init__(self, limits: list[float | None]) -> None:
        self.loads = [StatedLoad(limit, SLOTS) for limit in limits]
        for load in self.loads:
            load.work_seconds = WORK_SECONDS
            self._connections = load.add_proxies(PROXIES)
        self.now = self.loads[0].now
        endpoints = agent_endpoints(len(limits), "here", SLOTS)
        self.usable = view_of(endpoints, self.now).usable(SERVICE, self.now)
        self.balancers = [balancer_of(seed) for seed in range(PROXIES)]
        self.answered = self.refused = self.tries = 0
        self._random = random.Random(1)
        for entry, load in zip(self.usable, self.loads, strict=True):
            load.on_end = partial(self._ended, entry.key)
        self._tried: dict[tuple[EndpointKey, int], tuple[int, set[EndpointKey]]] = {}

    def offer(self, per_second: float, seconds: float) -> None:
        """Send calls at random times for ``seconds``, each by a random proxy."""
        end = self.now + seconds
        while (gap := self._random.expovariate(per_second)) + self.now < end:
            self._run(gap)
            self._send(self._random.randrange(PROXIES), set())
        self._run(end - self.now)

    def starts_since(self, at: float) -> list[int]:
        """Return the calls that each instance was sent since ``at``."""
        return [sum(start >= at for start in load.starts) for load in self.loads]

    def _run(self, seconds: float) -> None:
        for load in self.loads:
            load.run(seconds)
        self.now += seconds

    def _send(self, proxy: int, tried: set[EndpointKey]) -> None:
        balancer = self.balancers[proxy]
        entry = balancer.pick(self.usable, self.now, tried, local_budget=BUDGET_SECONDS)
        assert entry is not None
        load = self.loads[self.usable.index(entry)]
        balancer.attempt_started(entry.key)
        balancer.limited.call_sent(entry.run, self.now)
        self.tries += 1
        self._tried[entry.key, load.next_stream] = (proxy, {*tried, entry.key})
        load.known_limit = balancer.limited.limit_of(entry.run)
        load.call(connection=self._connections[proxy])

    def _ended(self, key: EndpointKey, stream: int, answered: bool, state: AgentLoad) -> None:
        (proxy, tried), now = self._tried.pop((key, stream)), self.now
        balancer = self.balancers[proxy]
        balancer.attempt_ended(key, Verdict.NEUTRAL, 0.0, now)
        balancer.observe_load(key, state.in_flight + state.queued, now, state.service_us / 1e6)
        (entry,) = (each for each in self.usable if each.key == key)
        if state.HasField("limit"):
            balancer.limited.answered(entry.run, state.limit, state.limit_share, now)
        untried = [each for each in self.usable if each.key not in tried]
        if answered:
            self.answered += 1
        elif len(tried) < MOST_TRIES and self._has_room(proxy, untried):
            self._send(proxy, tried)
        else:
            self.refused += 1

    def _has_room(self, proxy: int, untried: list) -> bool:
        limited = self.balancers[proxy].limited
        return any(not limited.wait(each.run, self.now) for each in untried)
