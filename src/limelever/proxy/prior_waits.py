"""Estimates how long callers had already waited before a request, from the timeouts they send.

A caller that retries after a refusal sends a timeout that is shorter by the time it has already
waited. The most common timeout of a route is taken as that of first requests, and a shorter one as
that of a retry. If callers' timeouts differ, those above a gap in the distribution are taken as
first requests, see ``caller_timeouts``. If neither is found, no call counts as a retry.

The latency target of a call counts from its caller's first request. A retry may therefore have
missed it already, and gives way to first requests, which can still meet theirs.
"""

from __future__ import annotations

from collections import Counter

from limelever.proxy.caller_timeouts import FirstRequestTimeouts, first_request_timeouts

SAMPLES_PER_HALVING = 256
"""Calls of a route after which all counts are halved, so that old calls lose weight."""

MIN_SAMPLES = 16
"""Calls of a route before its timeouts are evaluated."""

MIN_MODE_FRACTION = 0.25
"""Fraction of the calls that must send the same timeout for it to count as the common one."""

MIN_GAP_SAMPLES = 64
"""Calls of a route before a gap in the distribution is searched for."""

SAMPLES_PER_GAP_SEARCH = 16
"""Calls of a route between two searches for a gap."""

_MILLISECONDS = 1000


class _TimeoutHistogram:
    """Recent timeouts of a route's callers in milliseconds; ``mode`` is the most common one."""

    __slots__ = (
        "_counts",
        "_first_requests",
        "_next_gap_search",
        "_since_halved",
        "_total",
        "mode",
    )

    def __init__(self) -> None:
        self.mode = 0
        self._counts: Counter[int] = Counter()
        self._total = 0
        self._since_halved = 0
        self._next_gap_search = MIN_GAP_SAMPLES
        self._first_requests: FirstRequestTimeouts | None = None

    def add(self, milliseconds: int) -> None:
        count = self._counts[milliseconds] = self._counts[milliseconds] + 1
        self._total += 1
        self._since_halved += 1
        if self._since_halved >= SAMPLES_PER_HALVING:
            self._halve()
        elif milliseconds != self.mode and count > self._counts[self.mode]:
            self.mode = milliseconds

    def prior_wait(self, milliseconds: int) -> float:
        """Return how much shorter a timeout is than that of first requests, 0 if unknown."""
        if self._has_mode:
            return max(0, self.mode - milliseconds)
        first_requests = self._first_request_timeouts()
        if first_requests is None or milliseconds >= first_requests.minimum:
            return 0.0
        return first_requests.mean - milliseconds

    @property
    def _has_mode(self) -> bool:
        if self._total < MIN_SAMPLES:
            return False
        return self._counts[self.mode] >= self._total * MIN_MODE_FRACTION

    def _first_request_timeouts(self) -> FirstRequestTimeouts | None:
        if self._total >= self._next_gap_search:
            self._next_gap_search = self._total + SAMPLES_PER_GAP_SEARCH
            self._first_requests = first_request_timeouts(self._counts, MIN_MODE_FRACTION)
        return self._first_requests

    def _halve(self) -> None:
        self._since_halved = 0
        halved = {timeout: count // 2 for timeout, count in self._counts.items() if count > 1}
        self._counts = Counter(halved)
        self._total = sum(halved.values())
        self._next_gap_search = max(MIN_GAP_SAMPLES, self._total)
        self.mode = max(halved, key=halved.__getitem__, default=0)


class PriorWaitEstimator:
    """Prior waits of callers, estimated separately for each route."""

    def __init__(self) -> None:
        self._by_route: dict[str, _TimeoutHistogram] = {}

    def observe(self, route: str, timeout: float) -> float:
        """Record a call's timeout in seconds, 0 for none; return its estimated prior wait.

        The estimate is 0 if it cannot be determined.
        """
        if timeout <= 0:
            return 0.0
        milliseconds = round(timeout * _MILLISECONDS)
        histogram = self._by_route.get(route)
        if histogram is None:
            histogram = self._by_route[route] = _TimeoutHistogram()
        histogram.add(milliseconds)
        return histogram.prior_wait(milliseconds) / _MILLISECONDS

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop all routes but these."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]
