"""Bytes: a node in quiet, for a change, for a reconnect; scoped deltas against full pushes."""

from __future__ import annotations

from dataclasses import dataclass

from limelever_lab.bench.baseline_fleet import BaselineFleet
from limelever_lab.bench.changes import ConvergenceFigures, measure_changes
from limelever_lab.bench.hollow_fleet import HollowFleet, ReconnectMeter, relay_addresses
from limelever_lab.bench.ladder import (
    CHANGES,
    QUIET_SECONDS,
    SETTLE_SECONDS,
    Step,
    climb,
    slopes,
)
from limelever_lab.bench.linear_fit import LinearFit
from limelever_lab.bench.results import Ratio
from limelever_lab.bench.testbed import Testbed, wait_for
from limelever_lab.bench.usage import Usage, UsageMeter

LARGEST_BASELINE = 1000
"""Nodes beyond which the baseline is not run: it decodes the whole set on every node."""

MISSED_CHANGES = 30
BASELINE_CHANGES = 4
BASELINE_PAUSE_SECONDS = 3.0
"""Longer than between scoped changes, so that pushes do not pile up in the hollow processes."""


@dataclass(frozen=True, slots=True)
class ReconnectBytes:
    """Subscription bytes a node, both ways, from dialling until all are in step again."""

    up_to_date: float
    behind: float
    behind_versions: int


@dataclass(frozen=True, slots=True)
class BaselineFigures:
    """The full push at ``nodes``: quiet, and changes to one common resource."""

    nodes: int
    quiet: Usage
    changing: Usage
    convergence: ConvergenceFigures


@dataclass(frozen=True, slots=True)
class ScaleDetails:
    """The ladder of sizes, the lines through it, the reconnects and the baseline."""

    batch_delay_ms: int
    resources_services: int
    scope_services: int
    relays: int
    steps: tuple[Step, ...]
    fits: tuple[LinearFit, ...]
    reconnect: ReconnectBytes | None
    baseline: BaselineFigures | None


def run_scale(
    testbed: Testbed, sizes: tuple[int, ...], *, with_reconnects: bool
) -> tuple[ScaleDetails, list[str]]:
    """Climb through ``sizes``, then run the baseline beside; return what was left out too."""
    unfinished: list[str] = []
    steps: list[Step] = []
    reconnect: ReconnectBytes | None = None
    relays = len(testbed.fleet.relays)
    with HollowFleet(testbed, "hollow", relay_addresses(testbed)) as hollow:
        for nodes in sizes:
            try:
                steps.append(climb(testbed, hollow, nodes))
            except (MemoryError, TimeoutError) as error:
                unfinished.append(f"{nodes} nodes: {str(error)[:400]}")
                break
        if with_reconnects and not unfinished:
            reconnect = measure_reconnects(testbed, hollow)
    matched = [nodes for nodes in sizes if nodes <= LARGEST_BASELINE]
    baseline = run_baseline(testbed, max(matched)) if matched else None
    details = ScaleDetails(
        batch_delay_ms=testbed.fleet.layout.deployment.distribution.batch_delay_ms,
        resources_services=testbed.settings.services,
        scope_services=testbed.settings.scope_services,
        relays=relays,
        steps=tuple(steps),
        fits=slopes(steps, relays),
        reconnect=reconnect,
        baseline=baseline,
    )
    return details, unfinished


def measure_reconnects(testbed: Testbed, hollow: HollowFleet) -> ReconnectBytes:
    """Take all proxies off and bring them back: once in step, once some changes behind."""
    version = testbed.change_common().version
    hollow.wait_settled(version)
    up_to_date = _reconnect(testbed, hollow, version, 0)
    behind = _reconnect(testbed, hollow, version, MISSED_CHANGES)
    return ReconnectBytes(up_to_date, behind, MISSED_CHANGES)


def _reconnect(testbed: Testbed, hollow: HollowFleet, version: int, missed: int) -> float:
    for process in hollow.processes:
        process.client.detach()
    for _ in range(missed):
        version = testbed.change_scoped().version
    meter = ReconnectMeter(hollow.processes)
    for process in hollow.processes:
        process.client.attach()
    hollow.wait_settled(version)
    return meter.stop()


def run_baseline(testbed: Testbed, nodes: int) -> BaselineFigures:
    """Measure the full push with as many hollow proxies, without agents."""
    with (
        BaselineFleet(testbed) as publishers,
        HollowFleet(
            testbed, "baseline", publishers.addresses, everything=True, agents=False
        ) as hollow,
    ):
        hollow.grow(nodes, testbed.change_common().version)
        wait_for(SETTLE_SECONDS)
        meter = UsageMeter(testbed.fleet, hollow)
        meter.start()
        wait_for(QUIET_SECONDS)
        quiet = meter.stop()
        meter.start()
        figures = measure_changes(
            hollow, testbed.change_common, BASELINE_CHANGES, BASELINE_PAUSE_SECONDS
        )
        changing = meter.stop()
        return BaselineFigures(nodes, quiet, changing, figures)


def bytes_per_change(changing: Usage, quiet: Usage, changes: int = CHANGES) -> float:
    """Return a node's subscription bytes for one change, less those of quiet time."""
    spent = changing.hollow.subscription_bytes_each
    idle = quiet.hollow.subscription_bytes_per_second_each * changing.seconds
    return (spent - idle) / changes


def scale_ratios(details: ScaleDetails) -> tuple[Ratio, ...]:
    """Return the largest step that the baseline matches, over the baseline."""
    baseline = details.baseline
    matching = [s for s in details.steps if baseline is not None and s.nodes == baseline.nodes]
    if baseline is None or not matching:
        return ()
    step = matching[0]
    pushed = bytes_per_change(baseline.changing, baseline.quiet, BASELINE_CHANGES)
    at = f"at {step.nodes} nodes"
    return (
        Ratio(
            f"convergence p50 ms {at}, a change that reaches all",
            step.common.each.p50_ms,
            baseline.convergence.each.p50_ms,
        ),
        Ratio(
            f"convergence p99 ms {at}, a change that reaches all",
            step.common.each.p99_ms,
            baseline.convergence.each.p99_ms,
        ),
        Ratio(
            f"bytes a node for a change that reaches all {at}",
            bytes_per_change(step.common_use, step.quiet),
            pushed,
        ),
        Ratio(
            f"bytes a node for a change of one service {at}",
            bytes_per_change(step.scoped_use, step.quiet),
            pushed,
        ),
    )
