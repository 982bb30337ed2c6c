"""Wakes a core when the time that it named has come."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio


class DeadlineTimer:
    """Calls ``on_deadline`` whenever ``next_deadline`` (seconds, monotonic) has passed."""

    def __init__(
        self, next_deadline: Callable[[], float | None], on_deadline: Callable[[], None]
    ) -> None:
        self._next_deadline = next_deadline
        self._on_deadline = on_deadline
        self._sleep = trio.CancelScope()
        self._stopped = False

    def arm(self) -> None:
        """Look at the next deadline: it may be earlier than the one that is waited for.

        The sleep is shortened in place: to wake the task for it would cost a turn of the loop.
        """
        deadline = self._next_deadline()
        if deadline is not None and deadline < self._sleep.deadline:
            self._sleep.deadline = deadline

    def stop(self) -> None:
        """Ask for no deadline any more."""
        self._stopped = True

    async def run(self) -> None:
        """Keep time until cancelled or stopped; each sleep lets other tasks run, a late one too."""
        while not self._stopped:
            deadline = self._next_deadline()
            self._sleep = trio.CancelScope(deadline=math.inf if deadline is None else deadline)
            with self._sleep:
                await trio.sleep_forever()
            deadline = self._next_deadline()
            if deadline is not None and deadline <= trio.current_time():
                self._on_deadline()
