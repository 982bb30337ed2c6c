"""Turns between the tenants whose calls wait in one group's queue.

Load it answers: one tenant sends many times its usual beside others that ask for no more than ever.
In order of arrival its calls fill the queue, and the others wait behind them or are refused for
them. Here a tenant takes turns by its rate, as groups do by their weight (start-time fair
queueing): one that asks for less than its part is served next, whatever the others have waiting.
The calls of one group take alike, so turns are counted by calls. A tenant that has nothing waiting
costs nothing but its place, and where there are no tenants the order is that of arrival.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

from msgspec import Struct, field

BURST_SECONDS = 1.0
"""Time for which a tenant may save up turns that it didn't take, in seconds at its rate.

Calls come unevenly: without it a tenant well below its part waits for each second call of a few.
"""

TENANTS_REMEMBERED = 256
"""Tenants without waiting calls whose turns taken are remembered; beyond it all are forgiven."""

EQUAL_RATE = 1.0
"""Rate of each tenant where none has one, in calls a second: any other would do."""


class TenantRates:
    """What the tenants may ask for, in calls a second; replaced as a whole."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._mean = EQUAL_RATE

    def replace(self, rates: Mapping[str, float]) -> None:
        """Take the rates of all tenants; 0 stands for no limit, and counts as the mean one."""
        self._rates = {name: rate for name, rate in rates.items() if rate > 0}
        known = self._rates.values()
        self._mean = sum(known) / len(known) if known else EQUAL_RATE

    def of(self, tenant: str) -> float:
        """Return a tenant's rate, or the mean one where it has none."""
        return self._rates.get(tenant, self._mean)


class _Line(Struct):
    """A tenant's waiting calls in order of arrival; ``tag`` is the turn of the first of them."""

    tag: float
    calls: OrderedDict[int, None] = field(default_factory=OrderedDict)

    @property
    def first(self) -> int:
        return next(iter(self.calls))


class TenantTurns:
    """Which waiting call of a group is next; calls are known by numbers that rise as they come."""

    def __init__(self, rates: TenantRates) -> None:
        self._rates = rates
        self._lines: dict[str, _Line] = {}
        self._resting: dict[str, float] = {}
        self._turn = 0.0

    def add(self, call: int, tenant: str) -> None:
        """Put a call behind the others of its tenant."""
        line = self._lines.get(tenant)
        if line is None:
            line = self._lines[tenant] = _Line(self._first_tag(tenant))
            self._resting.pop(tenant, None)
        line.calls[call] = None

    @property
    def next_call(self) -> int:
        """Return the call whose turn it is; raises ``ValueError`` without any."""
        return min(self._lines.values(), key=lambda line: (line.tag, line.first)).first

    def served(self, call: int, tenant: str) -> None:
        """Take out the call whose turn it was, and count the turn."""
        line = self._lines[tenant]
        self._turn = max(self._turn, line.tag)
        line.tag += 1 / self._rates.of(tenant)
        self.remove(call, tenant)

    def remove(self, call: int, tenant: str) -> None:
        """Take out a call that has not had its turn."""
        line = self._lines[tenant]
        del line.calls[call]
        if not line.calls:
            del self._lines[tenant]
            self._rest(tenant, line.tag)

    def ahead(self, tenant: str) -> int:
        """Return how many of the waiting calls have their turn before a further one of a tenant."""
        own = self._lines.get(tenant)
        if own is not None and len(self._lines) == 1:
            return len(own.calls)
        waiting = len(own.calls) if own is not None else 0
        tag = own.tag if own is not None else self._first_tag(tenant)
        tag += waiting / self._rates.of(tenant)
        others = (item for item in self._lines.items() if item[0] != tenant)
        return waiting + sum(self._turns_until(tag, name, line) for name, line in others)

    def gives_way(self, tenant: str) -> int | None:
        """Return the newest call of the tenant that has most waiting for its rate.

        ``None`` where a further call of ``tenant`` would itself be of the one with most.
        """
        own = self._lines.get(tenant)
        wanted = (len(own.calls) if own is not None else 0) + 1
        most, name = max(
            ((len(line.calls) / self._rates.of(name), name) for name, line in self._lines.items()),
            default=(0.0, tenant),
        )
        if most <= wanted / self._rates.of(tenant):
            return None
        return next(reversed(self._lines[name].calls))

    def _first_tag(self, tenant: str) -> float:
        return max(self._resting.get(tenant, -math.inf), self._turn - BURST_SECONDS)

    def _turns_until(self, tag: float, name: str, line: _Line) -> int:
        """Return how many waiting calls of a tenant have their turn up to ``tag``."""
        if line.tag > tag:
            return 0
        turns = math.floor((tag - line.tag) * self._rates.of(name)) + 1
        return min(len(line.calls), turns)

    def _rest(self, tenant: str, tag: float) -> None:
        """Remember which turns a tenant has taken."""
        if len(self._resting) >= TENANTS_REMEMBERED:
            self._resting.clear()
        self._resting[tenant] = tag
