"""Tells first requests from retries by the timeouts that the callers of a route send.

Callers that retry after a refusal have already waited and send a shorter remaining timeout. When
many do, the timeouts of first requests form a cluster above a gap in the distribution. Without a
gap, first requests and retries cannot be told apart.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

STEPS = 20
"""Number of equal histogram steps up to the longest timeout."""

GAP_STEPS = 2
"""Number of consecutive sparse steps that form a gap. The timeouts of new callers alone show no
gap."""

SPARSE_FRACTION = 0.2
"""Fraction of the average count of the steps above, below which a step is sparse."""

OUTLIER_FRACTION = 0.01
"""Fraction of callers with the largest timeouts that are ignored as outliers."""


class FirstRequestTimeouts(Struct, frozen=True):
    """Minimum and mean timeout of first requests, in milliseconds."""

    minimum: float
    mean: float


def first_request_timeouts(
    counts: Counter[int], min_fraction: float
) -> FirstRequestTimeouts | None:
    """Return the timeouts of first requests, or ``None`` if they cannot be told from retries.

    ``counts`` maps timeouts in milliseconds to numbers of callers. At least ``min_fraction`` of
    all callers must lie above the gap.
    """
    total = sum(counts.values())
    longest = _longest_timeout(counts, total)
    if not longest:
        return None
    width = longest / STEPS
    steps = [0] * (STEPS + 1)
    for timeout, count in counts.items():
        steps[min(STEPS, int(timeout / width))] += count
    steps[STEPS - 1] += steps.pop()
    lowest = _lowest_above_gap(steps)
    if lowest is None or sum(steps[lowest:]) < total * min_fraction:
        return None
    return _timeouts_above(counts, lowest * width)


def _longest_timeout(counts: Counter[int], total: int) -> int:
    """Return the longest timeout without outliers, 0 if there is none."""
    above = 0
    for timeout in sorted(counts, reverse=True):
        above += counts[timeout]
        if above > total * OUTLIER_FRACTION:
            return timeout
    return 0


def _lowest_above_gap(steps: list[int]) -> int | None:
    """Return the lowest step above the topmost gap, or ``None`` without a gap."""
    counted = sparse = 0
    for index in range(len(steps) - 1, -1, -1):
        covered = len(steps) - index - sparse
        average = (counted + steps[index]) / covered
        sparse = sparse + 1 if steps[index] < average * SPARSE_FRACTION else 0
        counted += steps[index]
        if sparse == GAP_STEPS:
            return index + GAP_STEPS
    return None


def _timeouts_above(counts: Counter[int], minimum: float) -> FirstRequestTimeouts:
    band = {timeout: count for timeout, count in counts.items() if timeout >= minimum}
    mean = sum(timeout * count for timeout, count in band.items()) / sum(band.values())
    return FirstRequestTimeouts(minimum, mean)
