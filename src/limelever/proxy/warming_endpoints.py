"""Which endpoints warm up, and how many calls they can run meanwhile.

Made for a zone that returns, or a whole service that starts, under full load. Agents bound the
calls to a warming back end themselves; a call that is sent to one beyond its rate waits there or is
refused and tried again. Callers get an answer in time if the warm endpoints are used first, as long
as they can respond in time, and the warming ones by their rate.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct

from limelever.proxy.endpoints import EndpointEntry, EndpointKey

MIN_CAPACITY = 1.0
"""Smallest number of calls that a warming endpoint can run: its agent starts one at once."""

_MILLISECONDS = 1000
_NONE: frozenset[EndpointKey] = frozenset()


class _Statement(Struct, frozen=True):
    """When an endpoint is warm, as stated in an answer at ``at``; monotonic seconds."""

    warm_at: float
    at: float


class _CachedEndpoints(Struct):
    """Latest ``warm_at`` of a sequence of endpoints, as long as it is the same sequence."""

    usable: Sequence[EndpointEntry]
    warm_at: float


class WarmingEndpoints:
    """Warm-up of the endpoints that a proxy uses; times are monotonic seconds.

    A state lasts until a newer one, or until its remaining time has passed.
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._stated: dict[EndpointKey, _Statement] = {}
        self._cached: dict[str, _CachedEndpoints] = {}
        self._stated_until: dict[str, float] = {}

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Replace the calls per second that a warming endpoint can handle, by service."""
        self._rates = {service: rate for service, rate in rates.items() if rate > 0}
        self._stated = {key: each for key, each in self._stated.items() if self.limits(key.service)}

    def limits(self, service: str) -> bool:
        """Return whether the service has a rate for warming endpoints."""
        return service in self._rates

    def observe(self, key: EndpointKey, left_ms: int, now: float) -> None:
        """Record the remaining warm-up time that an answer stated, in milliseconds; 0 is warm."""
        service = key.service
        if not self.limits(service):
            return
        ends_at = now + left_ms / _MILLISECONDS
        self._stated[key] = _Statement(ends_at, now)
        self._stated_until[service] = max(ends_at, self._stated_until.get(service, ends_at))

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Drop the state of all endpoints but these."""
        for key in self._stated.keys() - keys:
            del self._stated[key]

    def among(self, usable: Sequence[EndpointEntry], now: float) -> frozenset[EndpointKey]:
        """Return the endpoints of one service that warm up at ``now``."""
        service = usable[0].key.service
        if not self.limits(service):
            return _NONE
        cached = self._cached.get(service)
        if cached is None or cached.usable is not usable:
            latest = max(entry.warm_at for entry in usable)
            cached = self._cached[service] = _CachedEndpoints(usable, latest)
        if now >= max(cached.warm_at, self._stated_until.get(service, now)):
            return _NONE
        return frozenset(entry.key for entry in usable if self._warm_at(entry) > now)

    def capacity(self, entry: EndpointEntry, service_time: float, now: float) -> float:
        """Return how many calls of ``service_time`` seconds the endpoint can run at once.

        The service must have a rate.
        """
        rate = self._rates[entry.key.service]
        if self._warm_at(entry) <= now:
            return float(entry.slots)
        return min(float(entry.slots), max(MIN_CAPACITY, rate * service_time))

    def _warm_at(self, entry: EndpointEntry) -> float:
        stated = self._stated.get(entry.key)
        newer = stated is not None and stated.at >= entry.reported_at
        return stated.warm_at if stated is not None and newer else entry.warm_at
