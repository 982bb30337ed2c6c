"""Makes changes and measures when they are in force on all hollow nodes."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from limelever_lab.bench.hollow_fleet import HollowFleet
from limelever_lab.bench.quantiles import Quantiles
from limelever_lab.bench.testbed import durations
from limelever_lab.fleet.operator import AcceptedChange

CONVERGENCE_LIMIT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class ConvergenceFigures:
    """Changes made, and how long after acceptance they were in force.

    ``each`` takes every node at every change, ``last`` only each change's last node. ``missing``
    counts node and change pairs that were not in force in ``CONVERGENCE_LIMIT_SECONDS``.
    """

    changes: int
    each: Quantiles
    last: Quantiles
    missing: int


def measure_changes(
    hollow: HollowFleet, change: Callable[[], AcceptedChange], count: int, pause: float
) -> ConvergenceFigures:
    """Make ``count`` changes, ``pause`` seconds apart, and measure their convergence."""
    accepted = []
    for _ in range(count):
        accepted.append(change())
        time.sleep(pause)
    hollow.wait_times(accepted[-1].version, CONVERGENCE_LIMIT_SECONDS)
    every: list[float] = []
    last: list[float] = []
    missing = 0
    for one in accepted:
        times = hollow.times(one.version)
        taken = durations(one.accepted_at, times)
        missing += len(times) - len(taken)
        every.extend(taken)
        last.append(max(taken, default=0.0))
    return ConvergenceFigures(count, Quantiles.of(every), Quantiles.of(last), missing)
