"""The console command ``limelever-lab links``."""

from __future__ import annotations

from typing import Annotated

import typer

from limelever_lab.links.model import LinkLoad, LinkModel, LinkOutcome, Sending

PARTS_OF_LINK = (0.5, 0.8, 0.95)
ROW = "{:>8} {:<10} {:>10} {:>10} {:>10} {:>10} {:>10}"
HEADINGS = ("bodies", "sending", "short p50", "short p99", "body p50", "body p99", "under way")
_PERCENT = 100


def links(
    rate: Annotated[int, typer.Option(help="Bytes a second that the link takes.")] = 487_500,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and sizes.")] = 1,
) -> None:
    """Print how long short calls and bodies take on one link, in milliseconds."""
    typer.echo(ROW.format(*HEADINGS))
    for part in PARTS_OF_LINK:
        for sending in Sending:
            load = LinkLoad(rate=rate, used_by_bodies=part)
            outcome = LinkModel(load, sending, seed).run()
            typer.echo(_row(part, sending, outcome))


def _row(part: float, sending: Sending, outcome: LinkOutcome) -> str:
    return ROW.format(
        f"{part * _PERCENT:.0f} %",
        sending.name.lower(),
        f"{outcome.short.p50_ms:.1f}",
        f"{outcome.short.p99_ms:.1f}",
        f"{outcome.bodies.p50_ms:.0f}",
        f"{outcome.bodies.p99_ms:.0f}",
        outcome.bodies_unfinished,
    )
