"""The messages with which an agent answers a proxy's calls."""

from __future__ import annotations

from collections.abc import Sequence

from google.protobuf.message import Message

from limelever.agent.interface import AttemptAnswered, AttemptFailed
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.calls_pb2 import (
    AgentLoad,
    CallFailed,
    CallStart,
    Header,
    ResponseBody,
    ResponseStart,
)

RESPONSE_CHUNK_BYTES = 256 * 1024
"""Bodies up to this size travel within the first message."""

_MILLISECONDS = 1000


def call_failed(start: CallStart, failure: Failure, load: AgentLoad) -> CallFailed:
    """Return the refusal or failure of a call."""
    return CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=failure.kind.value,
        reason=failure.reason,
        retry_after_ms=round(failure.retry_after * _MILLISECONDS),
        load=load,
    )


def response(start: CallStart, answer: AttemptAnswered, load: AgentLoad) -> Sequence[Message]:
    """Return the messages that carry a back end's whole answer, in order."""
    body = memoryview(answer.body)
    whole = len(body) <= RESPONSE_CHUNK_BYTES
    first = ResponseStart(
        stream=start.stream,
        attempt_id=start.attempt_id,
        status=answer.status,
        headers=[Header(name=name, value=value) for name, value in answer.headers],
        body=bytes(body[:RESPONSE_CHUNK_BYTES]),
        end=whole,
        load=load,
    )
    messages: list[Message] = [first]
    for begin in range(RESPONSE_CHUNK_BYTES, len(body), RESPONSE_CHUNK_BYTES):
        end = begin + RESPONSE_CHUNK_BYTES
        chunk = bytes(body[begin:end])
        messages.append(ResponseBody(stream=start.stream, data=chunk, end=end >= len(body)))
    return messages


def attempt_failure(event: AttemptFailed) -> Failure:
    """Return the failure that says truly whether the attempt ran.

    No byte sent: NOT RUN, whatever went wrong. Otherwise nothing that claims NOT RUN may pass.
    """
    failure = event.failure
    if not event.sent_any_byte:
        if failure.outcome is Outcome.NOT_RUN:
            return failure
        return Failure(ErrorKind.CONNECTION_FAILED, failure.reason)
    if failure.outcome is Outcome.NOT_RUN:
        return Failure(ErrorKind.BACKEND_FAILED, failure.reason)
    return failure
