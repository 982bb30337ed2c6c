"""Splits a route's calls between services by weight.

Uses smooth weighted round robin: with each call every destination gains its weight, and the one
with the highest balance takes the call and loses the total weight. Any sequence of calls deviates
from the exact shares by less than one call per destination. Each proxy starts at a random offset,
so that many proxies with few calls do not all begin with the same destination.
"""

from __future__ import annotations

import random

from limelever.proxy.router import RouteDestination, RouteEntry

_SINGLE_DESTINATION = 1
_MAX_INITIAL_OFFSET = 100
"""The start of a rotation is shifted by fewer calls than this."""


class _SmoothWeightedRoundRobin:
    """Scheduler of one route; replaced when the route's weights change."""

    def __init__(self, destinations: tuple[RouteDestination, ...], offset: int) -> None:
        self.weights = weights_of(destinations)
        self._current = [0] * len(destinations)
        self._total_weight = sum(destination.weight for destination in destinations)
        for _ in range(offset):
            self.next()

    def next(self) -> int:
        """Return the index of the destination that takes the next call."""
        for index, (_, weight) in enumerate(self.weights):
            self._current[index] += weight
        chosen = max(range(len(self._current)), key=self._current.__getitem__)
        self._current[chosen] -= self._total_weight
        return chosen

    def give_back(self, chosen: int) -> None:
        """Undo the last :meth:`next`, which returned ``chosen``."""
        self._current[chosen] += self._total_weight
        for index, (_, weight) in enumerate(self.weights):
            self._current[index] -= weight


class TrafficSplitter:
    """Schedulers of all routes with several destinations."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._schedulers: dict[str, _SmoothWeightedRoundRobin] = {}

    def choose(self, route: RouteEntry) -> RouteDestination:
        """Return the destination of ``route`` that takes the next call."""
        if len(route.destinations) == _SINGLE_DESTINATION:
            return route.destinations[0]
        scheduler = self._schedulers.get(route.name)
        if scheduler is None or scheduler.weights != weights_of(route.destinations):
            offset = self._random.randrange(_MAX_INITIAL_OFFSET)
            scheduler = self._schedulers[route.name] = _SmoothWeightedRoundRobin(
                route.destinations, offset
            )
        return route.destinations[scheduler.next()]

    def give_back(self, route: RouteEntry, destination: RouteDestination) -> None:
        """Undo the last choice for ``route``, because the call was refused at once.

        Otherwise, if every other call is refused, one destination of an even split takes all the
        admitted ones.
        """
        if len(route.destinations) > _SINGLE_DESTINATION:
            self._schedulers[route.name].give_back(route.destinations.index(destination))

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the schedulers of all routes but these."""
        for name in self._schedulers.keys() - routes:
            del self._schedulers[name]


def weights_of(destinations: tuple[RouteDestination, ...]) -> tuple[tuple[str, int], ...]:
    """Return the services and weights of a split, used to detect changes."""
    return tuple((destination.service, destination.weight) for destination in destinations)
