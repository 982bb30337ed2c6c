"""Handles messages from agents and matches them to attempts.

An answer is accepted only if its connection, stream and attempt identifier are those of a call's
current attempt. Others are late, belong to another attempt or to an older connection, and are
dropped.
"""

from __future__ import annotations

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.http_headers import end_to_end
from limelever.common.http_messages import FINAL_STATUSES
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
from limelever.proxy.call_messages import next_body_chunks
from limelever.proxy.call_state import Attempt, AttemptEnded, Call, CallTable
from limelever.proxy.health import Verdict

_MILLISECONDS = 1000
_ENDPOINT_FAILURE_KINDS = frozenset(
    {
        ErrorKind.BACKEND_CRASHED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.CONNECTION_FAILED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.INTERNAL,
    }
)


class AgentMessageHandler:
    """Applies the messages of agents to the attempts in flight."""

    def __init__(
        self,
        calls: CallTable,
        completer: AttemptCompleter,
        assembly: AnswerAssembly,
        outputs: list[Output],
    ) -> None:
        self._calls = calls
        self._completer = completer
        self._assembly = assembly
        self._outputs = outputs

    def handle(self, connection: ConnectionId, message: Message, now: float) -> AttemptEnded | None:
        """Handle a message from an agent; return the attempt's result if the message ends it."""
        if isinstance(message, CallCredit):
            self._handle_credit(connection, message)
            return None
        if not isinstance(message, ResponseStart | ResponseBody | CallFailed):
            return None
        call = self._calls.by_stream(connection, message.stream)
        if call is None or call.attempt is None or _is_mismatched(message, call.attempt):
            self._outputs.append(LogEvent(events.LATE_ANSWER_DROPPED, {"stream": message.stream}))
            return None
        if isinstance(message, ResponseBody):
            return self._handle_body(call, call.attempt, message, now)
        if message.HasField("load"):
            self._completer.record_load(call, call.attempt, message.load, now)
        if isinstance(message, CallFailed):
            return self._handle_failure(call, call.attempt, message, now)
        if message.status not in FINAL_STATUSES:
            failure = Failure(ErrorKind.BACKEND_FAILED, f"agent sent the status {message.status}")
            return self._abort(call, call.attempt, failure, now)
        return self._handle_start(call, call.attempt, message, now)

    def _handle_start(
        self, call: Call, attempt: Attempt, message: ResponseStart, now: float
    ) -> AttemptEnded | None:
        attempt.status = message.status
        attempt.headers = end_to_end((h.name, h.value) for h in message.headers)
        if not message.end:
            failure = self._assembly.begin(attempt, message.body_bytes)
            if failure is not None:
                return self._abort(call, attempt, failure, now)
        return self._add_body(call, attempt, message.body, message.end, now)

    def _handle_body(
        self, call: Call, attempt: Attempt, message: ResponseBody, now: float
    ) -> AttemptEnded | None:
        ended = self._add_body(call, attempt, message.data, message.end, now)
        if ended is None:
            attempt.owed_credit += len(message.data)
            self._give_credit(attempt)
        return ended

    def resume_answers(self, now: float) -> None:
        """Give agents credit for the answers that are reserved now."""
        for attempt in self._assembly.take_startable(now):
            self._give_credit(attempt)

    def next_deadline(self) -> float | None:
        """Return when :meth:`resume_answers` is due (seconds, monotonic), or ``None``."""
        return self._assembly.next_deadline()

    def _give_credit(self, attempt: Attempt) -> None:
        if attempt.owed_credit and self._assembly.may_continue(attempt):
            credit = CallCredit(stream=attempt.stream, bytes=attempt.owed_credit)
            attempt.owed_credit = 0
            self._outputs.append(SendMessage(attempt.connection, credit))

    def _abort(self, call: Call, attempt: Attempt, failure: Failure, now: float) -> AttemptEnded:
        self._outputs.append(SendMessage(attempt.connection, CallCancel(stream=attempt.stream)))
        return self._completer.fail(call, failure.kind, failure.reason, now)

    def _handle_credit(self, connection: ConnectionId, message: CallCredit) -> None:
        call = self._calls.by_stream(connection, message.stream)
        if call is not None and call.attempt is not None:
            call.attempt.credit_bytes += message.bytes
            for chunk in next_body_chunks(call, call.attempt):
                self._outputs.append(SendMessage(connection, chunk))

    def _add_body(
        self, call: Call, attempt: Attempt, data: bytes, end: bool, now: float
    ) -> AttemptEnded | None:
        if end and not attempt.body.size:
            return self._completer.succeed(call, attempt, data, now)
        overflow = self._assembly.add(attempt, data)
        if overflow is not None:
            return self._abort(call, attempt, overflow, now)
        if not end:
            return None
        self._assembly.release(attempt)
        return self._completer.succeed(call, attempt, attempt.body.take(), now)

    def _handle_failure(
        self, call: Call, attempt: Attempt, message: CallFailed, now: float
    ) -> AttemptEnded:
        failure = Failure(
            _error_kind(message),
            message.reason,
            retry_after=message.retry_after_ms / _MILLISECONDS,
        )
        if failure.kind is ErrorKind.ZONE_DRAINED:
            call.refused_zones.add(attempt.entry.zone)
        if _is_gone(message, failure):
            self._completer.retire(attempt)
        if attempt.status and failure.outcome is Outcome.NOT_RUN:
            failure = Failure(ErrorKind.BACKEND_FAILED, f"answer aborted: {failure.reason}")
        verdict = Verdict.FAILED if failure.kind in _ENDPOINT_FAILURE_KINDS else Verdict.NEUTRAL
        if attempt.verdict_if_run is not None and failure.outcome is not Outcome.NOT_RUN:
            failure = Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
            verdict = attempt.verdict_if_run
        self._completer.close(call, attempt, verdict, now)
        return AttemptEnded(call, failure, message.crash, attempt.known_depth)


def _is_mismatched(message: ResponseStart | ResponseBody | CallFailed, attempt: Attempt) -> bool:
    if isinstance(message, ResponseBody):
        return not attempt.status
    if message.attempt_id != attempt.attempt_id:
        return True
    return isinstance(message, ResponseStart) and bool(attempt.status)


def _is_gone(message: CallFailed, failure: Failure) -> bool:
    """Return whether the agent takes no further calls; a stopping one may refuse just long ones."""
    if failure.kind is ErrorKind.DRAINING:
        return message.load.draining or not message.HasField("load")
    return failure.kind is ErrorKind.WRONG_INCARNATION


def _error_kind(message: CallFailed) -> ErrorKind:
    """Parse an error kind; an unknown one becomes ``INTERNAL``, whose outcome is unknown."""
    if message.zone_drained:
        return ErrorKind.ZONE_DRAINED
    if message.instance_limited:
        return ErrorKind.INSTANCE_LIMITED
    try:
        return ErrorKind(message.kind)
    except ValueError:
        return ErrorKind.INTERNAL
