"""How long work takes at endpoints now, as their agents told it; what was told fades soon."""

from __future__ import annotations

from msgspec import Struct

from limelever.proxy.endpoints import EndpointKey

HALF_LIFE = 0.3
"""Seconds after which half of a pace's difference from the usual is believed: paces change many
times a second."""

FORGOTTEN = 3.0
"""Seconds after which nothing is left of it."""

_USUAL = 1.0
_PERMILLE = 1000


class _Told(Struct, frozen=True):
    """A factor told at a moment (seconds)."""

    factor: float
    at: float


class Paces:
    """Factors by endpoint; one of which nothing was told counts as usual."""

    def __init__(self) -> None:
        self._by_key: dict[EndpointKey, _Told] = {}

    def told(self, key: EndpointKey, permille: int, now: float) -> None:
        """Take a pace that an agent or a relay told, 1000 as usual; 0 is no news."""
        if permille:
            self._by_key[key] = _Told(permille / _PERMILLE, now)

    def factor(self, key: EndpointKey, now: float) -> float:
        """Return by what work's usual time at an endpoint is to be multiplied now."""
        told = self._by_key.get(key)
        if told is None or now - told.at > FORGOTTEN:
            return _USUAL
        believed = float(0.5 ** (max(0.0, now - told.at) / HALF_LIFE))
        return _USUAL + (told.factor - _USUAL) * believed

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Forget endpoints that are gone."""
        for key in self._by_key.keys() - keys:
            del self._by_key[key]
