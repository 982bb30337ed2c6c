"""Draws kept results with matplotlib; the same results give the same bytes.

PNG and without metadata: an SVG names the hosts of its namespaces and of the library.
"""

from __future__ import annotations

import textwrap
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from limelever_lab.reports.kept_results import BatchCurve, RecoveryCourse, SharePhase

WIDTH_INCHES = 8.0
HEIGHT_INCHES = 4.5
PHASE_HEIGHT_INCHES = 0.7
BAR_HEIGHT = 0.4
LEGEND_CHARACTERS = 100
DOTS_PER_INCH = 80


def draw_batching(curves: Sequence[BatchCurve], path: Path) -> None:
    """Draw convergence against control bytes, a point for each batch delay."""
    figure, axes = _axes(HEIGHT_INCHES)
    for curve in curves:
        own = curve.own_batch_delay_ms
        sizes = [point.bytes_per_change for point in curve.points]
        times = [point.p50_ms for point in curve.points]
        axes.plot(sizes, times, marker="o", label=f"{curve.deployment} (its own: {own} ms)")
        for point in curve.points:
            place = (point.bytes_per_change, point.p50_ms)
            axes.annotate(f" {point.batch_delay_ms} ms", place, fontsize="small")
    axes.set_xlabel("control bytes a reader and change")
    axes.set_ylabel("accepted to in force, p50 [ms]")
    axes.set_yscale("log")
    axes.set_title("Convergence against control bytes over batch_delay")
    axes.legend()
    _save(figure, path)


def draw_recovery(course: RecoveryCourse, path: Path) -> None:
    """Draw how long each write took to be answered and to be in force, with what was broken."""
    figure, axes = _axes(HEIGHT_INCHES)
    starts = [write.at for write in course.writes]
    axes.plot(starts, [write.answered_ms for write in course.writes], ".", label="write answered")
    everywhere = [write for write in course.writes if write.in_force_ms is not None]
    axes.plot(
        [write.at for write in everywhere],
        [write.in_force_ms for write in everywhere],
        "x",
        markersize=3,
        label="accepted to in force on the last reader",
    )
    for number, moment in enumerate(course.moments, start=1):
        axes.axvline(moment.at, linewidth=0.7, color="gray")
        axes.annotate(f"{number}", (moment.at, 1), xycoords=("data", "axes fraction"))
    legend = "; ".join(f"{n} {moment.what}" for n, moment in enumerate(course.moments, start=1))
    axes.set_xlabel(textwrap.fill(f"seconds. {legend}", LEGEND_CHARACTERS), fontsize="small")
    axes.set_ylabel("ms")
    axes.set_yscale("log")
    axes.set_title(f"Recovery of the source, {course.deployment}", pad=16)
    axes.legend()
    _save(figure, path)


def draw_shares(phases: Sequence[SharePhase], path: Path) -> None:
    """Draw for each phase and group the part served beside the part it had a right to."""
    bars = [(phase, group) for phase in phases for group in phase.groups]
    figure, axes = _axes(HEIGHT_INCHES + PHASE_HEIGHT_INCHES * len(phases))
    rows = range(len(bars))
    served = [group.served_part for _, group in bars]
    entitled = [group.entitled_part for _, group in bars]
    axes.barh([row - BAR_HEIGHT / 2 for row in rows], served, BAR_HEIGHT, label="served")
    axes.barh([row + BAR_HEIGHT / 2 for row in rows], entitled, BAR_HEIGHT, label="right to")
    axes.set_yticks(rows, [f"{phase.name}: {group.group}" for phase, group in bars])
    axes.tick_params(axis="y", labelsize="x-small")
    axes.invert_yaxis()
    axes.set_xlabel("part of the calls served")
    axes.set_title("Shares against weights")
    axes.legend()
    _save(figure, path)


def _axes(height: float) -> tuple[Figure, Any]:
    figure = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
    return figure, figure.add_subplot()


def _save(figure: Figure, path: Path) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
