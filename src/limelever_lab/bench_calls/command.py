"""The experiments ``calls`` and ``shares`` of ``limelever-lab bench``."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import typer

from limelever_lab.bench.machine import MachineLoad
from limelever_lab.bench_calls import calls_experiment, shares_experiment
from limelever_lab.bench_calls.calls_experiment import CallsExperiment, CallsResult
from limelever_lab.bench_calls.deployment import (
    EchoFleetSize,
    open_echo_fleet,
    start_echo_fleet,
)
from limelever_lab.bench_calls.results import run_conditions, write_result
from limelever_lab.bench_calls.shares_experiment import SharesResult, run_shares
from limelever_lab.bench_calls.tables import render_calls, render_shares
from limelever_lab.fleet.deployment import Deployment, load_deployment
from limelever_lab.fleet.fleet import Fleet

STAGE_BODIES = (0, calls_experiment.KIBIBYTE, calls_experiment.LARGE_BODY)
CALLS = "calls"
SHARES = "shares"
ResultT = TypeVar("ResultT")


def bench_calls(experiment: str, json_file: Path | None, deployment: str, seed: int) -> None:
    """Run ``calls`` or ``shares``, print its table and write the JSON file if one is named."""
    run = {CALLS: _run_calls, SHARES: _run_shares}[experiment]
    run(json_file, deployment, seed)


def _run_calls(json_file: Path | None, deployment: str, seed: int) -> None:
    result = _with_fleet(
        load_deployment(deployment), calls_experiment.FLEET_SIZE, seed, _measure_calls
    )
    typer.echo(render_calls(result))
    if json_file is not None:
        write_result(json_file, result)


def _run_shares(json_file: Path | None, deployment: str, seed: int) -> None:
    result = _with_fleet(
        load_deployment(deployment), shares_experiment.FLEET_SIZE, seed, _measure_shares
    )
    typer.echo(render_shares(result))
    if json_file is not None:
        write_result(json_file, result)


def _with_fleet(
    deployment: Deployment,
    size: EchoFleetSize,
    seed: int,
    measure: Callable[[Fleet, Deployment, int], ResultT],
) -> ResultT:
    folder = Path(tempfile.mkdtemp(prefix="limelever-bench-"))
    with open_echo_fleet(deployment, folder, size, seed) as fleet:
        result = measure(fleet, deployment, seed)
    shutil.rmtree(folder)
    return result


def _measure_calls(fleet: Fleet, deployment: Deployment, seed: int) -> CallsResult:
    start_echo_fleet(fleet, calls_experiment.CALL_TIMEOUT_MS)
    experiment = CallsExperiment(fleet, seed)
    experiment.warm_up()
    before = MachineLoad.now()
    stages = tuple(experiment.stages(size) for size in STAGE_BODIES)
    cases = tuple(experiment.measure(case) for case in calls_experiment.call_cases())
    costs = experiment.processor_costs()
    conditions = run_conditions(CALLS, deployment.name, seed, before)
    return CallsResult(conditions, calls_experiment.FLEET_SIZE, stages, cases, costs)


def _measure_shares(fleet: Fleet, deployment: Deployment, seed: int) -> SharesResult:
    shares = shares_experiment.SHARES
    start_echo_fleet(fleet, shares_experiment.CALL_TIMEOUT_MS, shares)
    before = MachineLoad.now()
    phases = run_shares(fleet, shares, seed)
    conditions = run_conditions(SHARES, deployment.name, seed, before)
    return SharesResult(conditions, shares_experiment.FLEET_SIZE, shares, phases)
