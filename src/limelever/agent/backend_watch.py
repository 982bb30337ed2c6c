"""Whether the back end beside an agent is there: its silence, and the ends of its process."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from msgspec import Struct

from limelever.agent.call_messages import NO_CRASH
from limelever.agent.calls import Call
from limelever.agent.crash_detector import CrashDetector, HeldCall, ProcessState
from limelever.agent.interface import AttemptFailed, CheckBackend, ConnectResult
from limelever.agent.liveness import LivenessMonitor
from limelever.common.deadlines import earliest
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.quarantine.evidence import Evidence, Suspected

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
    suspects: tuple[Suspected, ...] = ()
    fell_silent: bool = False
    is_back: bool = False


class BackendWatch:
    """Follows one back end; times are seconds of the monotonic clock.

    One that leaves goes on with its calls until ``serves_until`` at least: that its process ends
    before then is not planned.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._silence = LivenessMonitor()
        self._crashes = CrashDetector()
        self._news: list[CrashNews] = []
        self.serves_until = math.inf

    @property
    def silent(self) -> bool:
        """Return whether nobody answers there, so that calls go elsewhere."""
        return self._silence.unresponsive

    @property
    def undecided(self) -> bool:
        """Return whether the process may just have ended, so that no further call is begun."""
        return self._crashes.undecided

    def started(self, call: int, service_time: float, now: float) -> None:
        """Take a call that was handed over; ``service_time`` is 0 if not known."""
        self._silence.call_started(call, service_time, now)

    def answered(self, call: int) -> None:
        """Take a call that was answered."""
        self._silence.call_ended(call, answered=True)

    def failed(self, event: AttemptFailed, failure: Failure, call: Call, now: float) -> bool:
        """Take a call that was not answered; return whether its proxy has to wait for the reason.

        A connection that ended may be the end of the process: :meth:`checked` gives the call back.
        """
        self._silence.call_ended(event.attempt, answered=event.refused)
        if event.connection_ended:
            self._crashes.connection_lost(HeldCall(event.attempt, failure), call.as_suspect(), now)
        elif not event.sent_any_byte and event.failure.kind is ErrorKind.BACKEND_FAILED:
            self._crashes.connect_failed(now)
        elif failure.kind in _ENDED_FROM_HERE:
            self._crashes.call_abandoned(call.as_suspect(), now)
        return event.connection_ended

    def take_check(self, now: float) -> list[CheckBackend]:
        """Return the try of a connection that is wanted now, if one is."""
        silenced, broken = self._silence.start_check(now), self._crashes.start_check(now)
        return [CheckBackend(close_idle=silenced)] if silenced or broken else []

    def checked(self, reach: ConnectResult, running: int, now: float) -> Seen:
        """Take what became of a new connection while this many calls still run."""
        finding = self._crashes.check_finished(reach, running, now)
        ended = finding is ProcessState.EXITED and now < self.serves_until
        suspects = self._crashes.take_suspects(self._crashes.suspects_since) if ended else ()
        crash = self._report(suspects, now) if suspects else NO_CRASH
        was_silent = self._silence.unresponsive
        fell_silent = ended and not was_silent and not crash
        if ended:
            self._silence.process_exited(now)
        if self._silence.checking:
            fell_silent = self._silence.check_finished(reach, now) or fell_silent
        is_back = was_silent and not self._silence.unresponsive
        held = () if finding is ProcessState.UNDECIDED else tuple(self._crashes.take_held())
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

    def _report(self, suspects: Sequence[Suspected], now: float) -> int:
        crash = self._generator.getrandbits(CRASH_BITS)
        evidence = Evidence()
        self._news.append(evidence.news(evidence.crashed(suspects, crash, now), now))
        return crash
