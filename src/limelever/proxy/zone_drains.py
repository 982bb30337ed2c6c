"""Keeps calls away from endpoints in drained zones.

Answers the load that moves when an operator drains a zone: from the first call after the order all
of the zone's calls go to the other zones, which the operator has judged able to take them. A drain
is obeyed also where it leaves a service no endpoint, since the order outranks the calls.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Set

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.endpoints import EndpointEntry

NO_ENDPOINT_RETRY_SECONDS = 1.0
"""Retry delay sent to callers whose call no endpoint can take."""

Endpoints = Sequence[EndpointEntry]

_NO_ZONES: frozenset[str] = frozenset()


class DrainChange(Struct, frozen=True):
    """Zones whose drain began or ended, each sorted."""

    began: tuple[str, ...]
    ended: tuple[str, ...]


class _Eligible(Struct, frozen=True):
    """Endpoints outside drained zones, cached for the same ``usable`` sequence."""

    usable: Endpoints
    eligible: Endpoints


class ZoneDrainFilter:
    """Selects a service's endpoints outside drained zones."""

    def __init__(self) -> None:
        self._zones = _NO_ZONES
        self._by_service: dict[str, _Eligible] = {}

    def set_zones(self, zones: Iterable[str]) -> DrainChange:
        """Keep calls away from these zones from now on; return what that changes."""
        former, self._zones = self._zones, frozenset(zones)
        self._by_service.clear()
        return DrainChange(tuple(sorted(self._zones - former)), tuple(sorted(former - self._zones)))

    def is_drained(self, zone: str) -> bool:
        """Return whether a zone is drained."""
        return zone in self._zones

    def eligible(
        self, service: str, usable: Endpoints, refused_zones: Set[str] = _NO_ZONES
    ) -> Endpoints:
        """Return the endpoints that may take a call to ``service``.

        ``refused_zones`` are zones whose agents refused the call because of a drain that this proxy
        hasn't learned of yet. Without any, the same ``usable`` gives the same sequence each time,
        as the caches of version gate and balancer need.
        """
        if refused_zones:
            zones = self._zones | refused_zones
            return [entry for entry in usable if entry.zone not in zones]
        if not self._zones:
            return usable
        cached = self._by_service.get(service)
        if cached is None or cached.usable is not usable:
            eligible = tuple(entry for entry in usable if entry.zone not in self._zones)
            cached = self._by_service[service] = _Eligible(usable, eligible)
        return cached.eligible


def no_endpoint(service: str, *, all_drained: bool) -> Failure:
    """Return why no endpoint of a service takes a call; its outcome is not run."""
    if all_drained:
        kind, reason = ErrorKind.ZONE_DRAINED, f"all endpoints of {service} are in drained zones"
    else:
        kind, reason = ErrorKind.NO_ENDPOINT, f"no endpoint of {service} can take the call"
    return Failure(kind, reason, retry_after=NO_ENDPOINT_RETRY_SECONDS)
