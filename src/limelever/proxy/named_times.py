"""The times for which a route's callers say that they wait, and which of them are fresh callers'.

Load it answers: callers with a patience of their own each, somewhat apart, of whom many come back
after a refusal. No one time is usual, but fresh callers' times lie together above a gap: who comes
back was told to stay away for a while, and names so much less. Where there is no gap the times say
nothing, and none is taken for a returning caller's.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

STEPS = 20
"""Steps into which the times up to the longest are counted."""

GAP_STEPS = 2
"""Steps in a row with hardly a caller that make a gap; fresh callers' times alone show none."""

SPARSE_PART = 0.2
"""Part of the usual number of callers in a step below which it counts as left out."""

OUTLIER_PART = 0.01
"""Part of the callers whose times may lie above all others without counting as the longest."""


class FreshTimes(Struct, frozen=True):
    """What fresh callers name, in milliseconds: ``least`` and the ``mean``."""

    least: float
    mean: float


def fresh_times(counts: Counter[int], least_part: float) -> FreshTimes | None:
    """Return what the fresh ones among callers name, or ``None`` where nothing tells them apart.

    ``counts`` holds how many named each time in milliseconds; fresh callers are to be
    ``least_part`` of all.
    """
    total = sum(counts.values())
    longest = _longest(counts, total)
    if not longest:
        return None
    width = longest / STEPS
    steps = [0] * (STEPS + 1)
    for named, count in counts.items():
        steps[min(STEPS, int(named / width))] += count
    steps[STEPS - 1] += steps.pop()
    lowest = _lowest_before_gap(steps)
    if lowest is None or sum(steps[lowest:]) < total * least_part:
        return None
    return _of_band(counts, lowest * width)


def _longest(counts: Counter[int], total: int) -> int:
    """Return the longest time named, but for a few callers'."""
    above = 0
    for named in sorted(counts, reverse=True):
        above += counts[named]
        if above > total * OUTLIER_PART:
            return named
    return 0


def _lowest_before_gap(steps: list[int]) -> int | None:
    """Return the lowest step above the first gap from the top, ``None`` without a gap."""
    held = sparse = 0
    for index in range(len(steps) - 1, -1, -1):
        wide = len(steps) - index - sparse
        usual = (held + steps[index]) / wide
        sparse = sparse + 1 if steps[index] < usual * SPARSE_PART else 0
        held += steps[index]
        if sparse == GAP_STEPS:
            return index + GAP_STEPS
    return None


def _of_band(counts: Counter[int], least: float) -> FreshTimes:
    band = {named: count for named, count in counts.items() if named >= least}
    mean = sum(named * count for named, count in band.items()) / sum(band.values())
    return FreshTimes(least, mean)
