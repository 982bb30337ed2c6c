"""Estimates the bytes a call transfers, and how long it may take at an endpoint in its zone.

Cross-zone bandwidth is scarce: the more bytes a call transfers, the larger the part of its latency
target that it may use in its own zone, waiting and execution together. When a zone runs out of
slots, the smallest calls leave it first.
"""

from __future__ import annotations

from limelever.proxy.call_state import Call
from limelever.proxy.region_spill import (
    LARGE_WAIT_FRACTION,
    MEDIUM_WAIT_FRACTION,
    SMALL_WAIT_FRACTION,
    RegionSpill,
)

SMALL_BYTES = 2 * 1024
LARGE_BYTES = 16 * 1024
"""Request and answer bytes up to which a call is small, and from which it is large."""

SMALL_TIME_FRACTION = 0.3
MEDIUM_TIME_FRACTION = 0.7
LARGE_TIME_FRACTION = 1.0
"""Fraction of the time to its latency target that a call may take in its own zone.

Below 1 except for large calls, to leave time for estimation errors.
"""

_WAIT_FRACTIONS = {
    SMALL_TIME_FRACTION: SMALL_WAIT_FRACTION,
    MEDIUM_TIME_FRACTION: MEDIUM_WAIT_FRACTION,
    LARGE_TIME_FRACTION: LARGE_WAIT_FRACTION,
}
"""How long a call may take in its region, by the fraction that it may take in its zone."""

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest answer in the moving average of a route's answer sizes."""


class TransferSizes:
    """Tracks the average answer size of each route."""

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}

    def observe(self, route: str, size: int) -> None:
        """Record the body size of an answer in bytes."""
        average = self._by_route.get(route)
        self._by_route[route] = (
            size if average is None else average + _SMOOTHING_FACTOR * (size - average)
        )

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget all routes except ``routes``."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]

    def local_time_limit(self, call: Call, now: float) -> float:
        """Return how long the call may take in its own zone, in seconds; 0 without a target.

        A call on a route without observed answers counts as medium unless its body is large.
        """
        if not call.route.target_latency:
            return 0.0
        return (call.target_at - now) * self._time_fraction(call)

    def is_small(self, call: Call) -> bool:
        """Return whether a call with a latency target is known to transfer few bytes."""
        return bool(call.route.target_latency) and self._time_fraction(call) == SMALL_TIME_FRACTION

    def region_spill(self, call: Call, now: float) -> RegionSpill:
        """Return when the call leaves its region; without a target its deadline counts."""
        end = call.target_at if call.route.target_latency else call.deadline
        fraction = _WAIT_FRACTIONS[self._time_fraction(call)]
        return RegionSpill.of(max(0.0, end - now), fraction, call.alternates_tried)

    def _time_fraction(self, call: Call) -> float:
        body = len(call.request.body)
        if body >= LARGE_BYTES:
            return LARGE_TIME_FRACTION
        average = self._by_route.get(call.route.name)
        if average is None:
            return MEDIUM_TIME_FRACTION
        transferred = body + average
        if transferred >= LARGE_BYTES:
            return LARGE_TIME_FRACTION
        return SMALL_TIME_FRACTION if transferred <= SMALL_BYTES else MEDIUM_TIME_FRACTION
