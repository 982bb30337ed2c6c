"""The console command ``limelever-lab losses``."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.logs import Line, read_lines
from limelever_lab.losses.day import DayFigures, Ends
from limelever_lab.losses.steps import Step, losses_by_tenant, times
from limelever_lab.losses.steps import losses as count_losses

PLATFORM = Path(__file__).resolve().parents[3] / "platform"
SMALLEST_COST = 0.0005
"""Worth below which a price isn't shown: it would be printed as 0.000."""

MOST_LOSSES = 40
"""Rows of losses by window, the largest first."""

MOST_TENANTS = 20
"""Rows of tenants, those with most calls not served first."""

MOST_WINDOWS = 12
"""Windows shown, those with most requests not answered in time first."""


def losses(
    report: Annotated[Path, typer.Argument(help="Report of the day, as JSON.")],
    log: Annotated[Path | None, typer.Option(help="Log lines of the day's processes.")] = None,
    lead: Annotated[float, typer.Option(help="Seconds of the log before traffic began.")] = 0.0,
) -> None:
    """Print where the worth of a day was lost: by measure, kind, window, step and tenant."""
    _print_day(_reader()(report))
    if log is not None:
        _print_steps(log, lead)


def _reader() -> Callable[[Path], DayFigures]:
    """Return the reader of reports, which speaks the format of the platform's users."""
    sys.path.insert(0, str(PLATFORM))
    from day_report import read_day  # type: ignore[import-not-found, unused-ignore]

    reader: Callable[[Path], DayFigures] = read_day
    return reader


def _print_day(day: DayFigures) -> None:
    typer.echo(f"worth {day.worth:.3f}")
    lost = [(part.name, part.lost) for part in day.parts]
    lost += [(price.name, price.cost) for price in day.prices if price.cost >= SMALLEST_COST]
    for name, cost in sorted(lost, key=lambda each: -each[1]):
        typer.echo(f"  -{cost:.3f}  {name}")
    _print_ends("kind", day.by_kind)
    worst = sorted(day.by_window, key=lambda each: -each.missed)[:MOST_WINDOWS]
    _print_ends("from second", worst)


def _print_ends(heading: str, rows: Sequence[Ends]) -> None:
    typer.echo(f"\n{heading:<20} {'asked':>7} {'late':>6} {'refused':>8} {'failed':>7}")
    for each in rows:
        numbers = f"{each.asked:>7} {each.late:>6} {each.refused:>8} {each.failed:>7}"
        typer.echo(f"{each.name:<20} {numbers}")


def _print_steps(log: Path, lead: float) -> None:
    with log.open(errors="replace") as text:
        lines = list(read_lines(text))
    if not lines:
        raise typer.BadParameter(f"{log} holds no log lines")
    begin = min(line.at for line in lines) + lead
    typer.echo(f"\n{'from second':<12} {'route':<16} {'end':<14} {'step':<8} {'calls':>6}")
    for loss, calls in count_losses(lines, begin).most_common(MOST_LOSSES):
        place = f"{loss.second:<12} {loss.route:<16} {loss.end:<14} {loss.step.value:<8}"
        typer.echo(f"{place} {calls:>6}")
    _print_tenants(lines)
    _print_times(lines)


def _print_tenants(lines: Sequence[Line]) -> None:
    lost = losses_by_tenant(lines)
    if not lost:
        return
    typer.echo(f"\n{'tenant':<20} {'calls':>7} " + " ".join(f"{each.value:>7}" for each in Step))
    for tenant, steps in list(lost.items())[:MOST_TENANTS]:
        shown = " ".join(f"{steps[each]:>7}" for each in Step)
        typer.echo(f"{tenant:<20} {steps.total():>7} {shown}")


def _print_times(lines: Sequence[Line]) -> None:
    headings = ("calls", "total", "queue", "work", "nested", "path")
    typer.echo(f"\n{'mean ms by route':<16} " + " ".join(f"{each:>8}" for each in headings))
    for each in times(lines):
        values = (each.total, each.queue, each.work, each.nested, each.path)
        shown = " ".join(f"{value:>8.0f}" for value in values)
        typer.echo(f"{each.route:<16} {each.calls:>8} {shown}")
