"""The console command ``limelever-lab timeline``."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.logs import read_lines
from limelever_lab.timeline.steps import Reached, largest_start, reached_after

ROW = "{:<26} {:>9} {:>8} {:>8} {:>8}"
HEADINGS = ("step", "processes", "first", "half", "9 in 10")


def timeline(
    log: Annotated[Path, typer.Argument(help="File with the log lines of all processes.")],
    after: Annotated[
        float | None,
        typer.Option(help="Seconds after the first line; else the second with most starts."),
    ] = None,
) -> None:
    """Print how long after a loss each step of the recovery was reached, in seconds."""
    with log.open() as text:
        lines = list(read_lines(text))
    if not lines:
        raise typer.BadParameter(f"{log} holds no log lines")
    begin = min(line.at for line in lines)
    loss = largest_start(lines) if after is None else begin + after
    typer.echo(f"after {loss - begin:.2f} s of the log")
    typer.echo(ROW.format(*HEADINGS))
    for reached in reached_after(lines, loss):
        typer.echo(_row(reached))


def _row(reached: Reached) -> str:
    return ROW.format(
        reached.step.name,
        reached.processes,
        f"{reached.first:.2f}",
        f"{reached.half:.2f}",
        f"{reached.most:.2f}",
    )
