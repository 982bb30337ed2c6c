"""Divides a route's calls between the services of its split, evenly over every window.

A smooth weighted round: each part gains its weight with every call, the part that has gained most
takes the call and pays the sum of all weights. Any run of calls differs from the exact shares by
less than one call a part. The first call of a proxy falls anywhere within the round, so that many
proxies with few calls each do not all begin with the same part.
"""

from __future__ import annotations

import random

from limelever.proxy.router import RouteDestination, RouteEntry

_ONE_PART = 1
_LONGEST_START = 100
"""Calls of a round by which its start is displaced at most."""


class _Round:
    """The round of one route; a change of its parts begins another."""

    def __init__(self, parts: tuple[RouteDestination, ...], start: int) -> None:
        self.weights = weights_of(parts)
        self._gained = [0] * len(parts)
        self._total = sum(part.weight for part in parts)
        for _ in range(start):
            self.next()

    def next(self) -> int:
        """Return the index of the part that takes the next call."""
        for index, (_, weight) in enumerate(self.weights):
            self._gained[index] += weight
        chosen = max(range(len(self._gained)), key=self._gained.__getitem__)
        self._gained[chosen] -= self._total
        return chosen


class Splits:
    """The rounds of all routes that are split."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rounds: dict[str, _Round] = {}

    def choose(self, route: RouteEntry) -> RouteDestination:
        """Return the part of ``route`` that takes the next call."""
        if len(route.destinations) == _ONE_PART:
            return route.destinations[0]
        current = self._rounds.get(route.name)
        if current is None or current.weights != weights_of(route.destinations):
            start = self._random.randrange(_LONGEST_START)
            current = self._rounds[route.name] = _Round(route.destinations, start)
        return route.destinations[current.next()]

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the rounds of routes that are gone."""
        for name in self._rounds.keys() - routes:
            del self._rounds[name]


def weights_of(parts: tuple[RouteDestination, ...]) -> tuple[tuple[str, int], ...]:
    """Return the services and weights of a split, by which a changed one is told."""
    return tuple((part.service, part.weight) for part in parts)
