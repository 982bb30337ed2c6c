"""The ``report`` command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.reports.drawings import draw_batching, draw_recovery, draw_shares
from limelever_lab.reports.kept_results import batch_curves, recovery_courses, share_phases
from limelever_lab.reports.target import target_table, work_out

NOTHING_STATUS = 1


def report(
    results: Annotated[Path, typer.Option(help="Folder of kept results.")] = Path("results"),
    plots: Annotated[
        Path | None, typer.Option(help="Folder of the drawings; RESULTS/plots.")
    ] = None,
) -> None:
    """Draw kept results as PNG files, and print the measured lines at the target's sizes."""
    drawn = draw_all(results, plots or results / "plots")
    for path in drawn:
        typer.echo(path)
    if rows := work_out(results):
        typer.echo(target_table(rows))
    if not drawn and not rows:
        typer.echo(f"no results in {results}", err=True)
        raise typer.Exit(NOTHING_STATUS)


def draw_all(results: Path, plots: Path) -> list[Path]:
    """Draw what there is and return the files."""
    drawn: list[Path] = []
    if curves := batch_curves(results):
        drawn.append(plots / "batching.png")
        draw_batching(curves, drawn[-1])
    for course in recovery_courses(results):
        drawn.append(plots / f"recovery-{course.deployment}.png")
        draw_recovery(course, drawn[-1])
    if phases := share_phases(results):
        drawn.append(plots / "shares.png")
        draw_shares(phases, drawn[-1])
    return drawn
