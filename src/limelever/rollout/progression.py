"""When a rollout goes on and when it ends.

The whole of the calls is moved as late as the deadline allows: a version may turn bad only after
some time, and what it got until then, together with what it gets while its badness is found, must
stay within the part that may be exposed. Until then a few back ends of it have the usual load of
one, since a version may be bad under load alone.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.rollout.canary_analysis import Finding, Verdict

WHOLE = 1000
"""Calls in a thousand."""

LEAST_PERMILLE = 25
"""Smallest part that a version gets at first: on a busy service some tens of calls a second."""

CANARY_PART_OF_LIMIT = 0.5
"""Of the part that may be exposed, what the first step may use; the rest is for the last one."""

USED_PART_OF_LIMIT = 0.85
"""The rest is for calls that are on their way, and for changes that arrive late."""

LONGEST_LAST_STEP = 2.0
"""Seconds that all calls go to the version before the former one may stop: what runs there ends."""

LEAST_LAST_STEP = 0.25
"""Seconds for a change to be in force everywhere before the former version may stop."""

TOLD_BEFORE_DEADLINE = 0.25
"""Seconds before the deadline at which the end is told: a commit and a poll come after it."""


class Limits(Struct, frozen=True):
    """``exposed_part`` of a service's calls may go to a version that turns out bad."""

    exposed_part: float = 0.1


class Running(Struct, frozen=True):
    """A rollout that runs; times in seconds, ``elapsed`` since the order.

    ``baseline_ready`` and ``target_ready`` count the back ends that take work.
    """

    permille: int
    elapsed: float
    duration: float
    baseline_ready: int
    target_ready: int


class GoOn(Struct, frozen=True):
    """The version gets this part of the calls from now on."""

    permille: int


class End(Struct, frozen=True):
    """The rollout is over."""

    completed: bool
    reason: str


class Wait(Struct, frozen=True):
    """Nothing changes now."""


Decision = GoOn | End | Wait


def first_permille(baseline_ready: int, limits: Limits) -> int:
    """Return the part of the calls that gives one back end of a version the usual load."""
    usual = WHOLE // max(1, baseline_ready)
    most = int(limits.exposed_part * CANARY_PART_OF_LIMIT * WHOLE)
    return max(1, min(max(usual, LEAST_PERMILLE), most))


def last_step(duration: float, permille: int, limits: Limits) -> float:
    """Return for how many seconds all calls may go to a version that is bad after all."""
    part = permille / WHOLE
    left = (limits.exposed_part * USED_PART_OF_LIMIT - part) * duration / (1.0 - part)
    return min(LONGEST_LAST_STEP, max(LEAST_LAST_STEP, left))


def decide(running: Running, verdict: Verdict, limits: Limits) -> Decision:
    """Return what is to be done with a rollout now."""
    if verdict.finding is Finding.BAD:
        return End(False, verdict.reason)
    if running.permille >= WHOLE:
        return _decide_at_last_step(running, verdict)
    if not running.permille:
        if not running.target_ready:
            return _decide_at_deadline(running, "no back end of the version takes work")
        return GoOn(first_permille(running.baseline_ready, limits))
    window = last_step(running.duration, running.permille, limits) + TOLD_BEFORE_DEADLINE
    if running.elapsed < running.duration - window:
        return Wait()
    if verdict.finding is Finding.GOOD:
        return GoOn(WHOLE)
    return End(False, f"not proved good by its deadline: {verdict.reason}")


def _decide_at_last_step(running: Running, verdict: Verdict) -> Decision:
    if verdict.finding is Finding.SUSPECT:
        return End(False, verdict.reason)
    if running.elapsed < running.duration - TOLD_BEFORE_DEADLINE:
        return Wait()
    return End(True, verdict.reason)


def _decide_at_deadline(running: Running, reason: str) -> Decision:
    if running.elapsed < running.duration - TOLD_BEFORE_DEADLINE:
        return Wait()
    return End(False, reason)
