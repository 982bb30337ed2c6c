"""The clock of a long-running process: it also counts time for which the machine was suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

from trio.abc import Clock

LONGEST_SLEEP = 0.5
"""Seconds after which a process that waits looks at the clock again: the system's own timers skip a
suspension, so that deadlines that passed meanwhile are noticed this late at most. A choice: idle
processes wake more often for proofs and leases."""

_BOOT_TIME = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems without it don't tell suspensions from other times."""


def boot_time() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(_BOOT_TIME)


class BootTimeClock(Clock):
    """Keeps trio's time by ``read``: a machine that wakes sees its proofs and leases run out.

    Peers' time goes on while a machine is suspended. By a clock that skips it, a proof would be
    taken for current, a lease for held and a call for in time that others have long given up.
    """

    def __init__(self, read: Callable[[], float] = boot_time) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: the clock runs anyway."""

    def current_time(self) -> float:
        """Return the time in seconds, from an arbitrary moment."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return how long to wait before the clock is looked at again."""
        return min(deadline - self._read(), LONGEST_SLEEP)
