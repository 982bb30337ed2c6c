"""Takes calls from proxies, gives them slots by fair shares and answers each exactly once.

A refusal that says NOT RUN is only ever sent for a call whose attempt was not handed to the
back end, and an attempt identifier that was seen before is never handed over again.

Bodies in parts: a proxy may send 256 KiB of ``CallBody`` on a stream at once and as much again
as ``CallCredit`` gives back. Answers are sent whole, bounded by the back end's client.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from google.protobuf.message import Message

from limelever.agent import answers, events
from limelever.agent.calls import Call, CallStage, CallTable, RecentAttempts
from limelever.agent.fair_queue import Eviction, FairQueue, QueueLimits
from limelever.agent.group_queue import QueuedCall
from limelever.agent.interface import AttemptAnswered, AttemptFailed, CancelAttempt, StartAttempt
from limelever.agent.start_checks import check_attempt, check_body, check_start
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.calls_pb2 import AgentLoad, CallBody, CallCredit, CallStart

_MILLISECONDS = 1000.0
_SHED_STATUS = 503


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Bounds of the call service; ``assembling_bytes`` is of bodies not yet whole."""

    queue: QueueLimits = QueueLimits()
    max_body_bytes: int = 4 * 1024 * 1024
    assembling_bytes: int = 8 * 1024 * 1024


