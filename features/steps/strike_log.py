"""What was done to which machine, and when: what the promises are judged by."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

STOP, RELOAD, START, SETTINGS = "SIGTERM", "SIGHUP", "start", "settings"
KILL, PAUSE = "SIGKILL", "SIGSTOP"
UNPLANNED = frozenset({KILL, PAUSE})
DISRUPTIONS = UNPLANNED | {STOP, START}
"""After these a machine isn't calm; after a reload or other settings it is."""


@dataclass(frozen=True, slots=True)
class Strike:
    """Something done to a machine, at a moment in monotonic seconds."""

    at: float
    machine: str
    what: str
    is_control: bool


class StrikeLog:
    """Strikes by time; unplanned ones last until what they struck is back."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.before_strike: Callable[[Any, str], None] = lambda machine, what: None
        """Called with the machine and what is about to be done to it."""
        self._lock = threading.Lock()
        self._strikes: list[Strike] = []
        self._unplanned: dict[str, float] = {}
        self._unplanned_over: list[tuple[float, float]] = []
        self._outages: list[tuple[str, float, float]] = []

    def note(self, machine, what: str) -> None:
        self.before_strike(machine, what)
        now = self._clock()
        with self._lock:
            self._strikes.append(Strike(now, machine.name, what, machine.role == "control"))
            if what in UNPLANNED:
                self._unplanned[machine.name] = now
        print(f"{now:10.3f}  {what} {machine.name}", flush=True)

    def is_out(self, machine) -> bool:
        """Return whether something unplanned came to a machine that isn't back."""
        with self._lock:
            return machine.name in self._unplanned

    def unplanned_over(self, machine) -> None:
        """Note that a machine is back after an unplanned strike."""
        now = self._clock()
        with self._lock:
            begun = self._unplanned.pop(machine.name)
            self._unplanned_over.append((begun, now))
            self._outages.append((machine.name, begun, now))

    def had_unplanned(self, begin: float, end: float) -> bool:
        """Return whether any machine was struck by something unplanned in a span."""
        with self._lock:
            if any(at <= end for at in self._unplanned.values()):
                return True
            return any(first <= end and last >= begin for first, last in self._unplanned_over)

    def of(self, machine: str, begin: float, end: float) -> list[Strike]:
        """Return the strikes of a machine in a span."""
        with self._lock:
            return [s for s in self._strikes if s.machine == machine and begin <= s.at <= end]

    def disrupted(self, machine: str, begin: float, end: float) -> bool:
        """Return whether a machine was stopped, started, killed or paused in a span."""
        return any(strike.what in DISRUPTIONS for strike in self.of(machine, begin, end))

    def was_out(self, machine: str, begin: float, end: float) -> bool:
        """Return whether a machine was killed or paused and not back in some part of a span."""
        with self._lock:
            over = [(first, last) for name, first, last in self._outages if name == machine]
            still = self._unplanned.get(machine)
        if still is not None and still <= end:
            return True
        return any(first <= end and last >= begin for first, last in over)

    def unplanned_of(self, machine: str, begin: float, end: float) -> bool:
        """Return whether something unplanned came to a machine in a span."""
        return any(strike.what in UNPLANNED for strike in self.of(machine, begin, end))

    def control_disrupted(self, begin: float, end: float) -> bool:
        """Return whether any control machine was, in a span."""
        with self._lock:
            of_control = [s for s in self._strikes if s.is_control and begin <= s.at <= end]
        return any(strike.what in DISRUPTIONS for strike in of_control)
