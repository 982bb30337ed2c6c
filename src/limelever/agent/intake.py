"""Takes calls in from proxies: checks each attempt and puts bodies in parts together."""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent import events
from limelever.agent.body_credit import BodyCredit, Grant
from limelever.agent.call_validation import (
    validate_attempt_id,
    validate_body_size,
    validate_call_start,
)
from limelever.agent.calls import Call, CallStage, CallTable, RecentAttempts
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent
from limelever.protocol.calls_pb2 import CallBody, CallStart

_MILLISECONDS = 1000.0


class Refusal(Struct, frozen=True):
    """Why a call is not taken in; without ``failure`` its proxy is to hear nothing."""

    failure: Failure | None
    log: LogEvent | None = None


class BodyLimits(Struct, frozen=True):
    """Bounds in bytes: of one body, of all not yet whole, and of the link in bytes a second.

    A ``link_rate`` of 0 stands for a rate that is not known.
    """

    one: int
    assembling: int
    link_rate: int = 0


class CallIntake:
    """Calls on their way in; those with their body not yet whole are its own."""

    def __init__(
        self, service: str, incarnation: int, limits: BodyLimits, calls: CallTable
    ) -> None:
        self._service = service
        self._incarnation = incarnation
        self._limits = limits
        self._max_body_bytes = limits.one
        self._calls = calls
        self._recent = RecentAttempts()
        self._assembling: dict[int, Call] = {}
        self._assembling_bytes = 0
        self._credit = BodyCredit(limits.link_rate)

    @property
    def assembling(self) -> tuple[Call, ...]:
        """Return the calls whose body is not yet whole."""
        return tuple(self._assembling.values())

    @property
    def count(self) -> int:
        """Return the number of calls whose body is not yet whole."""
        return len(self._assembling)

    def set_max_body(self, service_limit: int) -> None:
        """Take the service's own body limit in bytes; 0 leaves the process's limit."""
        own = self._limits.one
        self._max_body_bytes = min(own, service_limit) if service_limit else own

    def open(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float, draining: bool
    ) -> Call | Refusal:
        """Take the first message of a call, whole or not; a refusal is NOT RUN or a duplicate."""
        if start.agent_incarnation != self._incarnation:
            return self._wrong_incarnation(peer, start)
        if self._recent.due(now):
            self._recent.rotate(now, self._calls.attempt_ids())
        if start.attempt_id in self._recent:
            return self._duplicate(connection, peer, start)
        failure = self._check(connection, start, draining)
        if failure is not None:
            return Refusal(failure)
        deadline = now + start.deadline_left_ms / _MILLISECONDS
        wanted = start.target_left_ms / _MILLISECONDS
        target = now + wanted if wanted else math.inf
        call = self._calls.add(connection, start, deadline, target)
        call.arrived_at = now
        self._assembling[call.number] = call
        self._assembling_bytes += len(call.body)
        return call

    def add(self, call: Call, message: CallBody, now: float) -> Failure | None:
        """Take a part of a call's body; return why it finds no room."""
        call.body += message.data
        self._credit.arrived(call.number, len(message.data), now)
        self._assembling_bytes += len(message.data)
        return self.check_body(call)

    def check_body(self, call: Call) -> Failure | None:
        """Return why the body that a call has so far finds no room."""
        return validate_body_size(
            len(call.body),
            self._max_body_bytes,
            self._assembling_bytes,
            self._limits.assembling,
        )

    def close(self, call: Call) -> None:
        """Let go of a call: its body is whole, or it is refused or given up."""
        self._credit.remove(call.number)
        if self._assembling.pop(call.number, None) is not None:
            self._assembling_bytes -= len(call.body)

    def expected_time(self, start: CallStart) -> float:
        """Return how many seconds a body that is asked for now takes until it is here whole."""
        return self._credit.expected_time(start.body_bytes)

    def ask_for(self, call: Call) -> None:
        """Ask for a call's body in its turn; one of unknown size is asked for up to the limit."""
        size = call.start.body_bytes or self._max_body_bytes
        self._credit.add(call.number, size - len(call.body))

    def grants(self, now: float) -> list[Grant]:
        """Return which bodies may go on now, and by how much."""
        return self._credit.grants(now) if self._assembling else []

    def holds(self, call: Call) -> bool:
        """Return whether the call's body is not yet whole."""
        return call.stage is CallStage.ASSEMBLING

    def next_deadline(self) -> float | None:
        """Return when a body that is not yet whole must be looked at."""
        if not self._assembling:
            return None
        earliest = min(call.deadline for call in self._assembling.values())
        stalled = self._credit.next_deadline()
        return earliest if stalled is None else min(earliest, stalled)

    def expired(self, now: float) -> list[Call]:
        """Return the calls whose deadline passed before their body was whole."""
        return [call for call in self._assembling.values() if call.deadline <= now]

    def _check(self, connection: ConnectionId, start: CallStart, draining: bool) -> Failure | None:
        failure = validate_attempt_id(start, self._recent)
        if failure is not None:
            return failure
        self._recent.add(start.attempt_id)
        if draining:
            return Failure(ErrorKind.DRAINING, "the back end is leaving")
        stream_in_use = self._calls.by_stream(connection, start.stream) is not None
        return validate_call_start(start, self._service, stream_in_use, self._max_body_bytes)

    def _wrong_incarnation(self, peer: str, start: CallStart) -> Refusal:
        failure = Failure(ErrorKind.WRONG_INCARNATION, f"this is incarnation {self._incarnation}")
        fields: dict[str, object] = {"peer": peer, "incarnation": start.agent_incarnation}
        return Refusal(failure, LogEvent(events.WRONG_INCARNATION, fields))

    def _duplicate(self, connection: ConnectionId, peer: str, start: CallStart) -> Refusal:
        log = LogEvent(events.DUPLICATE_ATTEMPT, {"peer": peer})
        current = self._calls.by_stream(connection, start.stream)
        if current is not None and current.start.attempt_id == start.attempt_id:
            return Refusal(None, log)
        return Refusal(Failure(ErrorKind.OUTCOME_UNKNOWN, "this attempt arrived before"), log)
