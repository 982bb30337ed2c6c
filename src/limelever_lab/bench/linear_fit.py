"""A straight line through measurements, with the standard error of its slope."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

FEWEST_FOR_ERROR = 3


@dataclass(frozen=True, slots=True)
class LinearFit:
    """``value = intercept + slope * size``; the error is of the slope, ``None`` for two points."""

    quantity: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    slope_error: float | None
    intercept: float

    def at(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.intercept + self.slope * size


def fit(quantity: str, unit: str, sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Fit by least squares; raises ``statistics.StatisticsError`` for fewer than two sizes."""
    line = statistics.linear_regression(sizes, values)
    return LinearFit(
        quantity=quantity,
        unit=unit,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=line.slope,
        slope_error=_slope_error(sizes, values, line.slope, line.intercept),
        intercept=line.intercept,
    )


def _slope_error(
    sizes: Sequence[float], values: Sequence[float], slope: float, intercept: float
) -> float | None:
    if len(sizes) < FEWEST_FOR_ERROR:
        return None
    pairs = list(zip(sizes, values, strict=True))
    residual = sum((value - intercept - slope * size) ** 2 for size, value in pairs)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    return math.sqrt(residual / (len(sizes) - 2) / spread)
