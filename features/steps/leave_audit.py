"""Holds what came to instances against the leaves that their nodes have acknowledged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from arrival_times import TimedArrival
from pause_record import PauseRecord
from stating_instances import Arrival
from strike_log import StrikeLog

LEAVE_SECONDS = 2.0
"""Time after an acknowledged leave in which requests may still come."""

CONTACT_SECONDS = 3.0
"""A machine counts again this long after a strike."""

ANSWER_SECONDS = 1.0


@dataclass
class LeavingRun:
    """One process of an instance beside ``node``; times are monotonic seconds.

    ``node_was_ready`` is whether the node said so right before the instance said that it leaves.
    """

    name: str
    node: str
    arrivals: list[Arrival] = field(default_factory=list)
    how: str = ""
    said_at: float | None = None
    node_was_ready: bool = True
    acknowledged_at: float | None = None


@dataclass
class LeaveAudit:
    """Judges the requests of callers; ``homes`` names the node to which each was sent."""

    runs: Iterable[LeavingRun]
    homes: Mapping[str, str]
    strikes: StrikeLog
    pauses: PauseRecord = field(default_factory=PauseRecord)

    def arrived_late(self) -> list[str]:
        """Return the requests that reached a run too late after its leave was acknowledged.

        A request counts if neither its node nor the one beside the instance was struck shortly
        before it came.
        """
        return [
            f"{run.name} ({run.how}) got {arrival.request} of {self.homes[arrival.request]} "
            f"{arrival.at - acknowledged_at:.2f} s after its leave was acknowledged"
            f"{self._explanation(acknowledged_at, arrival)}"
            for run in self.runs
            if (acknowledged_at := run.acknowledged_at) is not None
            for arrival in run.arrivals
            if arrival.request in self.homes
            and arrival.at > acknowledged_at + LEAVE_SECONDS
            and self._counts(run, arrival)
        ]

    def _explanation(self, acknowledged_at: float, arrival: Arrival) -> str:
        """Return the times that show whether the request or the test process was late."""
        pauses = self.pauses.between(acknowledged_at, arrival.at)
        stood_still = ", ".join(map(str, pauses)) or "never"
        times = arrival.times if isinstance(arrival, TimedArrival) else "times not noted"
        return f" at {acknowledged_at:.2f} ({times}; the test process stood still: {stood_still})"

    def not_acknowledged(self) -> list[str]:
        """Return the leaves that a calm node did not acknowledge beside calm control machines.

        A node is calm if it was ready and not struck shortly before.
        """
        broken = []
        for run in self.runs:
            if run.said_at is None or run.acknowledged_at is not None or not run.node_was_ready:
                continue
            span = (run.said_at - CONTACT_SECONDS, run.said_at + ANSWER_SECONDS)
            struck = self.strikes.disrupted(run.node, *span)
            calm = not struck and not self.strikes.was_out(run.node, *span)
            if calm and not self.strikes.control_disrupted(*span):
                broken.append(f"the leave of {run.name} ({run.how}) was not acknowledged")
        return broken

    def was_struck(self, run: LeavingRun) -> bool:
        """Return whether the node beside a run was struck within some seconds after its leave."""
        at = run.acknowledged_at
        return at is not None and self.strikes.disrupted(run.node, at, at + CONTACT_SECONDS)

    def _counts(self, run: LeavingRun, arrival: Arrival) -> bool:
        begin = arrival.at - CONTACT_SECONDS
        nodes = (run.node, self.homes[arrival.request])
        return not any(
            self.strikes.disrupted(node, begin, arrival.at)
            or self.strikes.was_out(node, begin, arrival.at)
            for node in nodes
        )
