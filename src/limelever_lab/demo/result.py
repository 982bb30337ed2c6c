"""What the demonstration measured of one deployment, and what had to hold."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limelever_lab.demo.added_time import AddedTime
from limelever_lab.fleet.version_watch import Reversion
from limelever_lab.load.audit import Audit
from limelever_lab.load.outcomes import Fate, Quantiles, Summary

CONVERGENCE_BOUND_SECONDS = 10.0
FAILED_STATUS = 1


@dataclass(frozen=True, slots=True)
class PlannedStops:
    """Exit statuses of planned stops, and the attempts that were cut during those under load."""

    statuses: dict[str, int]
    cut_attempts: int


@dataclass(frozen=True, slots=True)
class ControlBytes:
    """Control bytes of a proxy, the mean of all: over the whole run, and a second.

    ``claims_per_second`` are the bytes that at-most-once calls cost besides, at the keepers.
    """

    total: float
    per_second: float
    claims_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Check:
    """One thing that must hold."""

    name: str
    holds: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DeploymentResult:
    """What was measured on one deployment; ``seconds`` is the time of the whole run."""

    deployment: str
    processes: int
    calls: Summary
    audit: Audit
    reversions: tuple[Reversion, ...]
    changes: int
    convergence: Quantiles
    added_time: AddedTime
    control_bytes: ControlBytes
    stops: PlannedStops
    seconds: float

    @property
    def lost(self) -> int:
        """Return how many calls were lost: without an answer, or answered and not run."""
        return len(self.audit.lost) + len(self.audit.answered_not_run)

    @property
    def checks(self) -> tuple[Check, ...]:
        """Return everything that must hold, and whether it did."""
        audit, stops = self.audit, self.stops
        converged = self.convergence.largest < CONVERGENCE_BOUND_SECONDS
        return (
            Check("calls were answered", self.calls.count(Fate.ANSWERED) > 0),
            Check("no call lost", not self.lost, f"{audit.lost} {audit.answered_not_run}"),
            Check("no call run twice", not audit.run_twice, str(audit.run_twice)),
            Check("no refused call was run", not audit.refused_but_ran, str(audit.refused_but_ran)),
            Check("answers belong to their calls", not audit.mismatched, str(audit.mismatched)),
            Check("no version went back", not self.reversions, str(self.reversions)),
            Check("changes in force within seconds", converged),
            Check("planned stops cut off no call", stops.cut_attempts == 0),
            Check("planned stops exit 0", not any(stops.statuses.values()), str(stops.statuses)),
        )

    @property
    def holds(self) -> bool:
        """Return whether everything held that must."""
        return all(check.holds for check in self.checks)


def exit_status(results: Sequence[DeploymentResult], expected: int) -> int:
    """Return the status of a run that should have given ``expected`` results."""
    whole = len(results) == expected
    return 0 if whole and all(result.holds for result in results) else FAILED_STATUS
