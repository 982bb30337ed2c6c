"""Convergence: accepted change to in force on every node, by size, under churn, after a storm."""

from __future__ import annotations

from dataclasses import dataclass

from limelever_lab.bench.changes import ConvergenceFigures, measure_changes
from limelever_lab.bench.control_bytes import BaselineFigures, run_baseline
from limelever_lab.bench.hollow_fleet import HollowFleet, relay_addresses
from limelever_lab.bench.results import Ratio
from limelever_lab.bench.testbed import Testbed, wait_for

CHANGES = 12
PAUSE_SECONDS = 0.3
CHURN_PART_PER_SECOND = 0.02
"""Part of all agents restarted a second under churn: 2,300 times the letter's 6,500 a day."""

CHURN_SETTLE_SECONDS = 2.0
LARGEST_BASELINE = 1000


@dataclass(frozen=True, slots=True)
class ConvergenceStep:
    """Convergence at one size."""

    nodes: int
    quiet: ConvergenceFigures
    churn_per_second: float
    under_churn: ConvergenceFigures
    after_storm: ConvergenceFigures


@dataclass(frozen=True, slots=True)
class ConvergenceDetails:
    """All sizes, and the full push beside them."""

    batch_delay_ms: int
    steps: tuple[ConvergenceStep, ...]
    baseline: BaselineFigures


def run_convergence(
    testbed: Testbed, sizes: tuple[int, ...]
) -> tuple[ConvergenceDetails, list[str]]:
    """Measure all sizes and the baseline; return what was left out too."""
    unfinished: list[str] = []
    steps: list[ConvergenceStep] = []
    with HollowFleet(testbed, "hollow", relay_addresses(testbed)) as hollow:
        for nodes in sizes:
            try:
                steps.append(_step(testbed, hollow, nodes))
            except (MemoryError, TimeoutError) as error:
                unfinished.append(f"{nodes} nodes: {str(error)[:400]}")
                break
    baseline = run_baseline(testbed, min(max(sizes), LARGEST_BASELINE))
    batch_delay = testbed.fleet.layout.deployment.distribution.batch_delay_ms
    return ConvergenceDetails(batch_delay, tuple(steps), baseline), unfinished


def _step(testbed: Testbed, hollow: HollowFleet, nodes: int) -> ConvergenceStep:
    hollow.grow(nodes, testbed.change_common().version)
    quiet = measure_changes(hollow, testbed.change_common, CHANGES, PAUSE_SECONDS)
    churn = nodes * CHURN_PART_PER_SECOND
    _set_churn(hollow, churn)
    wait_for(CHURN_SETTLE_SECONDS)
    under_churn = measure_changes(hollow, testbed.change_common, CHANGES, PAUSE_SECONDS)
    _set_churn(hollow, 0.0)
    for process in hollow.processes:
        process.client.detach()
    for process in hollow.processes:
        process.client.attach()
    after_storm = measure_changes(hollow, testbed.change_common, CHANGES, PAUSE_SECONDS)
    return ConvergenceStep(nodes, quiet, churn, under_churn, after_storm)


def _set_churn(hollow: HollowFleet, per_second: float) -> None:
    for process in hollow.processes:
        process.client.churn(per_second * process.nodes / hollow.nodes)


def convergence_ratios(details: ConvergenceDetails) -> tuple[Ratio, ...]:
    """Return the step of the baseline's size over the baseline."""
    pushed = details.baseline.convergence
    ratios: list[Ratio] = []
    for step in details.steps:
        if step.nodes != details.baseline.nodes:
            continue
        at = f"at {step.nodes} nodes"
        ratios += [
            Ratio(f"convergence p50 ms {at}", step.quiet.each.p50_ms, pushed.each.p50_ms),
            Ratio(f"convergence p99 ms {at}", step.quiet.each.p99_ms, pushed.each.p99_ms),
            Ratio(f"convergence max ms {at}", step.quiet.each.max_ms, pushed.each.max_ms),
        ]
    return tuple(ratios)
