"""Sets up the testbed of an experiment and runs it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limelever_lab.bench.batching import batching_ratios, run_batching
from limelever_lab.bench.control_bytes import run_scale, scale_ratios
from limelever_lab.bench.convergence import convergence_ratios, run_convergence
from limelever_lab.bench.recovery import recovery_ratios, run_recovery
from limelever_lab.bench.results import BenchSettings, Experiment, Ratio
from limelever_lab.bench.state_size import run_state
from limelever_lab.bench.storm import run_storm, storm_ratios
from limelever_lab.bench.testbed import Testbed, TestbedSettings
from limelever_lab.fleet.deployment import load_deployment


@dataclass(frozen=True, slots=True)
class Outcome:
    """What an experiment measured, its ratios, and what it left out."""

    details: Any
    ratios: tuple[Ratio, ...]
    unfinished: tuple[str, ...] = ()


def run_experiment(experiment: Experiment, settings: BenchSettings, folder: Path) -> Outcome:
    """Run one of the experiments of distribution in ``folder``."""
    sizes = TestbedSettings(seed=settings.seed, batch_delay_ms=settings.batch_delay_ms)
    deployment = load_deployment(settings.deployment)
    if experiment is Experiment.BATCHING:
        batching = run_batching(deployment, folder, sizes)
        return Outcome(batching, batching_ratios(batching))
    if experiment is Experiment.STATE:
        return Outcome(run_state(deployment, folder, sizes), ())
    with Testbed(deployment, folder, sizes) as testbed:
        return _run(experiment, testbed, settings)


def _run(experiment: Experiment, testbed: Testbed, settings: BenchSettings) -> Outcome:
    match experiment:
        case Experiment.CONVERGENCE:
            details, unfinished = run_convergence(testbed, settings.nodes)
            return Outcome(details, convergence_ratios(details), tuple(unfinished))
        case Experiment.BYTES:
            scale, left_out = run_scale(testbed, settings.nodes, with_reconnects=True)
            return Outcome(scale, scale_ratios(scale), tuple(left_out))
        case Experiment.STORM:
            storm, left_out = run_storm(testbed, settings.nodes)
            return Outcome(storm, storm_ratios(storm), tuple(left_out))
        case Experiment.RECOVERY:
            recovery, left_out = run_recovery(testbed)
            return Outcome(recovery, recovery_ratios(recovery), tuple(left_out))
    raise ValueError(f"{experiment} is not an experiment of distribution")
