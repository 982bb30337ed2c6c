"""Judges a version by the calls that its back ends and those of the baseline ended.

A version may fail a part of its calls or answer them several times more slowly, at once or later,
on all routes or on one. So each route is looked at by itself, and all of them together. An answer
is bad if it is a failure or takes longer than all but one in a hundred of the baseline's: cold or
slow machines and nested calls weigh on both versions alike.

The test may be repeated at each look: a part of bad answers above ``p`` is believed where the
Chernoff bound on as many by chance is below the rate of error. It needs few calls where the
difference is gross. (Wald, Sequential Analysis, 1947; Johari et al., Always Valid Inference, 2015,
on why a test of one look can't be repeated.)
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, auto

from msgspec import Struct

from limelever.rollout.tally import RouteSums, slow_from

SLOW_PART = 0.99
"""Part of the baseline's times that count as usual."""

TOLERATED_PART = 0.04
"""Bad answers beyond the baseline's own part that are let pass: of instances whose speeds differ by
a factor of two and a half, the slowest have some 3 in 100 beyond the mean's 99th."""

LEAST_BAD = 4
"""Bad answers before anything is concluded: two or three may share one cause."""

LEAST_BASELINE = 30
"""Calls of a route at the baseline before its times are compared."""

CONVICTED = math.log(1e6)
"""Certainty at which a version is bad: some hundred looks, at ten routes, and one wrong verdict in
a thousand rollouts."""

SUSPECTED = math.log(100.0)
"""Certainty at which a version is not moved on at its deadline: a bad one costs more there than a
good one that is ordered again."""

LEAST_ANSWERS = 60
"""Calls that a version must have ended before it is moved on; where three times as many are bad as
are let pass, it is suspected from about as many on."""


class Finding(Enum):
    """What is known of a version."""

    UNKNOWN = auto()
    """Too few calls have ended."""

    GOOD = auto()
    SUSPECT = auto()
    BAD = auto()


class Verdict(Struct, frozen=True):
    """A finding; ``reason`` tells the figures that led to it."""

    finding: Finding
    reason: str


class _Counts(Struct):
    answers: int = 0
    bad: int = 0


def judge(target: Mapping[str, RouteSums], baseline: Mapping[str, RouteSums]) -> Verdict:
    """Compare the sums of a version with those of the baseline, by route."""
    ours, theirs = _Counts(), _Counts()
    worst, reason = 0.0, "no route has more bad answers than the baseline's"
    for route, sums in target.items():
        usual = baseline.get(route, RouteSums())
        counts, expected = _counts(sums, usual)
        _add(ours, counts)
        _add(theirs, expected)
        certainty = _certainty(counts, expected)
        if certainty > worst:
            worst, reason = certainty, _told(f"route {route}", counts, expected)
    certainty = _certainty(ours, theirs)
    if certainty > worst:
        worst, reason = certainty, _told("all routes", ours, theirs)
    if worst >= CONVICTED:
        return Verdict(Finding.BAD, reason)
    if worst >= SUSPECTED:
        return Verdict(Finding.SUSPECT, reason)
    if ours.answers < LEAST_ANSWERS:
        return Verdict(Finding.UNKNOWN, f"{ours.answers} of {LEAST_ANSWERS} calls have ended")
    return Verdict(Finding.GOOD, _told("all routes", ours, theirs))


def _counts(sums: RouteSums, usual: RouteSums) -> tuple[_Counts, _Counts]:
    """Return the calls and bad ones of a route, at the version and at the baseline."""
    bad, expected = sums.failures, usual.failures
    if usual.answers >= LEAST_BASELINE:
        slow = slow_from(usual.times, SLOW_PART)
        bad += sum(sums.times[slow:])
        expected += sum(usual.times[slow:])
    return _Counts(sums.answers, bad), _Counts(usual.answers, expected)


def _certainty(counts: _Counts, expected: _Counts) -> float:
    """Return minus the logarithm of the chance of so many bad answers at a version that is good."""
    if counts.bad < LEAST_BAD:
        return 0.0
    tolerated = min(0.99, (expected.bad + 1) / (expected.answers + 2) + TOLERATED_PART)
    part = counts.bad / counts.answers
    if part <= tolerated:
        return 0.0
    divergence = part * math.log(part / tolerated)
    if part < 1.0:
        divergence += (1.0 - part) * math.log((1.0 - part) / (1.0 - tolerated))
    return counts.answers * divergence


def _add(total: _Counts, counts: _Counts) -> None:
    total.answers += counts.answers
    total.bad += counts.bad


def _told(where: str, counts: _Counts, expected: _Counts) -> str:
    usual = f"{expected.bad} of {expected.answers} at the baseline"
    return f"{where}: {counts.bad} of {counts.answers} answers were bad, {usual}"
