"""Tells the end of the back end's process from connections that merely broke.

All connections of a process that ends break, and no new one opens. So a call whose connection
broke waits, for a moment, for the result of trying another one. What ran then, or was given up
just before, may have ended the process.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import Enum, auto

from msgspec import Struct

from limelever.agent.interface import BackendReach
from limelever.common.errors import Failure
from limelever.quarantine.crash_history import SuspectRequest

SUSPECT_SECONDS = 1.0
"""A call that was given up this long before the end may have caused it; a choice, several times as
long as most calls take."""

REPLACED_SECONDS = 5.0
"""The same where the process is known to have ended by its successor's first report alone: some
seconds of a start, and an interval of reports."""

RECHECKS = 3
RECHECK_SECONDS = 0.03
"""While others still run, refused connections may mean that the back end is full. Their ends come
within some milliseconds of each other if its process is gone."""

SUSPECTS_LIMIT = 256
"""Ended calls that are remembered; beyond it the oldest are forgotten."""


class Finding(Enum):
    """What a try of a connection says after others broke."""

    UNDECIDED = auto()
    RUNS_ON = auto()
    ENDED = auto()


class HeldCall(Struct, frozen=True):
    """A call whose connection broke, by its number; its proxy is told ``failure`` or a crash."""

    call: int
    failure: Failure


class _EndedCall(Struct, frozen=True):
    suspected: SuspectRequest
    at: float


class CrashWatch:
    """Follows one back end; times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._held: list[HeldCall] = []
        self._ended: deque[_EndedCall] = deque(maxlen=SUSPECTS_LIMIT)
        self._first_lost_at: float | None = None
        self._check_at: float | None = None
        self._checking = False
        self._tries = 0

    @property
    def undecided(self) -> bool:
        """Return whether connections broke, and it isn't known yet what that means."""
        return self._first_lost_at is not None

    def lost(self, held: HeldCall, suspected: SuspectRequest, now: float) -> None:
        """Take a call whose connection ended before its answer."""
        self._held.append(held)
        self._ended.append(_EndedCall(suspected, now))
        if self._first_lost_at is None:
            self._first_lost_at = self._check_at = now

    def given_up(self, suspected: SuspectRequest, now: float) -> None:
        """Take a call that was ended from this side while the back end was at it."""
        self._ended.append(_EndedCall(suspected, now))

    def not_opened(self, now: float) -> None:
        """Take that no connection opened for a call: the process may have ended unseen.

        Nothing breaks if no call was left there, for instance since its caller had gone.
        """
        if self._first_lost_at is None:
            self._first_lost_at = self._check_at = now

    def take_check(self, now: float) -> bool:
        """Return whether a connection is to be tried now; :meth:`checked` takes its result."""
        due = self.next_deadline()
        if due is None or now < due:
            return False
        self._checking = True
        return True

    def checked(self, reach: BackendReach, running: int, now: float) -> Finding:
        """Take what became of a new connection while this many calls still run."""
        self._checking = False
        if not self.undecided:
            return Finding.RUNS_ON
        if reach is not BackendReach.REFUSED:
            return Finding.RUNS_ON
        if not running:
            return Finding.ENDED
        self._tries += 1
        if self._tries > RECHECKS:
            return Finding.RUNS_ON
        self._check_at = now + RECHECK_SECONDS
        return Finding.UNDECIDED

    def take_held(self) -> Sequence[HeldCall]:
        """Return the calls that wait for a finding; there is one now."""
        held, self._held = self._held, []
        self._first_lost_at = self._check_at = None
        self._tries = 0
        return held

    def take_suspects(self, since: float) -> tuple[SuspectRequest, ...]:
        """Return the requests that ended from ``since`` on, each once."""
        suspects = dict.fromkeys(each.suspected for each in self._ended if each.at >= since)
        self._ended.clear()
        return tuple(suspects)

    @property
    def suspects_since(self) -> float:
        """Return from when on a call that ended is a suspect of the end found now."""
        assert self._first_lost_at is not None
        return self._first_lost_at - SUSPECT_SECONDS

    def suspects_of_replaced(self, now: float) -> tuple[SuspectRequest, ...]:
        """Return the suspects of a process that ended unseen, as its successor has come."""
        return self.take_suspects(now - REPLACED_SECONDS)

    def next_deadline(self) -> float | None:
        """Return when a connection is to be tried, ``None`` while there is no need."""
        return None if self._checking else self._check_at
