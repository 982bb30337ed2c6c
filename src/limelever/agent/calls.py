"""Table of the calls in progress, and deduplication of attempt identifiers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct, field
from msgspec.structs import asdict

from limelever.agent import events
from limelever.agent.failures import Cancellation
from limelever.agent.group_queue import QueuedCall
from limelever.agent.interface import StartAttempt
from limelever.common.body_buffer import BodyBuffer
from limelever.common.byte_budget import ByteBudget, Use
from limelever.common.sansio import ConnectionId, LogEvent
from limelever.protocol.calls_pb2 import CallStart
from limelever.protocol.config_pb2 import CALL_KIND_REPEATABLE
from limelever.quarantine.crash_history import SuspectRequest
from limelever.quarantine.fingerprint import Fingerprint, RequestHash, head_digest

ATTEMPT_GENERATION_SECONDS = 30.0
"""Length of a generation; attempt identifiers are remembered for one to two of them."""

ATTEMPTS_PER_GENERATION = 50_000
"""Once a generation holds this many identifiers, further calls are refused."""


class CallStage(Enum):
    """Progress of a call."""

    ASSEMBLING = auto()
    QUEUED = auto()
    RUNNING = auto()


class Call(Struct):
    """One call of a proxy; times are monotonic seconds.

    ``settled`` is set once the last message was sent to the proxy, or the proxy has disconnected.
    ``target`` is when the caller would like the response, ``deadline`` when it stops waiting.
    ``cancellation`` is set once a running attempt was cancelled, until that attempt has ended.
    ``held_bytes`` is what the process's budget holds for the body, before and after it arrives.
    ``body_hash`` stands for a large body, and ``sent_body`` is a small one, once the call runs.
    """

    number: int
    connection: ConnectionId
    start: CallStart
    deadline: float
    body: BodyBuffer = field(default_factory=BodyBuffer)
    held_bytes: int = 0
    body_hash: RequestHash | None = None
    sent_body: bytes = b""
    stage: CallStage = CallStage.ASSEMBLING
    settled: bool = False
    cancellation: Cancellation | None = None
    target: float = math.inf
    arrived_at: float = 0.0
    started_at: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be run more than once."""
        return bool(self.start.call_kind == CALL_KIND_REPEATABLE)

    def queue_entry(self, now: float) -> QueuedCall:
        """Return the queue entry of the call, which waits for a slot from ``now`` on."""
        return QueuedCall(
            number=self.number,
            group=self.start.group,
            deadline=self.deadline,
            size=len(self.body),
            arrived_at=now,
            target=self.target,
            tenant=self.start.tenant,
        )

    def start_attempt(self, now: float) -> StartAttempt:
        """Mark the call as running and return its attempt, which takes over the body."""
        self.stage = CallStage.RUNNING
        start, body = self.start, self.body.take()
        if self.body_hash is None:
            self.sent_body = body
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

    def begin_hash(self) -> None:
        """Compute the fingerprint as the body arrives, so that it need not be kept."""
        start = self.start
        self.body_hash = RequestHash(head_digest(start.service, start.method, start.target))

    def as_suspect(self) -> SuspectRequest:
        """Return the request's fingerprint, to be reported if the back end crashes."""
        start = self.start
        if self.body_hash is not None:
            fingerprint = self.body_hash.fingerprint
        else:
            fingerprint = Fingerprint.of(start.service, start.method, start.target, self.sent_body)
        return SuspectRequest(fingerprint, start.known_depth)


class OrphanedCalls(Struct, frozen=True):
    """What became of the calls of a disconnected proxy; the fields are logged."""

    dropped: int
    cancelled: int
    left_running: int

    @property
    def any(self) -> bool:
        """Return whether the proxy had calls in flight."""
        return bool(self.dropped or self.cancelled or self.left_running)

    def log(self, peer: str) -> LogEvent:
        """Return the log event."""
        return LogEvent(events.ORPHANED_ATTEMPTS, {"peer": peer, **asdict(self)})


class CallTable:
    """Calls indexed by number and by connection and stream."""

    def __init__(self, budget: ByteBudget | None = None) -> None:
        self._budget = budget or ByteBudget()
        self._last_number = 0
        self._calls: dict[int, Call] = {}
        self._streams: dict[tuple[ConnectionId, int], int] = {}

    def add(
        self, connection: ConnectionId, start: CallStart, deadline: float, target: float = math.inf
    ) -> Call:
        """Add a call; its stream must be free."""
        self._last_number += 1
        head = CallStart()
        head.CopyFrom(start)
        head.ClearField("body")
        call = Call(self._last_number, connection, head, deadline, BodyBuffer(start.body))
        call.target = target
        self._calls[call.number] = call
        self._streams[(connection, start.stream)] = call.number
        return call

    def by_number(self, number: int) -> Call | None:
        """Return the call with this number."""
        return self._calls.get(number)

    def by_stream(self, connection: ConnectionId, stream: int) -> Call | None:
        """Return the unsettled call with this stream."""
        number = self._streams.get((connection, stream))
        return None if number is None else self._calls[number]

    def settle(self, call: Call) -> None:
        """Mark the call as settled and free its stream."""
        call.settled = True
        self._streams.pop((call.connection, call.start.stream), None)

    def remove(self, call: Call) -> None:
        """Settle and remove a call, and release its body."""
        self.settle(call)
        self.release_body(call)
        self._calls.pop(call.number, None)

    def release_body(self, call: Call) -> None:
        """Release what the budget holds for the call's body."""
        self._budget.release(Use.CALL, call.held_bytes)
        call.held_bytes = 0

    def release_bodies(self) -> None:
        """Release what the budget holds for the bodies of all calls."""
        for call in self._calls.values():
            self.release_body(call)

    def of_connection(self, connection: ConnectionId) -> tuple[Call, ...]:
        """Return the unsettled calls of a connection."""
        calls = self._calls.values()
        return tuple(c for c in calls if c.connection == connection and not c.settled)

    def attempt_ids(self) -> list[bytes]:
        """Return the attempt identifiers of all calls."""
        return [call.start.attempt_id for call in self._calls.values()]

    def in_stage(self, stage: CallStage) -> tuple[Call, ...]:
        """Return the calls in this stage."""
        return tuple(call for call in self._calls.values() if call.stage is stage)


class RecentAttempts:
    """Attempt identifiers received within the last one to two generations."""

    def __init__(self) -> None:
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._rotate_at = 0.0

    def __contains__(self, attempt_id: bytes) -> bool:
        return attempt_id in self._current or attempt_id in self._previous

    @property
    def full(self) -> bool:
        """Return whether the current generation has no room for another identifier."""
        return len(self._current) >= ATTEMPTS_PER_GENERATION

    def due(self, now: float) -> bool:
        """Return whether it is time to drop the older generation."""
        return now >= self._rotate_at

    def rotate(self, now: float, in_flight: Iterable[bytes]) -> None:
        """Drop the older generation, but keep the identifiers of attempts in flight."""
        self._previous = self._current
        self._current = set(in_flight)
        self._rotate_at = now + ATTEMPT_GENERATION_SECONDS

    def add(self, attempt_id: bytes) -> None:
        """Remember an attempt identifier."""
        self._current.add(attempt_id)
