"""Receives calls from proxies: validates each attempt and assembles chunked request bodies."""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent import events, failures
from limelever.agent.body_credit import BodyCreditScheduler, Grant
from limelever.agent.call_validation import (
    validate_attempt_id,
    validate_body_size,
    validate_call_start,
)
from limelever.agent.calls import Call, CallStage, CallTable, RecentAttempts
from limelever.common.byte_budget import POLL_SECONDS, SMALL_BYTES, ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent
from limelever.protocol.calls_pb2 import CallBody, CallStart

_MILLISECONDS = 1000.0

LONGEST_WAIT_RATIO = 0.5
"""Part of a call's time for which its body may wait for the budget; the rest is for the call."""


class Rejection(Struct, frozen=True):
    """Why a call is rejected; without ``failure`` nothing is sent to its proxy."""

    failure: Failure | None
    log: LogEvent | None = None


class _WaitingBody(Struct):
    """A body that cannot be reserved yet; the call is refused at ``until``."""

    call: Call
    size: int
    until: float


class BodyLimits(Struct, frozen=True):
    """Limits of one and of all incomplete bodies in bytes; link rate in bytes per second.

    A ``link_rate`` of 0 means unknown.
    """

    max_body_bytes: int
    assembling_bytes: int
    link_rate: int = 0


