"""Back ends that are cold after a start and after a drain, and count what comes to them."""

from __future__ import annotations

import random
import time

from crashing_instances import DOWN_SECONDS, CrashingInstance, CrashJournal
from keyed_calls import KeyedHandler, KeyedRuns
from platform_machines import NodeMachine
from platform_tenants import WARM_UP_PER_SECOND, WARM_UP_SECONDS
from warm_up_harness import most_in_a_second

HEALTH_PATH = "/health"
OVER, SLACK = 1.5, 8
LIMIT = WARM_UP_PER_SECOND * OVER + SLACK
LONGEST_LEAD_SECONDS = 1.5


class WarmingInstance(CrashingInstance):
    """The back end beside a node; one process after the other, each cold at first."""

    def __init__(self, machine: NodeMachine, runs: KeyedRuns) -> None:
        self.name, self.zone = machine.name, machine.zone
        self.arrivals: list[float] = []
        self.cold_arrivals: list[float] = []
        self.starts = 0
        self.cold_until = 0.0
        super().__init__(machine, CrashJournal(), KeyedHandler, runs=runs)

    def cool(self) -> None:
        """Turn cold, as a back end without load does."""
        self.cold_until = time.monotonic() + WARM_UP_SECONDS

    def started(self) -> None:
        self.starts += 1
        self.cool()

    def warm_up_left_ms(self) -> int:
        return max(0, round((self.cold_until - time.monotonic()) * 1000.0))

    def arrived(self, path: str, at: float) -> None:
        """Note when a request came, unless it is a health probe."""
        if path == HEALTH_PATH:
            return
        self.arrivals.append(at)
        if at < self.cold_until:
            self.cold_arrivals.append(at)

    @property
    def most_while_cold(self) -> int:
        """Return the most requests that came in any second while this was cold."""
        return most_in_a_second(self.cold_arrivals)


def too_many_while_cold(instances: list[WarmingInstance]) -> list[str]:
    """Return the back ends that had more requests in a second than a cold one is promised."""
    return [
        f"{each.name}: {each.most_while_cold} requests in 1 s while cold, at most {LIMIT:g}"
        for each in instances
        if each.most_while_cold > LIMIT
    ]


def draw_restarts(
    draw: random.Random, instances: list[WarmingInstance], kills: dict[str, float]
) -> list[tuple[float, WarmingInstance]]:
    """Return when back ends end: one drawn, and those that are cold as their nodes are killed."""
    found = [(draw.uniform(0.0, DOWN_SECONDS), draw.choice(instances))]
    for each in instances:
        lead = DOWN_SECONDS + draw.uniform(0.0, LONGEST_LEAD_SECONDS)
        if each.name in kills and each is not found[0][1]:
            found.append((max(0.0, kills[each.name] - lead), each))
    return found
