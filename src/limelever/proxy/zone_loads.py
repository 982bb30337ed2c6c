"""What relays tell of the loads in the own zone, and what it says of endpoints elsewhere."""

from __future__ import annotations

from limelever.proxy.endpoints import EndpointKey


class ZoneLoads:
    """Loads of the zone's endpoints by service, as told last, with their sum."""

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, int] = {}
        self._sums: dict[str, int] = {}

    def told(self, key: EndpointKey, load: int) -> None:
        """Take a load that a relay told."""
        self._sums[key.service] = self._sums.get(key.service, 0) + load - self._by_key.get(key, 0)
        self._by_key[key] = load

    def mean(self, service: str, endpoints: int) -> float:
        """Return the mean load of a service's endpoints in the zone, of which there are so many."""
        return self._sums.get(service, 0) / endpoints if endpoints else 0.0

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Forget endpoints that are gone."""
        for key in self._by_key.keys() - keys:
            self.told(key, 0)
            del self._by_key[key]
