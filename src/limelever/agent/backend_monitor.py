"""Monitors the backend beside the agent for unresponsiveness and process crashes."""

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
from limelever.quarantine.crash_history import CrashHistory, SuspectRequest

CRASH_BITS = 64
"""Size in bits of the random identifier of a crash."""

MAX_LOAD_REQUESTS = 3
"""Health requests that ask for the load while all running calls are overdue, until a call ends. Two
are needed to find lost calls; the bound keeps calls that are only slow from causing more."""

_ENDED_BY_AGENT = frozenset({ErrorKind.CANCELLED, ErrorKind.DEADLINE_EXCEEDED})


class CheckOutcome(Struct, frozen=True):
    """Result of a connection check.

    ``held`` are calls with a broken connection that can be answered now; ``crash`` identifies a
    crash of the process during the requests in ``suspects``. A process that ended while no requests
    were running counts as fallen silent. ``process_ended`` tells that the process has ended,
    expectedly or not.
    """

    held: tuple[HeldCall, ...] = ()
    crash: int = NO_CRASH
    suspects: tuple[SuspectRequest, ...] = ()
    fell_silent: bool = False
    recovered: bool = False
    process_ended: bool = False


class BackendMonitor:
    """State of one backend; times are monotonic seconds.

    A draining backend is expected to run at least until ``serves_until``; a process that ends
    before then has crashed.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._silence = LivenessMonitor()
        self._crashes = CrashDetector()
        self._crash_news: list[CrashNews] = []
        self._load_requests = 0
        self.serves_until = math.inf

    @property
    def silent(self) -> bool:
        """Return whether the backend is unresponsive, so that calls go to other instances."""
        return self._silence.unresponsive

    @property
    def undecided(self) -> bool:
        """Return whether the process may have ended, so that no call is started for now."""
        return self._crashes.undecided

    def started(self, call: int, service_time: float, now: float) -> None:
        """Record a call sent to the backend; ``service_time`` is 0 if unknown."""
        self._silence.call_started(call, service_time, now)

    def answered(self, call: int) -> None:
        """Record that the backend responded to a call."""
        self._silence.call_ended(call, answered=True)
        self._load_requests = 0

    def failed(self, event: AttemptFailed, failure: Failure, call: Call, now: float) -> bool:
        """Record a failed call; return whether its proxy has to wait for the reason.

        A closed connection may mean that the process ended: :meth:`checked` returns the call then.
        """
        self._silence.call_ended(event.attempt, answered=event.refused)
        self._load_requests = 0
        if event.connection_ended:
            self._crashes.connection_lost(HeldCall(event.attempt, failure), call.as_suspect(), now)
        elif not event.sent_any_byte and event.failure.kind is ErrorKind.BACKEND_FAILED:
            self._crashes.connect_failed(now)
        elif event.sent_any_byte and event.failure.kind in _ENDED_BY_AGENT:
            self._crashes.call_abandoned(call.as_suspect(), now)
        return event.connection_ended

    def take_check(self, now: float) -> list[CheckBackend]:
        """Return the connection check to make now, if any."""
        silenced, broken = self._silence.start_check(now), self._crashes.start_check(now)
        if not silenced and not broken:
            return []
        asks_load = silenced and self._load_requests < MAX_LOAD_REQUESTS
        self._load_requests += asks_load
        return [CheckBackend(close_idle=silenced, asks_load=asks_load)]

    def checked(self, reach: ConnectResult, running: int, now: float) -> CheckOutcome:
        """Handle the result of a connection check while ``running`` calls are in progress."""
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
        recovered = was_silent and not self._silence.unresponsive
        held = () if finding is ProcessState.UNDECIDED else tuple(self._crashes.take_held())
        exited = finding is ProcessState.EXITED
        return CheckOutcome(held, crash, suspects, fell_silent, recovered, exited)

    def replaced(self, now: float) -> None:
        """Handle the start of another process without notice of the previous one ending.

        A suspended agent may have missed the time in which connections were refused.
        """
        if now >= self.serves_until:
            return
        suspects = self._crashes.suspects_of_replaced(now)
        if suspects:
            self._report(suspects, now)

    def take_crash_news(self) -> list[CrashNews]:
        """Return the crash reports not yet sent to relays, once."""
        crash_news, self._crash_news = self._crash_news, []
        return crash_news

    def next_deadline(self) -> float | None:
        """Return when a connection check is due, ``None`` if there is no need."""
        return earliest(self._silence.next_deadline(), self._crashes.next_deadline())

    def _report(self, suspects: Sequence[SuspectRequest], now: float) -> int:
        crash = self._generator.getrandbits(CRASH_BITS)
        history = CrashHistory()
        self._crash_news.append(history.update_for(history.add_crash(suspects, crash, now), now))
        return crash