class CallReceiver:
    """Validates new calls and holds them until their body is complete."""

    def __init__(
        self,
        service: str,
        incarnation: int,
        limits: BodyLimits,
        calls: CallTable,
        budget: ByteBudget,
    ) -> None:
        self._service = service
        self._incarnation = incarnation
        self._limits = limits
        self._max_body_bytes = limits.max_body_bytes
        self._calls = calls
        self._budget = budget
        self._waiting: dict[int, _WaitingBody] = {}
        self._polled_at = -math.inf
        self._recent = RecentAttempts()
        self._assembling: dict[int, Call] = {}
        self._assembling_bytes = 0
        self._credit = BodyCreditScheduler(limits.link_rate)

    @property
    def assembling(self) -> tuple[Call, ...]:
        """Return the calls whose body is incomplete."""
        return tuple(self._assembling.values())

    @property
    def count(self) -> int:
        """Return the number of calls whose body is incomplete."""
        return len(self._assembling)

    def set_max_body(self, service_limit: int) -> None:
        """Set the service's body limit in bytes; 0 applies only the process limit."""
        process_limit = self._limits.max_body_bytes
        self._max_body_bytes = min(process_limit, service_limit) if service_limit else process_limit

    def accept(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float, draining: bool
    ) -> Call | Rejection:
        """Handle the first message of a call; a rejected one was not run or is a duplicate."""
        if start.agent_incarnation != self._incarnation:
            return self._wrong_incarnation(peer, start)
        if self._recent.due(now):
            self._recent.rotate(now, self._calls.attempt_ids())
        if start.attempt_id in self._recent:
            return self._duplicate(connection, peer, start)
        failure = self._check(connection, start, draining)
        if failure is not None:
            return Rejection(failure)
        if not self._budget.take(Use.CALL, len(start.body)):
            return Rejection(failures.BUFFERS_FULL)
        deadline = now + start.deadline_left_ms / _MILLISECONDS
        target_left = start.target_left_ms / _MILLISECONDS
        target = now + target_left if target_left else math.inf
        call = self._calls.add(connection, start, deadline, target)
        call.arrived_at = now
        call.held_bytes = len(start.body)
        self._assembling[call.number] = call
        self._assembling_bytes += len(call.body)
        return call

    def add(self, call: Call, message: CallBody, now: float) -> Failure | None:
        """Append a part of a call's body; return a failure if it exceeds a limit."""
        unheld = len(call.body) + len(message.data) - call.held_bytes
        if unheld > 0:
            if not self._budget.take(Use.CALL, unheld, call.held_bytes):
                return failures.BUFFERS_FULL
            call.held_bytes += unheld
        call.body.append(message.data)
        if call.body_hash is not None:
            call.body_hash.update(message.data)
        if self._credit.holds(call.number):
            self._credit.received(call.number, len(message.data), now)
        self._assembling_bytes += len(message.data)
        return self.check_body(call)

    def check_body(self, call: Call) -> Failure | None:
        """Return a failure if the body received so far exceeds a limit."""
        return validate_body_size(
            len(call.body),
            self._max_body_bytes,
            self._assembling_bytes,
            self._limits.assembling_bytes,
        )

    def release(self, call: Call) -> None:
        """Remove a call whose body is complete, or that was rejected or cancelled."""
        self._credit.remove(call.number)
        self._waiting.pop(call.number, None)
        if self._assembling.pop(call.number, None) is not None:
            self._assembling_bytes -= len(call.body)

    def transfer_time(self, start: CallStart) -> float:
        """Return the estimated transfer time in seconds of a body that is requested now."""
        return self._credit.transfer_time(start.body_bytes)

    def request_body(self, call: Call, now: float) -> Failure | None:
        """Request a call's body, now or once the budget has room for it.

        An unknown size counts as the limit. Returns a failure if the body cannot wait: for more
        than half of the time that the call has, or behind as much as the budget holds.
        """
        size = call.start.body_bytes or self._max_body_bytes
        if size > SMALL_BYTES and not call.body.size:
            call.begin_hash()
        waiting = sum(each.size for each in self._waiting.values())
        overtakes = bool(self._waiting) and size > SMALL_BYTES
        if overtakes or not self._request(call, size):
            if not self._budget.can_wait(Use.CALL, size, waiting):
                return failures.BUFFERS_FULL
            self._budget.waits[Use.CALL] += 1
            until = now + (call.deadline - now) * LONGEST_WAIT_RATIO
            self._waiting[call.number] = _WaitingBody(call, size, until)
        return None

    def grants(self, now: float) -> list[Grant]:
        """Return the credit to grant for bodies now."""
        if not self._assembling:
            return []
        self._request_waiting(now)
        return self._credit.grants(now)

    def _request(self, call: Call, size: int) -> bool:
        """Request a body if the budget has room for it."""
        unheld = max(0, size - call.held_bytes)
        if not self._budget.take(Use.CALL, unheld, call.held_bytes):
            return False
        call.held_bytes += unheld
        self._credit.add(call.number, size - len(call.body))
        return True

    def _request_waiting(self, now: float) -> None:
        """Request the waiting bodies in their order, as far as they can be reserved."""
        self._polled_at = now
        for number, waiting in tuple(self._waiting.items()):
            if not self._request(waiting.call, waiting.size):
                return
            del self._waiting[number]

    def is_assembling(self, call: Call) -> bool:
        """Return whether the call's body is incomplete."""
        return call.stage is CallStage.ASSEMBLING

    def next_deadline(self) -> float | None:
        """Return the earliest deadline or stall timeout of an incomplete body."""
        if not self._assembling:
            return None
        earliest = min(call.deadline for call in self._assembling.values())
        if self._waiting:
            earliest = min(earliest, self._polled_at + POLL_SECONDS)
        stalled = self._credit.next_deadline()
        return earliest if stalled is None else min(earliest, stalled)

    def expired(self, now: float) -> list[Call]:
        """Return the calls whose deadline passed before their body was complete."""
        return [call for call in self._assembling.values() if call.deadline <= now]

    def starved(self, now: float) -> list[Call]:
        """Return the calls whose body has waited for too long, or can no longer be reserved."""
        return [
            each.call
            for each in self._waiting.values()
            if each.until <= now or not self._budget.can_wait(Use.CALL, each.size, 0)
        ]

    def _check(self, connection: ConnectionId, start: CallStart, draining: bool) -> Failure | None:
        failure = validate_attempt_id(start, self._recent)
        if failure is not None:
            return failure
        self._recent.add(start.attempt_id)
        if draining:
            return Failure(ErrorKind.DRAINING, "backend is draining")
        stream_in_use = self._calls.by_stream(connection, start.stream) is not None
        return validate_call_start(start, self._service, stream_in_use, self._max_body_bytes)

    def _wrong_incarnation(self, peer: str, start: CallStart) -> Rejection:
        failure = Failure(ErrorKind.WRONG_INCARNATION, f"agent has incarnation {self._incarnation}")
        fields: dict[str, object] = {"peer": peer, "incarnation": start.agent_incarnation}
        return Rejection(failure, LogEvent(events.WRONG_INCARNATION, fields))

    def _duplicate(self, connection: ConnectionId, peer: str, start: CallStart) -> Rejection:
        log = LogEvent(events.DUPLICATE_ATTEMPT, {"peer": peer})
        current = self._calls.by_stream(connection, start.stream)
        if current is not None and current.start.attempt_id == start.attempt_id:
            return Rejection(None, log)
        return Rejection(Failure(ErrorKind.OUTCOME_UNKNOWN, "attempt was received before"), log)
