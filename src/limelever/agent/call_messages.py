"""Builds the messages with which an agent answers calls, and classifies failed attempts."""

from __future__ import annotations

from limelever.agent.interface import AttemptAnswered, AttemptFailed
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.calls_pb2 import (
    AgentLoad,
    CallFailed,
    CallStart,
    ResponseStart,
)

MAX_INLINE_BODY_BYTES = 256 * 1024
"""Response bodies up to this size are sent within ``ResponseStart``."""

NO_CRASH = 0
"""Crash number of a failure that is not known to be caused by a crash."""

_MILLISECONDS_PER_SECOND = 1000


def call_failed(
    start: CallStart, failure: Failure, load: AgentLoad, crash: int = NO_CRASH
) -> CallFailed:
    """Return the message for a refused or failed call.

    ``crash`` is the number of the back end crash that ended the call, if any. A refusal by a zone
    drain or by the instance's limit is sent as ``OVERLOADED``, with a flag: older proxies don't
    know a kind of its own, and they retry this one elsewhere without giving up the endpoint or
    counting it as failed.
    """
    zone_drained = failure.kind is ErrorKind.ZONE_DRAINED
    instance_limited = failure.kind is ErrorKind.INSTANCE_LIMITED
    kind = ErrorKind.OVERLOADED if zone_drained or instance_limited else failure.kind
    return CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=kind.value,
        zone_drained=zone_drained,
        instance_limited=instance_limited,
        reason=failure.reason,
        retry_after_ms=round(failure.retry_after * _MILLISECONDS_PER_SECOND),
        load=load,
        crash=crash,
    )


def response_start(
    start: CallStart,
    response: AttemptAnswered,
    load: AgentLoad,
    body_bytes: int = MAX_INLINE_BODY_BYTES,
) -> ResponseStart:
    """Return the first message of a response, with at most ``body_bytes`` of its body."""
    size = len(response.body)
    message = ResponseStart(
        stream=start.stream,
        attempt_id=start.attempt_id,
        status=response.status,
        body=response.body[:body_bytes],
        end=size <= body_bytes,
        load=load,
        body_bytes=size if size > body_bytes else 0,
    )
    for name, value in response.headers:
        message.headers.add(name=name, value=value)
    return message


def attempt_failure(event: AttemptFailed) -> Failure:
    """Return the attempt's failure, corrected so that its outcome is accurate.

    A refusal by the back end itself is kept as it is. If no byte was sent, the outcome is NOT RUN
    whatever went wrong. Otherwise the outcome is never NOT RUN.
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
