"""Drops faults of a failing run one by one while it still fails."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from limelever_lab.simulator.result import RunOrder, RunResult

Run = Callable[[RunOrder], RunResult]


def shrink(result: RunResult, fault_count: int, run: Run) -> RunResult:
    """Return a failing run with as few of the seed's faults as dropping one by one finds.

    ``fault_count`` is how many faults the seed draws; ``run`` carries out an order.
    """
    kept = result.order.kept
    positions = list(range(fault_count) if kept is None else kept)
    best = result
    for position in list(positions):
        fewer = [item for item in positions if item != position]
        attempt = run(replace(result.order, kept=tuple(fewer)))
        if not attempt.passed:
            best = attempt
            positions = fewer
    return best
