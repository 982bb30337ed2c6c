"""The messages with which an agent answers a proxy's calls."""

from __future__ import annotations

from limelever.agent.interface import AttemptAnswered, AttemptFailed
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.calls_pb2 import (
    AgentLoad,
    CallFailed,
    CallStart,
    ResponseStart,
)

FIRST_PART_BYTES = 256 * 1024
"""Bodies up to this size travel within the first message."""

NO_CRASH = 0
"""In place of a crash's number: the back end's process goes on, or nothing is known of it."""

_MILLISECONDS = 1000


def call_failed(
    start: CallStart, failure: Failure, load: AgentLoad, crash: int = NO_CRASH
) -> CallFailed:
    """Return the refusal or failure of a call, and the crash that it may have caused."""
    return CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=failure.kind.value,
        reason=failure.reason,
        retry_after_ms=round(failure.retry_after * _MILLISECONDS),
        load=load,
        crash=crash,
    )


def first_part(
    start: CallStart,
    answer: AttemptAnswered,
    load: AgentLoad,
    part_bytes: int = FIRST_PART_BYTES,
) -> ResponseStart:
    """Return the first message of a back end's whole answer; a short one is within it."""
    message = ResponseStart(
        stream=start.stream,
        attempt_id=start.attempt_id,
        status=answer.status,
        body=answer.body[:part_bytes],
        end=len(answer.body) <= part_bytes,
        load=load,
    )
    for name, value in answer.headers:
        message.headers.add(name=name, value=value)
    return message


def attempt_failure(event: AttemptFailed) -> Failure:
    """Return the failure that says truly whether the attempt ran.

    The back end's own refusal is believed. No byte sent: NOT RUN, whatever went wrong. Otherwise
    nothing that claims NOT RUN may pass.
    """
    failure = event.failure
    if event.refused:
        return failure
    if not event.sent_any_byte:
        if failure.outcome is Outcome.NOT_RUN:
            return failure
        return Failure(ErrorKind.CONNECTION_FAILED, failure.reason)
    if failure.outcome is Outcome.NOT_RUN:
        return Failure(ErrorKind.BACKEND_FAILED, failure.reason)
    return failure
