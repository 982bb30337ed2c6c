"""The ``bench`` command."""

from __future__ import annotations

import importlib
import shutil
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.bench.machine import MachineLoad, machine_since
from limelever_lab.bench.results import BenchResult, BenchSettings, Experiment
from limelever_lab.bench.run import run_experiment
from limelever_lab.bench.summary import summarise_result
from limelever_lab.fleet.deployment import DEPLOYMENT_NAMES

USAGE_STATUS = 2
PARTIAL_STATUS = 1
DEFAULT_NODES = (10, 100, 1000)
CALLS_MODULE = "limelever_lab.bench_calls.command"
CALL_EXPERIMENTS = (Experiment.CALLS, Experiment.SHARES)


def bench(
    experiment: Annotated[Experiment, typer.Argument(help="What to measure.")],
    json_file: Annotated[
        Path | None, typer.Option("--json", help="File that keeps the result.")
    ] = None,
    deployment: Annotated[str, typer.Option(help="koszyk or results.")] = DEPLOYMENT_NAMES[0],
    nodes: Annotated[
        list[int] | None, typer.Option(help="Hollow nodes; may be given often. 10, 100, 1000.")
    ] = None,
    seed: Annotated[int, typer.Option(help="Seed of everything that is drawn.")] = 1,
    batch_delay_ms: Annotated[
        int | None, typer.Option(help="In place of the deployment's batch delay.")
    ] = None,
    keep: Annotated[Path | None, typer.Option(help="Folder for settings, logs and data.")] = None,
) -> None:
    """Run one experiment on real processes and hollow nodes, with its baseline beside it."""
    if deployment not in DEPLOYMENT_NAMES:
        raise typer.BadParameter(
            f"is one of {', '.join(DEPLOYMENT_NAMES)}", param_hint="deployment"
        )
    if experiment in CALL_EXPERIMENTS:
        _calls_command()(experiment.value, json_file, deployment, seed)
        return
    sizes = tuple(sorted(nodes or DEFAULT_NODES))
    settings = BenchSettings(deployment, sizes, seed, batch_delay_ms)
    folder = keep or Path(tempfile.mkdtemp(prefix="limelever-bench-"))
    folder.mkdir(parents=True, exist_ok=True)
    result = _measured(experiment, settings, folder)
    if json_file is not None:
        result.write(json_file)
    typer.echo(summarise_result(result))
    if keep is None:
        shutil.rmtree(folder)
    if result.unfinished:
        raise typer.Exit(PARTIAL_STATUS)


def _measured(experiment: Experiment, settings: BenchSettings, folder: Path) -> BenchResult:
    before = MachineLoad.now()
    started = time.monotonic()
    outcome = run_experiment(experiment, settings, folder)
    return BenchResult(
        experiment=experiment,
        settings=settings,
        machine=machine_since(before),
        seconds=time.monotonic() - started,
        details=outcome.details,
        ratios=outcome.ratios,
        unfinished=outcome.unfinished,
    )


def _calls_command() -> Callable[..., None]:
    """Return the function behind ``calls`` and ``shares``, which stands in a package of its own."""
    try:
        module = importlib.import_module(CALLS_MODULE)
    except ModuleNotFoundError as error:
        if error.name is None or not CALLS_MODULE.startswith(error.name):
            raise
        typer.echo("calls and shares are not part of this version", err=True)
        raise typer.Exit(USAGE_STATUS) from None
    function: Callable[..., None] = module.bench_calls
    return function
