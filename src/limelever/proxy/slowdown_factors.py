"""How much slower than usual endpoints work, as their agents report it; reports decay quickly."""

from __future__ import annotations

from msgspec import Struct

from limelever.proxy.endpoints import EndpointKey

HALF_LIFE_SECONDS = 0.3
"""Time in which a reported deviation from normal loses half its weight."""

EXPIRY_SECONDS = 3.0
"""Age from which a report is ignored."""

_NORMAL = 1.0
_PERMILLE = 1000


class _Observation(Struct, frozen=True):
    """A factor and when it was reported (seconds)."""

    factor: float
    at: float


class SlowdownFactors:
    """Factors by endpoint; an endpoint without a report counts as normal."""

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, _Observation] = {}

    def record(self, key: EndpointKey, permille: int, now: float) -> None:
        """Record a reported slowdown, 1000 if the endpoint works as usual; 0 is ignored."""
        if permille:
            self._by_key[key] = _Observation(permille / _PERMILLE, now)

    def factor(self, key: EndpointKey, now: float) -> float:
        """Return by what factor work at an endpoint currently takes longer than usual."""
        observation = self._by_key.get(key)
        if observation is None or now - observation.at > EXPIRY_SECONDS:
            return _NORMAL
        weight = float(0.5 ** (max(0.0, now - observation.at) / HALF_LIFE_SECONDS))
        return _NORMAL + (observation.factor - _NORMAL) * weight

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Drop all endpoints but these."""
        for key in self._by_key.keys() - keys:
            del self._by_key[key]
