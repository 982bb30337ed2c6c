"""Loads that relays report for endpoints in the proxy's own zone, and their mean by service."""

from __future__ import annotations

from limelever.proxy.endpoints import EndpointKey


class ZoneLoads:
    """The last reported load of each endpoint, and their sum by service."""

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, int] = {}
        self._sums: dict[str, int] = {}

    def record(self, key: EndpointKey, load: int) -> None:
        """Record the load that a relay reported."""
        self._sums[key.service] = self._sums.get(key.service, 0) + load - self._by_key.get(key, 0)
        self._by_key[key] = load

    def mean(self, service: str, endpoints: int) -> float:
        """Return the mean load over a number of endpoints of a service."""
        return self._sums.get(service, 0) / endpoints if endpoints else 0.0

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Drop all endpoints but these."""
        for key in self._by_key.keys() - keys:
            self.record(key, 0)
            del self._by_key[key]
