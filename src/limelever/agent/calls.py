"""The calls an agent has taken in and not yet ended, and the attempts it has seen before."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct, field
from msgspec.structs import asdict

from limelever.agent import events
from limelever.agent.group_queue import QueuedCall
from limelever.agent.interface import StartAttempt
from limelever.common.sansio import ConnectionId, LogEvent
from limelever.protocol.calls_pb2 import CallStart
from limelever.protocol.config_pb2 import CALL_KIND_REPEATABLE
from limelever.quarantine.crash_history import SuspectRequest
from limelever.quarantine.fingerprint import Fingerprint

ATTEMPT_GENERATION_SECONDS = 30.0
"""An attempt's identifier is remembered for one to two generations."""

ATTEMPTS_PER_GENERATION = 50_000
"""Bound of the memory for identifiers; past it, calls are refused rather than forgotten."""


class CallStage(Enum):
    """How far a call has come."""

    ASSEMBLING = auto()
    QUEUED = auto()
    RUNNING = auto()


class Call(Struct):
    """One call: ``settled`` once the proxy has its last message or is gone."""

    number: int
    connection: ConnectionId
    start: CallStart
    deadline: float
    body: bytearray = field(default_factory=bytearray)
    sent_body: bytes = b""
    stage: CallStage = CallStage.ASSEMBLING
    settled: bool = False
    target: float = math.inf
    arrived_at: float = 0.0
    started_at: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether the call may run more than once."""
        return bool(self.start.call_kind == CALL_KIND_REPEATABLE)

    def queued(self, now: float) -> QueuedCall:
        """Return the call as it waits for a slot from now on."""
        return QueuedCall(
            number=self.number,
            group=self.start.group,
            deadline=self.deadline,
            size=len(self.body),
            arrived_at=now,
            target=self.target,
            tenant=self.start.tenant,
        )

    def begin(self, now: float) -> StartAttempt:
        """Hand the call to the back end, which shares the body's bytes from now on."""
        self.stage = CallStage.RUNNING
        start, body = self.start, bytes(self.body)
        self.sent_body = body
        self.body.clear()
        return StartAttempt(
            attempt=self.number,
            service=start.service,
            method=start.method,
            target=start.target,
            headers=tuple((header.name, header.value) for header in start.headers),
            body=body,
            timeout=self.deadline - now,
            tenant=start.tenant,
        )

    def suspected(self) -> SuspectRequest:
        """Return what the request is known by, should the back end end under it."""
        start = self.start
        fingerprint = Fingerprint.of(start.service, start.method, start.target, self.sent_body)
        return SuspectRequest(fingerprint, start.known_depth)


class Orphaned(Struct, frozen=True):
    """What became of the calls of a proxy that is gone."""

    dropped: int
    cancelled: int
    left_running: int

    @property
    def any(self) -> bool:
        """Return whether the proxy had calls in flight."""
        return bool(self.dropped or self.cancelled or self.left_running)

    def log(self, peer: str) -> LogEvent:
        """Return the event to be logged."""
        return LogEvent(events.ORPHANED_ATTEMPTS, {"peer": peer, **asdict(self)})


class CallTable:
    """Calls by number and by link and stream."""

    def __init__(self) -> None:
        self._last_number = 0
        self._calls: dict[int, Call] = {}
        self._streams: dict[tuple[ConnectionId, int], int] = {}

    def add(
        self, connection: ConnectionId, start: CallStart, deadline: float, target: float = math.inf
    ) -> Call:
        """Take in a call whose stream is free."""
        self._last_number += 1
        kept = CallStart()
        kept.CopyFrom(start)
        kept.ClearField("body")
        call = Call(self._last_number, connection, kept, deadline, bytearray(start.body))
        call.target = target
        self._calls[call.number] = call
        self._streams[(connection, start.stream)] = call.number
        return call

    def by_number(self, number: int) -> Call | None:
        """Return the call with this number."""
        return self._calls.get(number)

    def by_stream(self, connection: ConnectionId, stream: int) -> Call | None:
        """Return the call that the proxy knows by this stream."""
        number = self._streams.get((connection, stream))
        return None if number is None else self._calls[number]

    def settle(self, call: Call) -> None:
        """Free the call's stream: the proxy hears no more of it."""
        call.settled = True
        self._streams.pop((call.connection, call.start.stream), None)

    def remove(self, call: Call) -> None:
        """Forget a call that has ended."""
        self.settle(call)
        self._calls.pop(call.number, None)

    def of_connection(self, connection: ConnectionId) -> tuple[Call, ...]:
        """Return the unsettled calls of a link."""
        calls = self._calls.values()
        return tuple(c for c in calls if c.connection == connection and not c.settled)

    def attempt_ids(self) -> list[bytes]:
        """Return the attempt identifiers of all calls."""
        return [call.start.attempt_id for call in self._calls.values()]

    def in_stage(self, stage: CallStage) -> tuple[Call, ...]:
        """Return the calls that have come this far."""
        return tuple(call for call in self._calls.values() if call.stage is stage)


class RecentAttempts:
    """Attempt identifiers seen within the last one to two generations."""

    def __init__(self) -> None:
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._rotate_at = 0.0

    def __contains__(self, attempt_id: bytes) -> bool:
        return attempt_id in self._current or attempt_id in self._previous

    @property
    def full(self) -> bool:
        """Return whether no further identifier can be remembered for now."""
        return len(self._current) >= ATTEMPTS_PER_GENERATION

    def due(self, now: float) -> bool:
        """Return whether the older generation is to be dropped."""
        return now >= self._rotate_at

    def rotate(self, now: float, in_flight: Iterable[bytes]) -> None:
        """Drop the older generation; attempts in flight stay remembered."""
        self._previous = self._current
        self._current = set(in_flight)
        self._rotate_at = now + ATTEMPT_GENERATION_SECONDS

    def add(self, attempt_id: bytes) -> None:
        """Remember an identifier."""
        self._current.add(attempt_id)
