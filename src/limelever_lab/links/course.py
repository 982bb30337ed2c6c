"""The course of one link under virtual time: planned events, and bytes delivered in their order."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum


@dataclass(order=True, slots=True)
class Event:
    """What happens ``at`` a time in seconds; ``size`` in bytes."""

    at: float
    order: int
    step: Enum = field(compare=False)
    call: int = field(default=0, compare=False)
    size: int = field(default=0, compare=False)


class LinkCourse:
    """A link that delivers ``rate`` bytes a second, for so many seconds of arrivals."""

    def __init__(self, rate: float, seconds: float, seed: int) -> None:
        self.random = random.Random(seed)
        self._rate = rate
        self._seconds = seconds
        self._events: list[Event] = []
        self._numbers = itertools.count(1)
        self._free_at = 0.0

    def draw_number(self) -> int:
        """Return a number not drawn before."""
        return next(self._numbers)

    def arrivals(self, rate: float) -> Iterator[float]:
        """Yield times of arrivals that come at random, ``rate`` a second."""
        at = self.random.expovariate(rate)
        while at < self._seconds:
            yield at
            at += self.random.expovariate(rate)

    def plan(self, at: float, step: Enum, call: int = 0, size: int = 0) -> None:
        """Let something happen at a time."""
        heapq.heappush(self._events, Event(at, self.draw_number(), step, call, size))

    def events(self, until: float) -> Iterator[Event]:
        """Yield what happens before ``until`` in its order, also what is planned meanwhile."""
        while self._events and self._events[0].at < until:
            yield heapq.heappop(self._events)

    def deliver(self, now: float, size: int) -> float:
        """Put bytes behind what is on the link; return when the last of them is there."""
        self._free_at = max(now, self._free_at) + size / self._rate
        return self._free_at
