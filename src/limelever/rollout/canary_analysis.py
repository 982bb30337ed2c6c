"""Canary analysis: compares the answers of a target version with those of the baseline version.

Routes are compared one by one and all together, as a version may fail or be slow on a single route.
An answer is bad if it is a failure or slower than the 99th percentile of the baseline.

The test is repeated as calls end. A version counts as bad once the Chernoff bound on the chance of
so many bad answers falls below the permitted error rate. (Wald, Sequential Analysis, 1947; Johari
et al., Always Valid Inference, 2015.)
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, auto

from msgspec import Struct

from limelever.rollout.tally import RouteSums, first_bucket_above

SLOW_QUANTILE = 0.99
"""Quantile of the baseline's durations above which an answer is slow."""

TOLERATED_BAD_FRACTION = 0.04
"""Fraction of bad answers tolerated beyond the baseline's; allows for differences in speed between
instances. Where speeds differ by a factor of 2.5, some 3 in 100 calls of the slowest exceed the
99th percentile of all."""

MIN_BAD_ANSWERS = 4
"""Bad answers required to find a version suspect or bad, as two or three may have a common
cause."""

MIN_BASELINE_ANSWERS = 30
"""Answers of a route at the baseline required to compare durations."""

BAD_THRESHOLD = math.log(1e6)
"""Negative log probability from which a version is bad; allows for repeated tests of many
routes."""

SUSPECT_THRESHOLD = math.log(100.0)
"""Negative log probability from which a version is suspect and not promoted at its deadline. To
promote a bad version costs more than to order a good one again."""

MIN_ANSWERS = 60
"""Answers of a version required to promote it. With three times the tolerated bad answers a version
is suspected after about as many."""


class Finding(Enum):
    """The assessment of a target version."""

    UNKNOWN = auto()
    """Too few calls have ended."""

    GOOD = auto()
    SUSPECT = auto()
    BAD = auto()


class Verdict(Struct, frozen=True):
    """A finding; ``reason`` states the counts that led to it."""

    finding: Finding
    reason: str


class _Counts(Struct):
    answers: int = 0
    bad: int = 0


def analyze(target: Mapping[str, RouteSums], baseline: Mapping[str, RouteSums]) -> Verdict:
    """Compare the sums of the target version with those of the baseline, by route."""
    target_total, baseline_total = _Counts(), _Counts()
    highest, reason = 0.0, "no route has more bad answers than the baseline's"
    for route, sums in target.items():
        baseline_sums = baseline.get(route, RouteSums())
        counts, baseline_counts = _counts(sums, baseline_sums)
        _add(target_total, counts)
        _add(baseline_total, baseline_counts)
        score = _score(counts, baseline_counts)
        if score > highest:
            highest, reason = score, _summary(f"route {route}", counts, baseline_counts)
    score = _score(target_total, baseline_total)
    if score > highest:
        highest, reason = score, _summary("all routes", target_total, baseline_total)
    if highest >= BAD_THRESHOLD:
        return Verdict(Finding.BAD, reason)
    if highest >= SUSPECT_THRESHOLD:
        return Verdict(Finding.SUSPECT, reason)
    if target_total.answers < MIN_ANSWERS:
        return Verdict(
            Finding.UNKNOWN, f"{target_total.answers} of {MIN_ANSWERS} required calls have ended"
        )
    return Verdict(Finding.GOOD, _summary("all routes", target_total, baseline_total))


def _counts(sums: RouteSums, baseline: RouteSums) -> tuple[_Counts, _Counts]:
    """Return the answers and bad answers of a route, at the target version and at the baseline."""
    bad, baseline_bad = sums.failures, baseline.failures
    if baseline.answers >= MIN_BASELINE_ANSWERS:
        first_slow = first_bucket_above(baseline.times, SLOW_QUANTILE)
        bad += sum(sums.times[first_slow:])
        baseline_bad += sum(baseline.times[first_slow:])
    return _Counts(sums.answers, bad), _Counts(baseline.answers, baseline_bad)


def _score(counts: _Counts, baseline: _Counts) -> float:
    """Return the negative log of the Chernoff bound on so many bad answers at a good version."""
    if counts.bad < MIN_BAD_ANSWERS:
        return 0.0
    tolerated = min(0.99, (baseline.bad + 1) / (baseline.answers + 2) + TOLERATED_BAD_FRACTION)
    fraction = counts.bad / counts.answers
    if fraction <= tolerated:
        return 0.0
    divergence = fraction * math.log(fraction / tolerated)
    if fraction < 1.0:
        divergence += (1.0 - fraction) * math.log((1.0 - fraction) / (1.0 - tolerated))
    return counts.answers * divergence


def _add(total: _Counts, counts: _Counts) -> None:
    total.answers += counts.answers
    total.bad += counts.bad


def _summary(where: str, counts: _Counts, baseline: _Counts) -> str:
    at_baseline = f"{baseline.bad} of {baseline.answers} at the baseline"
    return f"{where}: {counts.bad} of {counts.answers} answers were bad, {at_baseline}"
