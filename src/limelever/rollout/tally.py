"""Sums of how a version's calls ended: they only grow, so that news may be late, doubled or lost.

An agent counts its own back end's answers by route while a rollout of its service runs. The times
are counted in buckets a quarter apart, fine enough to tell a version that is twice as slow.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from limelever.protocol.endpoints_pb2 import RouteTally, VersionTally

SHORTEST_TIME = 0.001
"""Seconds; shorter calls are in the first bucket."""

BUCKET_GROWTH = 1.25
BUCKET_COUNT = 48
"""The last bucket begins at 36 s: no call of a mesh runs longer."""

ROUTES_LIMIT = 64
"""Routes counted each for itself, the first that were called; a bound on the message."""

OTHER_ROUTES = "other"
_BOUNDS = tuple(SHORTEST_TIME * BUCKET_GROWTH**power for power in range(BUCKET_COUNT - 1))


class RouteSums(Struct):
    """The calls of one route that ended; ``times`` counts those that were not failures."""

    answers: int = 0
    failures: int = 0
    times: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def add(self, other: RouteSums) -> None:
        """Take in the sums of another back end."""
        self.answers += other.answers
        self.failures += other.failures
        self.times = [mine + its for mine, its in zip(self.times, other.times, strict=True)]


class Tally:
    """What one agent counts; ``rollout`` is when the rollout was ordered, Unix milliseconds."""

    def __init__(self, service: str, instance: str, version: str, rollout: int) -> None:
        self.service = service
        self.instance = instance
        self.version = version
        self.rollout = rollout
        self._by_route: dict[str, RouteSums] = {}

    def ended(self, route: str, ran: float, failed: bool) -> None:
        """Count a call that ran for ``ran`` seconds."""
        if route not in self._by_route and len(self._by_route) >= ROUTES_LIMIT:
            route = OTHER_ROUTES
        sums = self._by_route.setdefault(route, RouteSums())
        sums.answers += 1
        if failed:
            sums.failures += 1
        else:
            sums.times[bisect_left(_BOUNDS, ran)] += 1

    def message(self) -> VersionTally:
        """Return the sums as they are told."""
        routes = [
            RouteTally(
                route=name, answers=sums.answers, failures=sums.failures, times=_cut(sums.times)
            )
            for name, sums in self._by_route.items()
        ]
        return VersionTally(
            service=self.service,
            instance=self.instance,
            version=self.version,
            rollout=self.rollout,
            routes=routes,
        )


def answers_in(tally: VersionTally) -> int:
    """Return how many calls a message counts: of two of one agent the higher is the newer."""
    return sum(route.answers for route in tally.routes)


def joined(tallies: Iterable[VersionTally]) -> Mapping[str, RouteSums]:
    """Return the sums of several agents by route."""
    by_route: dict[str, RouteSums] = {}
    for tally in tallies:
        for told in tally.routes:
            sums = by_route.setdefault(told.route, RouteSums())
            times = [*told.times, *(0 for _ in range(BUCKET_COUNT - len(told.times)))]
            sums.add(RouteSums(told.answers, told.failures, times[:BUCKET_COUNT]))
    return by_route


def _cut(times: list[int]) -> list[int]:
    """Return the counts without the empty buckets at the end."""
    last = max((place for place, count in enumerate(times) if count), default=-1)
    return times[: last + 1]


def slow_from(times: list[int], part: float) -> int:
    """Return the first bucket above that in which ``part`` of the times are reached."""
    wanted = math.ceil(sum(times) * part)
    reached = 0
    for place, count in enumerate(times):
        reached += count
        if reached >= wanted:
            return place + 1
    return len(times)
