"""Batch delay: convergence against control bytes, as changes follow each other quickly."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from pathlib import Path

from limelever_lab.bench.changes import ConvergenceFigures, measure_changes
from limelever_lab.bench.hollow_fleet import HollowFleet, relay_addresses
from limelever_lab.bench.results import Ratio
from limelever_lab.bench.testbed import Testbed, TestbedSettings, wait_for
from limelever_lab.bench.usage import Usage, UsageMeter
from limelever_lab.fleet.deployment import Deployment

BATCH_DELAYS_MS = (0, 50, 250, 1000)
READERS = 40
CHANGES = 60
PAUSE_SECONDS = 0.03
QUIET_SECONDS = 4.0
SETTLE_SECONDS = 2.0
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class BatchingPoint:
    """One batch delay: convergence, and subscription bytes a reader and change above quiet."""

    batch_delay_ms: int
    changes_per_second: float
    convergence: ConvergenceFigures
    bytes_per_change: float
    quiet_bytes_per_second: float


@dataclass(frozen=True, slots=True)
class BatchingDetails:
    """All delays; ``own_batch_delay_ms`` is the deployment's."""

    own_batch_delay_ms: int
    readers: int
    points: tuple[BatchingPoint, ...]


def run_batching(deployment: Deployment, folder: Path, sizes: TestbedSettings) -> BatchingDetails:
    """Measure every delay on a fleet of its own, below ``folder``."""
    points = []
    for delay in BATCH_DELAYS_MS:
        place = folder / f"delay-{delay}"
        place.mkdir()
        settings = dataclasses.replace(sizes, batch_delay_ms=delay)
        with Testbed(deployment, place, settings) as testbed:
            points.append(_measure(testbed, delay))
    return BatchingDetails(deployment.distribution.batch_delay_ms, READERS, tuple(points))


def _measure(testbed: Testbed, delay: int) -> BatchingPoint:
    with HollowFleet(testbed, "hollow", relay_addresses(testbed)) as hollow:
        hollow.grow(READERS, testbed.change_common().version)
        wait_for(SETTLE_SECONDS)
        meter = UsageMeter(testbed.fleet, hollow)
        meter.start()
        wait_for(QUIET_SECONDS)
        quiet = meter.stop()
        meter.start()
        convergence = measure_changes(hollow, testbed.change_common, CHANGES, PAUSE_SECONDS)
        wait_for(delay / MILLISECONDS)
        changing = meter.stop()
    return BatchingPoint(
        batch_delay_ms=delay,
        changes_per_second=CHANGES / changing.seconds,
        convergence=convergence,
        bytes_per_change=_above_quiet(changing, quiet) / CHANGES,
        quiet_bytes_per_second=quiet.hollow.subscription_bytes_per_second_each,
    )


def _above_quiet(changing: Usage, quiet: Usage) -> float:
    idle = quiet.hollow.subscription_bytes_per_second_each * changing.seconds
    return changing.hollow.subscription_bytes_each - idle


def batching_ratios(details: BatchingDetails) -> tuple[Ratio, ...]:
    """Return each delay over none."""
    first, *others = details.points
    ratios: list[Ratio] = []
    for point in others:
        at = f"at a batch delay of {point.batch_delay_ms} ms"
        ratios += [
            Ratio(
                f"convergence p50 ms {at}",
                point.convergence.each.p50_ms,
                first.convergence.each.p50_ms,
            ),
            Ratio(
                f"bytes a reader and change {at}", point.bytes_per_change, first.bytes_per_change
            ),
        ]
    return tuple(ratios)
