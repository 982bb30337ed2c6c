"""Counts of a version's ended calls, by route, with a histogram of their durations.

An agent counts the answers of its back end while a rollout of the service runs. Counts only grow,
so that messages may be late, repeated or lost. Histogram buckets grow by a quarter each, fine
enough to detect a version that is twice as slow.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from limelever.protocol.endpoints_pb2 import RouteTally, VersionTally

FIRST_BOUND = 0.001
"""Upper bound in seconds of the first bucket."""

BUCKET_GROWTH = 1.25
BUCKET_COUNT = 48
"""The last bucket counts all calls of more than 28.7 s."""

MAX_ROUTES = 64
"""Routes counted separately; bounds the size of a message. Further routes are counted together."""

OTHER_ROUTES = "other"
_BOUNDS = tuple(FIRST_BOUND * BUCKET_GROWTH**power for power in range(BUCKET_COUNT - 1))


class RouteSums(Struct):
    """The ended calls of a route; ``times`` is the duration histogram of those that succeeded."""

    answers: int = 0
    failures: int = 0
    times: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    def add(self, other: RouteSums) -> None:
        """Add the sums of another back end."""
        self.answers += other.answers
        self.failures += other.failures
        self.times = [
            count + other_count for count, other_count in zip(self.times, other.times, strict=True)
        ]


class Tally:
    """The counts of one agent; ``rollout`` is when the rollout was ordered, Unix milliseconds."""

    def __init__(self, service: str, instance: str, version: str, rollout: int) -> None:
        self.service = service
        self.instance = instance
        self.version = version
        self.rollout = rollout
        self._by_route: dict[str, RouteSums] = {}

    def add_call(self, route: str, duration: float, failed: bool) -> None:
        """Count an ended call; ``duration`` in seconds."""
        if route not in self._by_route and len(self._by_route) >= MAX_ROUTES:
            route = OTHER_ROUTES
        sums = self._by_route.setdefault(route, RouteSums())
        sums.answers += 1
        if failed:
            sums.failures += 1
        else:
            sums.times[bisect_left(_BOUNDS, duration)] += 1

    def message(self) -> VersionTally:
        """Return the counts as a message for the relay."""
        routes = [
            RouteTally(
                route=name,
                answers=sums.answers,
                failures=sums.failures,
                times=_without_trailing_zeros(sums.times),
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


def answer_count(tally: VersionTally) -> int:
    """Return the calls in a message; of an agent's messages, the one with most calls is newest."""
    return sum(route.answers for route in tally.routes)


def merge_tallies(tallies: Iterable[VersionTally]) -> Mapping[str, RouteSums]:
    """Return the sums of several agents by route."""
    by_route: dict[str, RouteSums] = {}
    for tally in tallies:
        for route in tally.routes:
            sums = by_route.setdefault(route.route, RouteSums())
            times = [*route.times, *(0 for _ in range(BUCKET_COUNT - len(route.times)))]
            sums.add(RouteSums(route.answers, route.failures, times[:BUCKET_COUNT]))
    return by_route


def _without_trailing_zeros(times: list[int]) -> list[int]:
    last = max((index for index, count in enumerate(times) if count), default=-1)
    return times[: last + 1]


def first_bucket_above(times: list[int], quantile: float) -> int:
    """Return the index of the first histogram bucket above a quantile."""
    wanted = math.ceil(sum(times) * quantile)
    seen = 0
    for index, count in enumerate(times):
        seen += count
        if seen >= wanted:
            return index + 1
    return len(times)
