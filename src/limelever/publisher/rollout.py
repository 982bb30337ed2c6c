"""Rollout counts: how many subscribers hold which version, by zone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from limelever.protocol.distribution_pb2 import RolloutEntry, RolloutReport


class VersionHolders(Struct, frozen=True):
    """Number of proxies and agents of one zone at which ``version`` is in force."""

    zone: str
    version: int
    holders: int


class ZoneHolders(Struct, frozen=True):
    """Numbers of proxies and agents of one zone that hold at least a version, or lag behind it."""

    zone: str
    in_force: int
    lagging: int
    lowest_version: int


def merge(counts: Iterable[VersionHolders]) -> tuple[VersionHolders, ...]:
    """Return the counts summed by zone and version, sorted."""
    totals: Counter[tuple[str, int]] = Counter()
    for count in counts:
        totals[(count.zone, count.version)] += count.holders
    return tuple(
        VersionHolders(zone, version, holders)
        for (zone, version), holders in sorted(totals.items())
    )


def by_zone(counts: Iterable[VersionHolders], version: int) -> tuple[ZoneHolders, ...]:
    """Return, for each zone, how many hold at least ``version`` and how many do not."""
    zones: dict[str, list[VersionHolders]] = {}
    for count in counts:
        zones.setdefault(count.zone, []).append(count)
    return tuple(
        ZoneHolders(
            zone=zone,
            in_force=sum(count.holders for count in found if count.version >= version),
            lagging=sum(count.holders for count in found if count.version < version),
            lowest_version=min(count.version for count in found),
        )
        for zone, found in sorted(zones.items())
    )


def to_report(counts: Iterable[VersionHolders]) -> RolloutReport:
    """Return the message in which a relay reports its counts upstream."""
    return RolloutReport(
        entries=[
            RolloutEntry(zone=count.zone, version=count.version, holders=count.holders)
            for count in counts
        ]
    )


def from_report(report: RolloutReport) -> tuple[VersionHolders, ...]:
    """Return the counts that a report carries."""
    return tuple(
        VersionHolders(entry.zone, entry.version, entry.holders) for entry in report.entries
    )
