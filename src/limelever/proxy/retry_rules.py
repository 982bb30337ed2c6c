"""Decides what follows a failed attempt, and which failure the caller gets in the end."""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.errors import ErrorKind, Failure, Outcome, RetryAdvice
from limelever.proxy.call_messages import INLINE_BODY_BYTES
from limelever.proxy.call_state import Call
from limelever.proxy.region_spill import REFUSALS_BEFORE_LEAVING
from limelever.proxy.region_usage import Place

DEFAULT_RETRY_SECONDS = 1.0
"""Retry delay given to callers if the refusal names none."""

REDIRECT_KINDS = frozenset(
    {
        ErrorKind.DRAINING,
        ErrorKind.WRONG_INCARNATION,
        ErrorKind.CONNECTION_FAILED,
        ErrorKind.INSTANCE_LIMITED,
    }
)
"""Failures before the back end got any work: a redirect adds no load and costs no retry budget."""

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
"""Failures that another endpoint may avoid; each retry is paid from the service's budget."""

MAX_FURTHER_AGENTS_FOR_LARGE_BODY = 3
"""Further agents to try for a call whose body is sent only on the agent's request: each refusal
costs just the head of the call, and which agents have capacity on their link is not known here."""

AGENT_REFUSAL_KINDS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.SHARE_EXHAUSTED, ErrorKind.DEADLINE_TOO_SHORT}
)
"""Refusals by an agent without capacity; the call did not reach a back end."""

_ADVICE_WITH_DELAY = frozenset(
    {RetryAdvice.AFTER_DELAY, RetryAdvice.ELSEWHERE, RetryAdvice.SAME_REQUEST_ID}
)


class NextStep(Enum):
    """What follows a failed attempt.

    ``SECOND_CHOICE`` is one attempt at a second agent after a refusal, paid from the budget of
    ``second_choice_percent``. ``TRY_ANOTHER_AGENT`` is a further attempt that costs no budget.
    """

    GIVE_UP = auto()
    REDIRECT = auto()
    RETRY_WITHIN_BUDGET = auto()
    SECOND_CHOICE = auto()
    TRY_ANOTHER_AGENT = auto()


class RetrySettings(Struct, frozen=True):
    """Limits for each call; a route may override ``attempts``.

    ``fleet_saved_retries`` is how many retries per service all proxies together may save up; with 0
    each proxy has its own default. ``second_choice_percent`` is the percentage of calls that may be
    sent to a second agent after one refused them without involving a back end; with 0 such retries
    are paid from the normal budget.
    """

    attempts: int = 3
    redirects: int = 3
    fleet_saved_retries: int = 0
    second_choice_percent: int = 0


def next_step(call: Call, failure: Failure, settings: RetrySettings) -> NextStep:
    """Return what may follow a failed attempt; the caller checks remaining time and budget.

    A call that must not be repeated continues only after the outcome NOT RUN.
    """
    if call.caller_gone:
        return NextStep.GIVE_UP
    if not call.route.repeatable and failure.outcome is not Outcome.NOT_RUN:
        return NextStep.GIVE_UP
    if failure.kind is ErrorKind.ZONE_DRAINED:
        # Needs no limit: each such refusal leaves one zone fewer to choose from.
        return NextStep.REDIRECT
    if failure.kind in REDIRECT_KINDS and call.redirects < settings.redirects:
        return NextStep.REDIRECT
    if (
        settings.second_choice_percent
        and failure.kind in AGENT_REFUSAL_KINDS
        and not call.backend_attempts
    ):
        return _after_agent_refusal(call)
    attempts = call.route.attempts or settings.attempts
    if failure.kind in RETRY_KINDS and call.attempts - call.redirects < attempts:
        return NextStep.RETRY_WITHIN_BUDGET
    return NextStep.GIVE_UP


def _after_agent_refusal(call: Call) -> NextStep:
    """Return what follows a refusal by an agent without capacity."""
    if len(call.request.body) > INLINE_BODY_BYTES:
        if call.alternates_tried < MAX_FURTHER_AGENTS_FOR_LARGE_BODY:
            return NextStep.TRY_ANOTHER_AGENT
        return NextStep.GIVE_UP
    if call.alternates_tried and not _may_leave_region(call):
        return NextStep.GIVE_UP
    return NextStep.SECOND_CHOICE


def _may_leave_region(call: Call) -> bool:
    """Return whether agents of the region alone have refused the call, and others are left."""
    return (
        call.spans_regions
        and call.place is not Place.OTHER_REGION
        and call.alternates_tried < REFUSALS_BEFORE_LEAVING
    )


def final_failure(call: Call, failure: Failure) -> Failure:
    """Return what the caller is told: never NOT RUN if an earlier attempt may have run."""
    if call.may_have_run is not None and failure.outcome is Outcome.NOT_RUN:
        failure = call.may_have_run
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN and not call.route.at_most_once:
        failure = Failure(ErrorKind.BACKEND_FAILED, failure.reason)
    return with_retry_after(failure)


def with_retry_after(failure: Failure) -> Failure:
    """Return the failure with a retry delay if its kind advises one."""
    if failure.retry_after > 0 or failure.answer.advice not in _ADVICE_WITH_DELAY:
        return failure
    return replace(failure, retry_after=DEFAULT_RETRY_SECONDS)
