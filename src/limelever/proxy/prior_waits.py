"""How long callers had waited for an answer before they asked here.

A caller that comes back after a refusal names the time it still waits: less than it named at
first. What most callers of a route name is taken as what a fresh one does; who names less has
waited for the difference. Where callers differ in patience, what lies above a gap is what fresh
ones name, see ``caller_timeouts``. The target of a call counts from its caller's first request, so
it may be past already: then the call takes what room the fresh ones leave, since their answers can
still come in time.

Where callers name times of all sizes nothing is known, and all count as fresh.
"""

from __future__ import annotations

from collections import Counter

from limelever.proxy.caller_timeouts import FirstRequestTimeouts, first_request_timeouts

SAMPLES_PER_GENERATION = 256
"""Calls of a route after which what was counted weighs half; some seconds of a busy route."""

LEAST_SAMPLES = 16
"""Calls of a route before anything is concluded."""

LEAST_USUAL_PART = 0.25
"""Part of the calls that must name one time; below it there is no usual one."""

LEAST_SAMPLES_OF_BAND = 64
"""Calls of a route before a gap between its callers' times is looked for."""

SAMPLES_PER_LOOK = 16
"""Calls of a route between two such looks."""

_MILLISECONDS = 1000


class _Named:
    """The times that a route's callers named of late, in milliseconds."""

    __slots__ = ("_counts", "_fresh", "_look_at", "_since_halved", "_total", "usual")

    def __init__(self) -> None:
        self.usual = 0
        self._counts: Counter[int] = Counter()
        self._total = 0
        self._since_halved = 0
        self._look_at = LEAST_SAMPLES_OF_BAND
        self._fresh: FirstRequestTimeouts | None = None

    def add(self, milliseconds: int) -> None:
        count = self._counts[milliseconds] = self._counts[milliseconds] + 1
        self._total += 1
        self._since_halved += 1
        if self._since_halved >= SAMPLES_PER_GENERATION:
            self._halve()
        elif milliseconds != self.usual and count > self._counts[self.usual]:
            self.usual = milliseconds

    def waited(self, milliseconds: int) -> float:
        """Return how much less a caller names than a fresh one, 0 where that is not known."""
        if self._one_is_usual:
            return max(0, self.usual - milliseconds)
        fresh = self._look()
        if fresh is None or milliseconds >= fresh.minimum:
            return 0.0
        return fresh.mean - milliseconds

    @property
    def _one_is_usual(self) -> bool:
        if self._total < LEAST_SAMPLES:
            return False
        return self._counts[self.usual] >= self._total * LEAST_USUAL_PART

    def _look(self) -> FirstRequestTimeouts | None:
        if self._total >= self._look_at:
            self._look_at = self._total + SAMPLES_PER_LOOK
            self._fresh = first_request_timeouts(self._counts, LEAST_USUAL_PART)
        return self._fresh

    def _halve(self) -> None:
        self._since_halved = 0
        halved = {named: count // 2 for named, count in self._counts.items() if count > 1}
        self._counts = Counter(halved)
        self._total = sum(halved.values())
        self._look_at = max(LEAST_SAMPLES_OF_BAND, self._total)
        self.usual = max(halved, key=halved.__getitem__, default=0)


class PriorWaits:
    """What is known of each route's callers."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Named] = {}

    def waited(self, route: str, named: float) -> float:
        """Count a call whose caller waits for ``named`` more seconds (0: it didn't say).

        Returns how many seconds it had waited before, 0 when that is not known.
        """
        if named <= 0:
            return 0.0
        milliseconds = round(named * _MILLISECONDS)
        known = self._by_route.get(route)
        if known is None:
            known = self._by_route[route] = _Named()
        known.add(milliseconds)
        return known.waited(milliseconds) / _MILLISECONDS

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget routes that are gone."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]
