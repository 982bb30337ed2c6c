"""Decides when a rollout advances, completes or rolls back.

A rollout first shifts a canary fraction of the calls, enough to give one back end of the
target version its usual load, since some defects only show under load. All calls are shifted as
late as the deadline allows, so that a version that turns bad late stays within its exposure limit.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.rollout.canary_analysis import Finding, Verdict

ALL_PERMILLE = 1000
"""All calls, in permille."""

MIN_CANARY_PERMILLE = 25
"""Least fraction of the calls in the canary step, in permille; on a busy service some tens of calls
a second."""

CANARY_EXPOSURE_FRACTION = 0.5
"""Fraction of the exposure limit that the canary step may use; the rest is for the last step, in
which all calls go to the target version."""

USED_EXPOSURE_FRACTION = 0.85
"""Fraction of the exposure limit that is planned for; the rest covers calls in flight and changes
that take effect late."""

MAX_LAST_STEP = 2.0
"""Seconds for which all calls go to the target version before the rollout ends, at most."""

MIN_LAST_STEP = 0.25
"""Seconds for which all calls go to the target version at least, so that the change takes effect
everywhere before the back ends of the baseline may stop."""

DEADLINE_MARGIN = 0.25
"""Seconds before the deadline at which the end is decided, to commit and publish it in time."""


class ExposureLimit(Struct, frozen=True):
    """At most ``fraction`` of a service's calls during a rollout may go to a version found bad."""

    fraction: float = 0.1


class RolloutProgress(Struct, frozen=True):
    """A running rollout; times in seconds, ``elapsed`` since it was ordered.

    ``baseline_ready`` and ``target_ready`` count the back ends that are ready for calls.
    """

    permille: int
    elapsed: float
    duration: float
    baseline_ready: int
    target_ready: int


class Advance(Struct, frozen=True):
    """Shift this fraction of the calls to the target version."""

    permille: int


class Finish(Struct, frozen=True):
    """End the rollout: completed or rolled back."""

    completed: bool
    reason: str


class Wait(Struct, frozen=True):
    """Change nothing for now."""


Decision = Advance | Finish | Wait


def canary_permille(baseline_ready: int, limit: ExposureLimit) -> int:
    """Return the permille of calls that gives one back end of the target version its usual load."""
    equal_share = ALL_PERMILLE // max(1, baseline_ready)
    max_permille = int(limit.fraction * CANARY_EXPOSURE_FRACTION * ALL_PERMILLE)
    return max(1, min(max(equal_share, MIN_CANARY_PERMILLE), max_permille))


def last_step_duration(duration: float, permille: int, limit: ExposureLimit) -> float:
    """Return the seconds for which all calls may go to the target version in the last step.

    Within the exposure limit, but at least ``MIN_LAST_STEP``.
    """
    fraction = permille / ALL_PERMILLE
    remaining = (limit.fraction * USED_EXPOSURE_FRACTION - fraction) * duration / (1.0 - fraction)
    return min(MAX_LAST_STEP, max(MIN_LAST_STEP, remaining))


def decide(progress: RolloutProgress, verdict: Verdict, limit: ExposureLimit) -> Decision:
    """Return what to do next with a rollout."""
    if verdict.finding is Finding.BAD:
        return Finish(False, verdict.reason)
    if progress.permille >= ALL_PERMILLE:
        return _decide_at_last_step(progress, verdict)
    if not progress.permille:
        if not progress.target_ready:
            return _roll_back_at_deadline(progress, "no back end of the target version is ready")
        return Advance(canary_permille(progress.baseline_ready, limit))
    reserved = last_step_duration(progress.duration, progress.permille, limit) + DEADLINE_MARGIN
    if progress.elapsed < progress.duration - reserved:
        return Wait()
    if verdict.finding is Finding.GOOD:
        return Advance(ALL_PERMILLE)
    return Finish(False, f"not found good by its deadline: {verdict.reason}")


def _decide_at_last_step(progress: RolloutProgress, verdict: Verdict) -> Decision:
    if verdict.finding is Finding.SUSPECT:
        return Finish(False, verdict.reason)
    if progress.elapsed < progress.duration - DEADLINE_MARGIN:
        return Wait()
    return Finish(True, verdict.reason)


def _roll_back_at_deadline(progress: RolloutProgress, reason: str) -> Decision:
    if progress.elapsed < progress.duration - DEADLINE_MARGIN:
        return Wait()
    return Finish(False, reason)
