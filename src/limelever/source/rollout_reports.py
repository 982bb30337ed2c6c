"""Rollout counts of the whole group: each follower reports those of its relays to the leader."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId
from limelever.protocol.distribution_pb2 import RolloutReport
from limelever.protocol.operators_pb2 import RolloutResponse, ZoneRollout
from limelever.publisher.rollout import VersionHolders, by_zone, from_report


class RolloutReports:
    """The newest report on each link from a follower."""

    def __init__(self) -> None:
        self._reports: dict[ConnectionId, tuple[VersionHolders, ...]] = {}

    def take(self, connection: ConnectionId, report: RolloutReport) -> None:
        """Keep a follower's report."""
        self._reports[connection] = from_report(report)

    def forget(self, connection: ConnectionId) -> None:
        """Drop the report of a link that is gone: its relays move to other replicas."""
        self._reports.pop(connection, None)

    def clear(self) -> None:
        """Drop all reports, when this replica leads no more."""
        self._reports.clear()

    def response(self, own: RolloutReport, version: int, current_version: int) -> RolloutResponse:
        """Return who holds ``version``; it is complete when somebody does and nobody lags."""
        holders = [*from_report(own)]
        for report in self._reports.values():
            holders.extend(report)
        zones = by_zone(holders, version)
        complete = bool(zones) and version <= current_version
        return RolloutResponse(
            version=version,
            zones=[
                ZoneRollout(
                    zone=zone.zone,
                    in_force=zone.in_force,
                    lagging=zone.lagging,
                    lowest_version=zone.lowest_version,
                )
                for zone in zones
            ],
            complete=complete and all(zone.lagging == 0 for zone in zones),
        )
