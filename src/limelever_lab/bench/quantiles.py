"""Quantiles of durations, kept in an HDR histogram."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LONGEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000.0
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class Quantiles:
    """How long something took, in milliseconds; zeros when ``count`` is zero."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float

    @classmethod
    def of(cls, durations: Iterable[float]) -> Quantiles:
        """Return the quantiles of durations in seconds; negative ones count as nothing."""
        histogram = HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        for duration in durations:
            histogram.record_value(max(1, round(duration * MICROSECONDS)))
        return cls(
            count=histogram.get_total_count(),
            p50_ms=_milliseconds(histogram, 50.0),
            p99_ms=_milliseconds(histogram, 99.0),
            max_ms=_milliseconds(histogram, 100.0),
        )


def _milliseconds(histogram: HdrHistogram, percentile: float) -> float:
    if histogram.get_total_count() == 0:
        return 0.0
    return float(histogram.get_value_at_percentile(percentile)) / MILLISECONDS
