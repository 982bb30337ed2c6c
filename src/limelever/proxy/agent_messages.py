"""Takes agents' messages and matches them to attempts.

An answer counts only when connection, stream and attempt identifier are those of a call's
current attempt. Everything else is late, crossed or of an older connection, and is dropped.
"""

from __future__ import annotations

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.http_headers import end_to_end
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.calls_pb2 import (
    CallCancel,
    CallCredit,
    CallFailed,
    ResponseBody,
    ResponseStart,
)
from limelever.proxy import events
from limelever.proxy.answer_assembly import AnswerAssembly
from limelever.proxy.attempt_completion import AttemptCompleter
from limelever.proxy.call_state import Attempt, AttemptEnded, Call, CallTable
from limelever.proxy.health import Verdict
from limelever.proxy.outgoing import next_parts

_MILLISECONDS = 1000
_FAILED_KINDS = frozenset(
    {
        ErrorKind.BACKEND_CRASHED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.CONNECTION_FAILED,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.INTERNAL,
    }
)


class AgentMessages:
    """What agents say of attempts."""

    def __init__(
        self,
        calls: CallTable,
        ends: AttemptCompleter,
        assembly: AnswerAssembly,
        outputs: list[Output],
    ) -> None:
        self._calls = calls
        self._ends = ends
        self._assembly = assembly
        self._outputs = outputs

    def received(
        self, connection: ConnectionId, message: Message, now: float
    ) -> AttemptEnded | None:
        """Take a message of an agent; return the end of an attempt if it brought one."""
        if isinstance(message, CallCredit):
            self._take_credit(connection, message)
            return None
        if not isinstance(message, ResponseStart | ResponseBody | CallFailed):
            return None
        call = self._calls.by_stream(connection, message.stream)
        if call is None or call.attempt is None or _crossed(message, call.attempt):
            self._outputs.append(LogEvent(events.LATE_ANSWER_DROPPED, {"stream": message.stream}))
            return None
        if isinstance(message, ResponseBody):
            return self._take_part(call, call.attempt, message, now)
        if message.HasField("load"):
            self._ends.record_load(call, call.attempt, message.load, now)
        if isinstance(message, CallFailed):
            return self._take_failure(call, call.attempt, message, now)
        call.attempt.status = message.status
        call.attempt.headers = end_to_end((h.name, h.value) for h in message.headers)
        return self._add_body(call, call.attempt, message.body, message.end, now)

    def _take_part(
        self, call: Call, attempt: Attempt, message: ResponseBody, now: float
    ) -> AttemptEnded | None:
        ended = self._add_body(call, attempt, message.data, message.end, now)
        if ended is None:
            credit = CallCredit(stream=message.stream, bytes=len(message.data))
            self._outputs.append(SendMessage(attempt.connection, credit))
        return ended

    def _take_credit(self, connection: ConnectionId, message: CallCredit) -> None:
        call = self._calls.by_stream(connection, message.stream)
        if call is not None and call.attempt is not None:
            call.attempt.credit_bytes += message.bytes
            for part in next_parts(call, call.attempt):
                self._outputs.append(SendMessage(connection, part))

    def _add_body(
        self, call: Call, attempt: Attempt, data: bytes, end: bool, now: float
    ) -> AttemptEnded | None:
        if end and not attempt.body:
            return self._ends.succeed(call, attempt, data, now)
        no_room = self._assembly.add(attempt, data)
        if no_room is not None:
            message = CallCancel(stream=attempt.stream)
            self._outputs.append(SendMessage(attempt.connection, message))
            return self._ends.fail(call, no_room.kind, no_room.reason, now)
        return self._ends.succeed(call, attempt, bytes(attempt.body), now) if end else None

    def _take_failure(
        self, call: Call, attempt: Attempt, message: CallFailed, now: float
    ) -> AttemptEnded:
        failure = Failure(
            _kind(message.kind), message.reason, retry_after=message.retry_after_ms / _MILLISECONDS
        )
        if failure.kind in (ErrorKind.DRAINING, ErrorKind.WRONG_INCARNATION):
            self._ends.retire(attempt)
        if attempt.status and failure.outcome is Outcome.NOT_RUN:
            failure = Failure(ErrorKind.BACKEND_FAILED, f"answer broken off: {failure.reason}")
        verdict = Verdict.FAILED if failure.kind in _FAILED_KINDS else Verdict.NEUTRAL
        if attempt.verdict_if_run is not None and failure.outcome is not Outcome.NOT_RUN:
            failure = Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
            verdict = attempt.verdict_if_run
        self._ends.close(call, attempt, verdict, now)
        return AttemptEnded(call, failure, message.crash, attempt.known_depth)


def _crossed(message: ResponseStart | ResponseBody | CallFailed, attempt: Attempt) -> bool:
    if isinstance(message, ResponseBody):
        return not attempt.status
    if message.attempt_id != attempt.attempt_id:
        return True
    return isinstance(message, ResponseStart) and bool(attempt.status)


def _kind(name: str) -> ErrorKind:
    """Return the kind an agent named; one not known here leaves the outcome unknown."""
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL
