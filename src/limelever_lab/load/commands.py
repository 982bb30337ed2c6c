"""The ``callers`` command: a deployment's calls against proxies or back ends."""

from __future__ import annotations

from typing import Annotated

import trio
import typer

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.load.calls import ArrivalSettings
from limelever_lab.load.generator import LoadSettings, run_for
from limelever_lab.load.outcomes import Fate, summarise

MILLISECONDS = 1000.0


def callers(
    target: Annotated[list[str], typer.Option(help="Base address; may be given often.")],
    deployment: str = "koszyk",
    service: Annotated[str, typer.Option(help="Only this service's calls.")] = "",
    rate: Annotated[float, typer.Option(min=0.1, help="Calls a second.")] = 100.0,
    duration: Annotated[float, typer.Option(min=0.1, help="Seconds.")] = 10.0,
    seed: int = 1,
    abandon_percent: Annotated[float, typer.Option(min=0.0, max=100.0)] = 0.0,
) -> None:
    """Make a deployment's calls at a fixed rate and print what became of them."""
    classes = tuple(
        call_class
        for call_class in load_deployment(deployment).calls
        if service in ("", call_class.service)
    )
    arrivals = ArrivalSettings(rate, seed, abandon_percent)
    settings = LoadSettings(tuple(target), classes, arrivals)
    summary = summarise(trio.run(run_for, settings, duration))
    for fate in Fate:
        typer.echo(f"{fate.value:12} {summary.count(fate):8}")
    times = summary.answered_times
    typer.echo(
        f"answer time  p50 {times.p50 * MILLISECONDS:.2f} ms, p99 {times.p99 * MILLISECONDS:.2f} "
        f"ms, max {times.largest * MILLISECONDS:.2f} ms (seed {seed})"
    )