class CallService:
    """Calls of all proxies at one incarnation of one instance; sans-io component."""

    def __init__(self, service: str, incarnation: int, limits: CallLimits) -> None:
        self._service = service
        self._incarnation = incarnation
        self._limits = limits
        self._max_body_bytes = limits.max_body_bytes
        self._calls = CallTable()
        self._recent = RecentAttempts()
        self._queue = FairQueue(limits.queue)
        self._assembling_bytes = 0
        self.draining = False

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Return the calls taken in and not yet started."""
        return self._queue.queued + len(self._calls.in_stage(CallStage.ASSEMBLING))

    def load(self) -> AgentLoad:
        """Return the load as sent with every answer."""
        return AgentLoad(
            in_flight=self.running,
            queued=self._queue.queued,
            slots=self._limits.queue.slots,
            draining=self.draining,
        )

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Take the groups' weights."""
        self._queue.set_weights(weights)

    def set_max_body(self, service_limit: int) -> None:
        """Take the service's own body limit in bytes; 0 leaves the process's limit."""
        own = self._limits.max_body_bytes
        self._max_body_bytes = min(own, service_limit) if service_limit else own

    # --- from proxies -----------------------------------------------------------------------

    def start(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float
    ) -> list[Output]:
        """Take a call in, or refuse it."""
        if start.agent_incarnation != self._incarnation:
            return self._wrong_incarnation(connection, peer, start)
        if self._recent.due(now):
            self._recent.rotate(now, self._calls.attempt_ids())
        if start.attempt_id in self._recent:
            return self._duplicate(connection, peer, start)
        failure = self._check(connection, start)
        if failure is not None:
            return [self._failed(connection, start, failure)]
        deadline = now + start.deadline_left_ms / _MILLISECONDS
        call = self._calls.add(connection, start, deadline)
        self._assembling_bytes += len(call.body)
        if start.end:
            return self._admit(call, now)
        return self._bound_body(call)

    def body(self, connection: ConnectionId, message: CallBody, now: float) -> list[Output]:
        """Take a part of a body; parts for unknown streams are late and dropped."""
        call = self._calls.by_stream(connection, message.stream)
        if call is None or call.stage is not CallStage.ASSEMBLING:
            return []
        call.body += message.data
        self._assembling_bytes += len(message.data)
        outputs = self._bound_body(call)
        if outputs:
            return outputs
        if message.end:
            return self._admit(call, now)
        credit = CallCredit(stream=message.stream, bytes=len(message.data))
        return [SendMessage(connection, credit)]

    def cancel(self, connection: ConnectionId, stream: int) -> list[Output]:
        """End a call that its proxy no longer wants; the proxy hears no more of it."""
        call = self._calls.by_stream(connection, stream)
        if call is None:
            return []
        if call.stage is not CallStage.RUNNING:
            self._withdraw(call)
            return []
        self._calls.settle(call)
        return [CancelAttempt(call.number)]

    def proxy_gone(self, connection: ConnectionId, peer: str) -> list[Output]:
        """Drop what the proxy has waiting; cancel what may be repeated, let the rest finish."""
        dropped = left_running = 0
        outputs: list[Output] = []
        for call in self._calls.of_connection(connection):
            if call.stage is not CallStage.RUNNING:
                self._withdraw(call)
                dropped += 1
                continue
            self._calls.settle(call)
            if call.repeatable:
                outputs.append(CancelAttempt(call.number))
            else:
                left_running += 1
        if not outputs and not dropped and not left_running:
            return []
        fields: dict[str, object] = {
            "peer": peer,
            "dropped": dropped,
            "cancelled": len(outputs),
            "left_running": left_running,
        }
        return [*outputs, LogEvent(events.ORPHANED_ATTEMPTS, fields)]

    # --- from the back end ------------------------------------------------------------------

    def answered(self, event: AttemptAnswered, now: float) -> list[Output]:
        """Pass the back end's answer on; a shed call's 503 is the back end's own answer."""
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        self._queue.finish(call.number, now, representative=event.status != _SHED_STATUS)
        messages: list[Message] = []
        if not call.settled:
            messages.extend(answers.response(call.start, event, self.load()))
        self._calls.remove(call)
        outputs: list[Output] = [SendMessage(call.connection, message) for message in messages]
        return [*outputs, *self.start_waiting(now)]

    def failed(self, event: AttemptFailed, now: float) -> list[Output]:
        """Answer a failed attempt with what is known about whether it ran."""
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        self._queue.finish(call.number, now, representative=False)
        outputs: list[Output] = []
        if not call.settled:
            failure = answers.attempt_failure(event)
            outputs.append(self._failed(call.connection, call.start, failure))
        self._calls.remove(call)
        return [*outputs, *self.start_waiting(now)]

    # --- time and drain ---------------------------------------------------------------------

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a call that waits."""
        deadlines = [call.deadline for call in self._calls.in_stage(CallStage.ASSEMBLING)]
        queued = self._queue.next_deadline()
        if queued is not None:
            deadlines.append(queued)
        return min(deadlines, default=None)

    def expire(self, now: float) -> list[Output]:
        """Refuse the calls whose deadline passed while they waited."""
        failure = Failure(ErrorKind.DEADLINE_TOO_SHORT, "the deadline passed in the queue")
        late = [self._calls.by_number(number) for number in self._queue.take_expired(now)]
        outputs = [output for call in late if call for output in self._refuse(call, failure)]
        for call in self._calls.in_stage(CallStage.ASSEMBLING):
            if call.deadline <= now:
                outputs.extend(self._refuse(call, failure))
        return outputs

    def refuse_waiting(self) -> list[Output]:
        """Give every call that has not started back to its proxy."""
        failure = Failure(ErrorKind.DRAINING, "the back end is leaving")
        waiting = (
            *self._calls.in_stage(CallStage.QUEUED),
            *self._calls.in_stage(CallStage.ASSEMBLING),
        )
        return [output for call in waiting for output in self._refuse(call, failure)]

    def cut_off(self) -> list[Output]:
        """Cancel every running attempt at the end of the drain limit."""
        failure = Failure(ErrorKind.BACKEND_FAILED, "cut off at the drain limit")
        outputs: list[Output] = []
        for call in self._calls.in_stage(CallStage.RUNNING):
            if not call.settled:
                outputs.append(self._failed(call.connection, call.start, failure))
                self._calls.settle(call)
            outputs.append(CancelAttempt(call.number))
        return outputs

    def start_waiting(self, now: float) -> list[Output]:
        """Hand calls to the back end while slots are free.

        The timer of a busy process fires late: a call past its deadline is refused here first.
        """
        outputs = self.expire(now)
        while (queued := self._queue.start_next(now)) is not None:
            call = self._calls.by_number(queued.call)
            assert call is not None
            call.stage = CallStage.RUNNING
            outputs.append(self._attempt(call, now))
        return outputs

    # --- parts ------------------------------------------------------------------------------

    def _check(self, connection: ConnectionId, start: CallStart) -> Failure | None:
        failure = check_attempt(start, self._recent)
        if failure is not None:
            return failure
        self._recent.add(start.attempt_id)
        if self.draining:
            return Failure(ErrorKind.DRAINING, "the back end is leaving")
        stream_in_use = self._calls.by_stream(connection, start.stream) is not None
        return check_start(start, self._service, stream_in_use, self._max_body_bytes)

    def _wrong_incarnation(
        self, connection: ConnectionId, peer: str, start: CallStart
    ) -> list[Output]:
        failure = Failure(ErrorKind.WRONG_INCARNATION, f"this is incarnation {self._incarnation}")
        fields: dict[str, object] = {"peer": peer, "incarnation": start.agent_incarnation}
        log = LogEvent(events.WRONG_INCARNATION, fields)
        return [self._failed(connection, start, failure), log]

    def _duplicate(self, connection: ConnectionId, peer: str, start: CallStart) -> list[Output]:
        log = LogEvent(events.DUPLICATE_ATTEMPT, {"peer": peer})
        current = self._calls.by_stream(connection, start.stream)
        if current is not None and current.start.attempt_id == start.attempt_id:
            return [log]
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, "this attempt arrived before")
        return [self._failed(connection, start, failure), log]

    def _bound_body(self, call: Call) -> list[Output]:
        failure = check_body(
            len(call.body),
            self._max_body_bytes,
            self._assembling_bytes,
            self._limits.assembling_bytes,
        )
        return [] if failure is None else self._refuse(call, failure)

    def _admit(self, call: Call, now: float) -> list[Output]:
        self._assembling_bytes -= len(call.body)
        queued = QueuedCall(call.number, call.start.group, call.deadline, len(call.body))
        offered = self._queue.offer(queued, now)
        if isinstance(offered, Failure):
            self._calls.remove(call)
            return [self._failed(call.connection, call.start, offered)]
        call.stage = CallStage.QUEUED
        return [*self._evicted(offered), *self.start_waiting(now)]

    def _evicted(self, evictions: tuple[Eviction, ...]) -> list[Output]:
        outputs: list[Output] = []
        for eviction in evictions:
            call = self._calls.by_number(eviction.call)
            if call is not None:
                outputs.extend(self._refuse(call, eviction.failure))
        return outputs

    def _refuse(self, call: Call, failure: Failure) -> list[Output]:
        self._withdraw(call)
        return [self._failed(call.connection, call.start, failure)]

    def _withdraw(self, call: Call) -> None:
        if call.stage is CallStage.ASSEMBLING:
            self._assembling_bytes -= len(call.body)
        else:
            self._queue.remove(call.number)
        self._calls.remove(call)

    def _failed(self, connection: ConnectionId, start: CallStart, failure: Failure) -> Output:
        return SendMessage(connection, answers.call_failed(start, failure, self.load()))

    def _attempt(self, call: Call, now: float) -> Output:
        start = call.start
        body = bytes(call.body)
        call.body.clear()
        return StartAttempt(
            attempt=call.number,
            service=start.service,
            method=start.method,
            target=start.target,
            headers=tuple((header.name, header.value) for header in start.headers),
            body=body,
            timeout=call.deadline - now,
        )
