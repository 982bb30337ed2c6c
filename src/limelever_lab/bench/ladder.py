"""One step of a ladder of sizes: quiet, changes that reach all nodes, changes that reach few."""

from __future__ import annotations

from dataclasses import dataclass

from limelever_lab.bench.changes import ConvergenceFigures, measure_changes
from limelever_lab.bench.hollow_fleet import HollowFleet
from limelever_lab.bench.linear_fit import LinearFit, fit
from limelever_lab.bench.testbed import Testbed, wait_for
from limelever_lab.bench.usage import Usage, UsageMeter

QUIET_SECONDS = 8.0
SETTLE_SECONDS = 3.0
CHANGES = 12
PAUSE_SECONDS = 0.4
FEWEST_FOR_FIT = 2
MEBIBYTE = float(1 << 20)


@dataclass(frozen=True, slots=True)
class Step:
    """What one size showed."""

    nodes: int
    quiet: Usage
    common_use: Usage
    common: ConvergenceFigures
    scoped_use: Usage
    scoped: ConvergenceFigures


def climb(testbed: Testbed, hollow: HollowFleet, nodes: int) -> Step:
    """Grow to ``nodes`` and measure."""
    hollow.grow(nodes, testbed.change_common().version)
    wait_for(SETTLE_SECONDS)
    meter = UsageMeter(testbed.fleet, hollow)
    meter.start()
    wait_for(QUIET_SECONDS)
    quiet = meter.stop()
    meter.start()
    common = measure_changes(hollow, testbed.change_common, CHANGES, PAUSE_SECONDS)
    common_use = meter.stop()
    meter.start()
    scoped = measure_changes(hollow, testbed.change_scoped, CHANGES, PAUSE_SECONDS)
    return Step(nodes, quiet, common_use, common, meter.stop(), scoped)


def slopes(steps: list[Step], relays: int) -> tuple[LinearFit, ...]:
    """Fit what depends on the number of nodes; sizes are nodes a relay, or nodes."""
    if len(steps) < FEWEST_FOR_FIT:
        return ()
    each = [step.nodes / relays for step in steps]
    nodes = [float(step.nodes) for step in steps]
    quiet_relays = [step.quiet.role("relay") for step in steps]
    changing = [step.common_use for step in steps]
    return (
        fit("relay processor in quiet", "cores", each, [r.processor_each for r in quiet_relays]),
        fit(
            "relay memory",
            "MiB",
            each,
            [r.resident_bytes_each / MEBIBYTE for r in quiet_relays],
        ),
        fit(
            "relay control bytes in quiet",
            "B/s",
            each,
            [r.control_bytes_per_second_each for r in quiet_relays],
        ),
        fit(
            "relay processor for a change that reaches all",
            "core seconds",
            each,
            [
                processor_per_change(use, step, "relay")
                for use, step in zip(changing, steps, strict=True)
            ],
        ),
        fit(
            "relay processor for a change that reaches few",
            "core seconds",
            each,
            [processor_per_change(step.scoped_use, step, "relay") for step in steps],
        ),
        fit(
            "source leader processor for a change",
            "core seconds",
            nodes,
            [_leader_per_change(step.scoped_use, step) for step in steps],
        ),
        fit(
            "source disk bytes written for a change, each replica",
            "B",
            nodes,
            [step.scoped_use.role("source").written_bytes_each / CHANGES for step in steps],
        ),
        fit(
            "hollow processor in quiet",
            "cores",
            nodes,
            [step.quiet.hollow.processor_each * step.nodes for step in steps],
        ),
        fit(
            "hollow memory",
            "MiB",
            nodes,
            [step.quiet.hollow.resident_bytes_each * step.nodes / MEBIBYTE for step in steps],
        ),
        fit(
            "source processor in quiet, each replica",
            "cores",
            nodes,
            [step.quiet.role("source").processor_each for step in steps],
        ),
    )


def processor_per_change(use: Usage, step: Step, role: str) -> float:
    """Return a process's processor seconds for one change, less what it uses in quiet."""
    extra = use.role(role).processor_each - step.quiet.role(role).processor_each
    return extra * use.seconds / CHANGES


def _leader_per_change(use: Usage, step: Step) -> float:
    """Return the busiest replica's processor seconds for one change, less those in quiet."""
    extra = use.role("source").largest_processor - step.quiet.role("source").largest_processor
    return extra * use.seconds / CHANGES
