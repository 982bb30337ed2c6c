"""Rollout counts: how many subscribers hold which version, by zone."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ZoneHolders:
    """Proxies and agents of one zone that hold at least a version, and those that lag."""

    zone: str
    in_force: int
    lagging: int
    lowest_version: int
