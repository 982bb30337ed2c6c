"""Which failed attempts may be followed by another one, and what a caller is told at the end."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.errors import ErrorKind, Failure, Outcome, RetryAdvice
from limelever.proxy.call_messages import INLINE_BODY_BYTES
from limelever.proxy.call_state import Call

DEFAULT_RETRY_AFTER = 1.0
"""Seconds a caller is asked to wait when the refusal named no time."""

REDIRECT_KINDS = frozenset(
    {ErrorKind.DRAINING, ErrorKind.WRONG_INCARNATION, ErrorKind.CONNECTION_FAILED}
)
"""The back end got no work: going elsewhere adds no load, so the retry budget is not asked."""

RETRY_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.SHARE_EXHAUSTED,
        ErrorKind.DEADLINE_TOO_SHORT,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.BACKEND_CRASHED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.BACKEND_REFUSED,
    }
)
"""Another endpoint may do better; each retry is paid from the route's budget."""

CHOICES_OF_HELD_BODIES = 3
"""Further endpoints that are asked for a call whose body waits to be asked for: each costs its head
alone, and which of them has room on its link is not known here. A choice."""

AGENT_REFUSALS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.SHARE_EXHAUSTED, ErrorKind.DEADLINE_TOO_SHORT}
)
"""An agent found no room; no back end heard of the call."""

_ADVICE_WITH_DELAY = frozenset(
    {RetryAdvice.AFTER_DELAY, RetryAdvice.ELSEWHERE, RetryAdvice.SAME_REQUEST_ID}
)


class NextStep(Enum):
    """What follows a failed attempt."""

    GIVE_UP = auto()
    REDIRECT = auto()
    RETRY_WITHIN_BUDGET = auto()
    SECOND_CHOICE = auto()
    ASK_ANOTHER = auto()


class RetrySettings(Struct, frozen=True):
    """Bounds for one call; a route may name its own ``attempts``.

    ``fleet_saved`` is the number of retries that all proxies together may have saved up for each
    service; 0 leaves every proxy its own small number. ``second_choice_percent`` of the fresh
    calls may be tried once more after an agent refused them before any back end had work of
    them; 0 has these paid like all other retries.
    """

    attempts: int = 3
    redirects: int = 3
    fleet_saved: int = 0
    second_choice_percent: int = 0


def next_step(call: Call, failure: Failure, settings: RetrySettings) -> NextStep:
    """Return what may follow a failed attempt; whether time and budget are left is asked later.

    A call that may not be repeated goes on only after an outcome of NOT RUN.
    """
    if call.caller_gone:
        return NextStep.GIVE_UP
    if not call.route.repeatable and failure.outcome is not Outcome.NOT_RUN:
        return NextStep.GIVE_UP
    if failure.kind in REDIRECT_KINDS and call.redirects < settings.redirects:
        return NextStep.REDIRECT
    if (
        settings.second_choice_percent
        and failure.kind in AGENT_REFUSALS
        and not call.backend_attempts
    ):
        return _after_refusal(call)
    attempts = call.route.attempts or settings.attempts
    if failure.kind in RETRY_KINDS and call.attempts - call.redirects < attempts:
        return NextStep.RETRY_WITHIN_BUDGET
    return NextStep.GIVE_UP


def _after_refusal(call: Call) -> NextStep:
    """Return what follows when an agent had no room: no back end heard of the call."""
    if len(call.request.body) > INLINE_BODY_BYTES:
        if call.alternates_tried < CHOICES_OF_HELD_BODIES:
            return NextStep.ASK_ANOTHER
        return NextStep.GIVE_UP
    return NextStep.GIVE_UP if call.alternates_tried else NextStep.SECOND_CHOICE


def final_failure(call: Call, failure: Failure) -> Failure:
    """Return what the caller is told: never NOT RUN when an earlier attempt may have run."""
    if call.may_have_run is not None and failure.outcome is Outcome.NOT_RUN:
        failure = call.may_have_run
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN and not call.route.at_most_once:
        failure = Failure(ErrorKind.BACKEND_FAILED, failure.reason)
    return with_retry_after(failure)


def with_retry_after(failure: Failure) -> Failure:
    """Return the failure with a delay wherever its kind advises one."""
    if failure.retry_after > 0 or failure.answer.advice not in _ADVICE_WITH_DELAY:
        return failure
    return replace(failure, retry_after=DEFAULT_RETRY_AFTER)
