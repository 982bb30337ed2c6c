"""The ``demo`` command."""

from __future__ import annotations

import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.demo.result import DeploymentResult, exit_status
from limelever_lab.demo.scenario import DemoSettings, run_deployment
from limelever_lab.demo.table import render
from limelever_lab.fleet.deployment import DEPLOYMENT_NAMES, load_deployment


def demo(
    deployment: Annotated[
        list[str] | None, typer.Option(help="Deployment; may be given often. All by default.")
    ] = None,
    rate: Annotated[float, typer.Option(min=1.0, help="Calls a second.")] = 60.0,
    seed: int = 1,
    keep: Annotated[Path | None, typer.Option(help="Folder for settings, logs and data.")] = None,
) -> None:
    """Run each deployment's fleet, change it and break it under load, and print a table."""
    started = time.monotonic()
    folder = keep or Path(tempfile.mkdtemp(prefix="limelever-demo-"))

    def say(text: str) -> None:
        typer.echo(f"{time.monotonic() - started:6.1f} s  {text}")

    results: list[DeploymentResult] = []
    names = deployment or DEPLOYMENT_NAMES
    for name in names:
        say(f"{name}: starting")
        (folder / name).mkdir(parents=True, exist_ok=True)
        try:
            settings = DemoSettings(rate, seed)
            results.append(run_deployment(load_deployment(name), folder / name, settings, say))
        except (TimeoutError, RuntimeError) as error:
            say(f"{name}: {error}")
    if results:
        typer.echo("\n" + render(results))
    status = exit_status(results, len(names))
    if status:
        typer.echo(f"settings, logs and data are kept in {folder}")
        raise typer.Exit(status)
    if keep is None:
        shutil.rmtree(folder)
