"""The console command ``limelever-lab links``."""

from __future__ import annotations

from typing import Annotated

import typer

from limelever_lab.links.answer_model import AnswerLoad, AnswerModel, AnswerOutcome, Leaving
from limelever_lab.links.model import LinkLoad, LinkModel, LinkOutcome, Sending

PARTS_OF_LINK = (0.5, 0.8, 0.95)
ROW = "{:>8} {:<10} {:>10} {:>10} {:>10} {:>10} {:>10}"
HEADINGS = ("bodies", "sending", "short p50", "short p99", "body p50", "body p99", "under way")
PARTS_ASKED = (0.8, 0.95, 1.2)
ANSWER_HEADINGS = ("asked", "answers", "short p50", "short p99", "in target", "refused", "long p99")
_PERCENT = 100


def links(
    rate: Annotated[int, typer.Option(help="Bytes a second that the link takes.")] = 487_500,
    seed: Annotated[int, typer.Option(help="Seed of arrivals and sizes.")] = 1,
) -> None:
    """Print how long calls, bodies and answers take on one link, in milliseconds."""
    typer.echo(ROW.format(*HEADINGS))
    for part in PARTS_OF_LINK:
        for sending in Sending:
            load = LinkLoad(rate=rate, used_by_bodies=part)
            outcome = LinkModel(load, sending, seed).run()
            typer.echo(_row(part, sending, outcome))
    typer.echo(ROW.format(*ANSWER_HEADINGS))
    for part in PARTS_ASKED:
        for leaving in Leaving:
            asked = AnswerLoad(rate=rate, asked=part)
            typer.echo(_answer_row(part, leaving, AnswerModel(asked, leaving, seed).run()))


def _answer_row(part: float, leaving: Leaving, outcome: AnswerOutcome) -> str:
    return ROW.format(
        f"{part * _PERCENT:.0f} %",
        leaving.name.lower(),
        f"{outcome.short.p50_ms:.1f}",
        f"{outcome.short.p99_ms:.1f}",
        f"{outcome.in_target * _PERCENT:.1f} %",
        f"{outcome.refused * _PERCENT:.1f} %",
        f"{outcome.long.p99_ms:.0f}",
    )


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
