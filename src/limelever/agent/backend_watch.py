"""Whether the back end beside an agent is there: its silence, and the ends of its process."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from msgspec import Struct

from limelever.agent.answers import NO_CRASH
from limelever.agent.calls import Call
from limelever.agent.crash_watch import CrashWatch, Finding, HeldCall
from limelever.agent.interface import AttemptFailed, BackendReach, CheckBackend
from limelever.agent.silence import BackendSilence
from limelever.common.deadlines import earliest
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.quarantine.crash_history import CrashHistory, SuspectRequest

CRASH_BITS = 64
"""Bits of the number by which one end of a process is told from another."""

_ENDED_FROM_HERE = frozenset({ErrorKind.CANCELLED, ErrorKind.DEADLINE_EXCEEDED})


class Seen(Struct, frozen=True):
    """What the try of a connection showed.

    ``held`` are the calls whose connections broke and which can be answered now; ``crash`` numbers
    the end of the process under ``suspects``. One that ended under no calls has fallen silent.
    """

    held: tuple[HeldCall, ...] = ()
    crash: int = NO_CRASH
    suspects: tuple[SuspectRequest, ...] = ()
    fell_silent: bool = False
    is_back: bool = False


class BackendWatch:
    """Follows one back end; times are seconds of the monotonic clock.

    One that leaves goes on with its calls until ``serves_until`` at least: that its process ends
    before then is not planned.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._silence = BackendSilence()
        self._crashes = CrashWatch()
        self._news: list[CrashNews] = []
        self.serves_until = math.inf

    @property
    def silent(self) -> bool:
        """Return whether nobody answers there, so that calls go elsewhere."""
        return self._silence.silent

    @property
    def undecided(self) -> bool:
        """Return whether the process may just have ended, so that no further call is begun."""
        return self._crashes.undecided

    def started(self, call: int, service_time: float, now: float) -> None:
        """Take a call that was handed over; ``service_time`` is 0 if not known."""
        self._silence.started(call, service_time, now)

    def answered(self, call: int) -> None:
        """Take a call that was answered."""
        self._silence.ended(call, answered=True)

    def failed(self, event: AttemptFailed, failure: Failure, call: Call, now: float) -> bool:
        """Take a call that was not answered; return whether its proxy has to wait for the reason.

        A connection that ended may be the end of the process: :meth:`checked` gives the call back.
        """
        self._silence.ended(event.attempt, answered=event.refused)
        if event.connection_ended:
            self._crashes.lost(HeldCall(event.attempt, failure), call.suspected(), now)
        elif not event.sent_any_byte and event.failure.kind is ErrorKind.BACKEND_FAILED:
            self._crashes.not_opened(now)
        elif failure.kind in _ENDED_FROM_HERE:
            self._crashes.given_up(call.suspected(), now)
        return event.connection_ended

    def take_check(self, now: float) -> list[CheckBackend]:
        """Return the try of a connection that is wanted now, if one is."""
        silenced, broken = self._silence.take_check(now), self._crashes.take_check(now)
        return [CheckBackend(close_idle=silenced)] if silenced or broken else []

    def checked(self, reach: BackendReach, running: int, now: float) -> Seen:
        """Take what became of a new connection while this many calls still run."""
        finding = self._crashes.checked(reach, running, now)
        ended = finding is Finding.ENDED and now < self.serves_until
        suspects = self._crashes.take_suspects(self._crashes.suspects_since) if ended else ()
        crash = self._report(suspects, now) if suspects else NO_CRASH
        was_silent = self._silence.silent
        fell_silent = ended and not was_silent and not crash
        if ended:
            self._silence.process_ended(now)
        if self._silence.checking:
            fell_silent = self._silence.checked(reach, now) or fell_silent
        is_back = was_silent and not self._silence.silent
        held = () if finding is Finding.UNDECIDED else tuple(self._crashes.take_held())
        return Seen(held, crash, suspects, fell_silent, is_back)

    def replaced(self, now: float) -> None:
        """Take that another process has come without a word of the one before.

        An agent that was held up may have missed that connections were refused meanwhile.
        """
        if now >= self.serves_until:
            return
        suspects = self._crashes.suspects_of_replaced(now)
        if suspects:
            self._report(suspects, now)

    def take_news(self) -> list[CrashNews]:
        """Return what relays are to be told of the back end's process, once."""
        news, self._news = self._news, []
        return news

    def next_deadline(self) -> float | None:
        """Return when a connection is to be tried, ``None`` while there is no need."""
        return earliest(self._silence.next_deadline(), self._crashes.next_deadline())

    def _report(self, suspects: Sequence[SuspectRequest], now: float) -> int:
        crash = self._generator.getrandbits(CRASH_BITS)
        evidence = CrashHistory()
        self._news.append(evidence.update_for(evidence.add_crash(suspects, crash, now), now))
        return crash
