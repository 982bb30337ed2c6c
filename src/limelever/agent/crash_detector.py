"""Distinguishes a crash of the back end process from connections that merely broke.

When a process exits, all its connections break and new ones are refused. A call whose connection
broke is therefore held until a new connection has been tried. Requests that were running at that
moment, or were cancelled shortly before, are suspected of having caused the crash.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import Enum, auto

from msgspec import Struct

from limelever.agent.interface import ConnectResult
from limelever.common.errors import Failure
from limelever.quarantine.crash_history import SuspectRequest

SUSPECT_WINDOW_SECONDS = 1.0
"""Calls that ended within this time before a crash are suspects."""

REPLACED_SUSPECT_WINDOW_SECONDS = 5.0
"""The same if a crash is known only from the first report of a new process.

Covers the start of that process and an interval between reports."""

MAX_RECHECKS = 3
RECHECK_INTERVAL_SECONDS = 0.03
"""While other calls still run, a refused connection may mean that the back end is overloaded, so it
is tried again. If the process has exited, the other connections break within milliseconds."""

MAX_REMEMBERED_CALLS = 256
"""Ended calls that are remembered as possible suspects; the oldest are dropped."""


class ProcessState(Enum):
    """State of the back end process, as far as a connection check shows it."""

    UNDECIDED = auto()
    RUNNING = auto()
    EXITED = auto()


class HeldCall(Struct, frozen=True):
    """A call whose connection broke; it fails with ``failure`` unless the process has crashed."""

    call: int
    failure: Failure


class _EndedCall(Struct, frozen=True):
    suspect: SuspectRequest
    at: float


class CrashDetector:
    """Detects crashes of one back end; times are monotonic seconds."""

    def __init__(self) -> None:
        self._held: list[HeldCall] = []
        self._ended: deque[_EndedCall] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self._first_failure_at: float | None = None
        self._check_at: float | None = None
        self._checking = False
        self._rechecks = 0

    @property
    def undecided(self) -> bool:
        """Return whether a connection broke and the state of the process is not known yet."""
        return self._first_failure_at is not None

    def connection_lost(self, held: HeldCall, suspect: SuspectRequest, now: float) -> None:
        """Hold a call whose connection broke before it was answered."""
        self._held.append(held)
        self._ended.append(_EndedCall(suspect, now))
        if self._first_failure_at is None:
            self._first_failure_at = self._check_at = now

    def call_abandoned(self, suspect: SuspectRequest, now: float) -> None:
        """Record a running call that the agent cancelled or that timed out."""
        self._ended.append(_EndedCall(suspect, now))

    def connect_failed(self, now: float) -> None:
        """Record that no connection could be opened for a call, so a check is needed.

        A process that exits without running calls breaks no connection in use.
        """
        if self._first_failure_at is None:
            self._first_failure_at = self._check_at = now

    def start_check(self, now: float) -> bool:
        """Return whether a check is due, and mark it as started.

        :meth:`check_finished` takes its result.
        """
        due = self.next_deadline()
        if due is None or now < due:
            return False
        self._checking = True
        return True

    def check_finished(self, result: ConnectResult, running: int, now: float) -> ProcessState:
        """Return the state of the process after a check, with this many calls still running."""
        self._checking = False
        if not self.undecided:
            return ProcessState.RUNNING
        if result is not ConnectResult.REFUSED:
            return ProcessState.RUNNING
        if not running:
            return ProcessState.EXITED
        self._rechecks += 1
        if self._rechecks > MAX_RECHECKS:
            return ProcessState.RUNNING
        self._check_at = now + RECHECK_INTERVAL_SECONDS
        return ProcessState.UNDECIDED

    def take_held(self) -> Sequence[HeldCall]:
        """Return the held calls and reset the check; the state of the process is known now."""
        held, self._held = self._held, []
        self._first_failure_at = self._check_at = None
        self._rechecks = 0
        return held

    def take_suspects(self, since: float) -> tuple[SuspectRequest, ...]:
        """Return the distinct requests that ended since this time, and forget all ended calls."""
        suspects = dict.fromkeys(each.suspect for each in self._ended if each.at >= since)
        self._ended.clear()
        return tuple(suspects)

    @property
    def suspects_since(self) -> float:
        """Return the time since which ended calls are suspects of the detected crash."""
        assert self._first_failure_at is not None
        return self._first_failure_at - SUSPECT_WINDOW_SECONDS

    def suspects_of_replaced(self, now: float) -> tuple[SuspectRequest, ...]:
        """Return the suspects of a crash that is known only because a new process reported."""
        return self.take_suspects(now - REPLACED_SUSPECT_WINDOW_SECONDS)

    def next_deadline(self) -> float | None:
        """Return when the next check is due, ``None`` if none is needed."""
        return None if self._checking else self._check_at
