"""Prints the demonstration's table."""

from __future__ import annotations

from collections.abc import Sequence

from limelever_lab.demo.result import DeploymentResult
from limelever_lab.load.outcomes import AttemptOutcome, Fate

MILLISECONDS = 1000.0
LABEL_WIDTH = 38
COLUMN_WIDTH = 14


def render(results: Sequence[DeploymentResult]) -> str:
    """Return the table: a column for each deployment, then what did not hold."""
    rows = [_row("", [result.deployment for result in results])]
    for label, cells in _rows(results):
        rows.append(_row(label, cells))
    for result in results:
        for check in result.checks:
            if not check.holds:
                rows.append(f"FAILED on {result.deployment}: {check.name} {check.detail}")
    return "\n".join(rows)


def _rows(results: Sequence[DeploymentResult]) -> list[tuple[str, list[str]]]:
    fates = (Fate.ANSWERED, Fate.REFUSED, Fate.FAILED, Fate.UNKNOWN)
    rows = [(f"calls {fate}", [str(r.calls.count(fate)) for r in results]) for fate in fates]
    rows += [
        ("calls lost", [str(r.lost) for r in results]),
        ("calls run twice", [str(len(r.audit.run_twice)) for r in results]),
        (
            "first answers dropped and resent",
            [str(r.calls.attempts.get(AttemptOutcome.ABANDONED, 0)) for r in results],
        ),
        ("answer time p50 ms", [_ms(r.calls.answered_times.p50) for r in results]),
        ("answer time p99 ms", [_ms(r.calls.answered_times.p99) for r in results]),
        ("added by the mesh, unloaded, p50 ms", [_ms(r.added_time.p50) for r in results]),
        ("added by the mesh, unloaded, p99 ms", [_ms(r.added_time.p99) for r in results]),
        ("path to a back end directly, p50 ms", [_ms(r.added_time.direct.p50) for r in results]),
        ("changes under load", [str(r.changes) for r in results]),
        ("convergence p50 ms", [_ms(r.convergence.p50) for r in results]),
        ("convergence p99 ms", [_ms(r.convergence.p99) for r in results]),
        ("convergence max ms", [_ms(r.convergence.largest) for r in results]),
        ("control bytes per proxy", [f"{r.control_bytes.total:.0f}" for r in results]),
        (
            "control bytes per proxy and second",
            [f"{r.control_bytes.per_second:.0f}" for r in results],
        ),
        (
            "claim bytes per proxy and second",
            [f"{r.control_bytes.claims_per_second:.0f}" for r in results],
        ),
        ("processes", [str(r.processes) for r in results]),
        ("seconds", [f"{r.seconds:.1f}" for r in results]),
        ("what must hold", ["held" if r.holds else "FAILED" for r in results]),
    ]
    return rows


def _row(label: str, cells: Sequence[str]) -> str:
    return f"{label:<{LABEL_WIDTH}}" + "".join(f"{cell:>{COLUMN_WIDTH}}" for cell in cells)


def _ms(seconds: float) -> str:
    return f"{seconds * MILLISECONDS:.1f}"
