"""Regions of zones, as the settings of a process name them."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from msgspec import Struct

NO_REGION = ""
"""Region of a process or endpoint for which nothing names one."""

NO_ZONES: Mapping[str, str] = MappingProxyType({})


class Regions(Struct, frozen=True):
    """The region of this process, ``NO_REGION`` if unknown, and the regions of zones by name."""

    own: str = NO_REGION
    by_zone: Mapping[str, str] = NO_ZONES

    @property
    def known(self) -> frozenset[str]:
        """The regions of all zones; empty if the settings list no zones."""
        return frozenset(self.by_zone.values())

    def of_endpoint(self, stated: str, zone: str) -> str:
        """Return the region that an endpoint's agent stated, or else the region of its zone."""
        return stated or self.by_zone.get(zone, NO_REGION)


NO_REGIONS = Regions()


def region_matches_zone(region: str, zone: str, zones: Mapping[str, str]) -> bool:
    """Return whether ``region`` is the one that ``zones`` gives ``zone``, where both are known."""
    return not region or zones.get(zone, region) == region
