"""What a run of one seed gives back, and how it is printed."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from limelever_lab.simulator.checkers import Finding
from limelever_lab.simulator.faults import Fault


@dataclass(frozen=True, slots=True)
class RunOrder:
    """What to run: seed, deployment, the mechanism switched off, and the faults kept.

    ``kept`` are positions in the seed's drawn faults; ``None`` keeps all of them.
    """

    seed: int
    deployment: str = "koszyk"
    broken: str = ""
    kept: tuple[int, ...] | None = None

    @property
    def command(self) -> str:
        """Return the command that repeats the run."""
        text = f"limelever-lab simulate --first {self.seed} --seeds 1"
        text += f" --deployment {self.deployment}"
        if self.broken:
            text += f" --break {self.broken}"
        if self.kept is not None:
            text += f" --faults {','.join(map(str, self.kept)) or 'none'}"
        return text


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Counts of a run; convergence in seconds of virtual time, bytes as sent on links.

    ``settled_after`` is the time from the end of the last fault, and of the stream of changes,
    until every holder had everything that was accepted, 0 if it had it by then.
    """

    events: int = 0
    accepted: int = 0
    refused: int = 0
    calls: int = 0
    answered: int = 0
    refused_calls: int = 0
    runs: int = 0
    worst_convergence: float = 0.0
    median_convergence: float = 0.0
    settled_after: float = 0.0
    control_bytes: int = 0


@dataclass(frozen=True, slots=True)
class RunResult:
    """The outcome of one run."""

    order: RunOrder
    digest: str
    faults: tuple[Fault, ...]
    findings: tuple[Finding, ...]
    figures: RunFigures

    @property
    def passed(self) -> bool:
        """Return whether no rule was broken."""
        return not self.findings

    def as_json(self) -> str:
        """Return the result as one JSON line."""
        return json.dumps(
            {
                "seed": self.order.seed,
                "deployment": self.order.deployment,
                "break": self.order.broken,
                "digest": self.digest,
                "passed": self.passed,
                "faults": [str(fault) for fault in self.faults],
                "findings": [str(finding) for finding in self.findings],
                "events": self.figures.events,
                "accepted": self.figures.accepted,
                "refused": self.figures.refused,
                "calls": self.figures.calls,
                "answered": self.figures.answered,
                "refused_calls": self.figures.refused_calls,
                "runs": self.figures.runs,
                "worst_convergence_s": round(self.figures.worst_convergence, 4),
                "median_convergence_s": round(self.figures.median_convergence, 4),
                "settled_after_s": round(self.figures.settled_after, 4),
                "control_bytes": self.figures.control_bytes,
            }
        )


def describe_failure(result: RunResult, shrunk: RunResult) -> list[str]:
    """Return the lines that a failing seed prints: findings, shrunk faults, command."""
    lines = [f"seed {result.order.seed} FAILED"]
    lines += [f"  fault: {fault}" for fault in shrunk.faults]
    if not shrunk.faults:
        lines.append("  fault: none is needed")
    lines += [f"  finding: {finding}" for finding in shrunk.findings[:5]]
    lines.append(f"  repeat: {shrunk.order.command}")
    return lines


def summary(results: Sequence[RunResult]) -> str:
    """Return one line of totals."""
    failed = [result.order.seed for result in results if not result.passed]
    events = sum(result.figures.events for result in results)
    accepted = sum(result.figures.accepted for result in results)
    calls = sum(result.figures.calls for result in results)
    text = f"{len(results)} seeds, {events} events, {accepted} accepted changes, {calls} calls"
    return f"{text}: {len(results) - len(failed)} passed, {len(failed)} failed"
