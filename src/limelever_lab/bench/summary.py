"""Prints a result in a few lines: ratios, lines through the sizes, and what was left out."""

from __future__ import annotations

from limelever_lab.bench.linear_fit import LinearFit
from limelever_lab.bench.results import BenchResult


def summarise_result(result: BenchResult) -> str:
    """Return a short text; the JSON holds everything."""
    settings = result.settings
    load = result.machine
    lines = [
        f"{result.experiment} on {settings.deployment}, seed {settings.seed}, "
        f"{result.seconds:.0f} s; load {load.before.one_minute} to {load.after.one_minute} "
        f"on {load.processors} processors"
    ]
    for ratio in result.ratios:
        lines.append(
            f"  {ratio.what}: {ratio.measured:.4g} / {ratio.baseline:.4g} = {ratio.value:.3g}"
        )
    lines += [_line_of(line) for line in getattr(result.details, "fits", ())]
    lines += [f"  LEFT OUT: {reason}" for reason in result.unfinished]
    return "\n".join(lines)


def _line_of(line: LinearFit) -> str:
    error = "" if line.slope_error is None else f" +- {line.slope_error:.2g}"
    return f"  {line.quantity}: {line.intercept:.4g} + {line.slope:.4g}{error} {line.unit} a size"
