"""Wakes a core when the time that it named has come."""

from __future__ import annotations

from collections.abc import Callable

import trio


class DeadlineTimer:
    """Calls ``on_deadline`` whenever ``next_deadline`` (seconds, monotonic) has passed."""

    def __init__(
        self, next_deadline: Callable[[], float | None], on_deadline: Callable[[], None]
    ) -> None:
        self._next_deadline = next_deadline
        self._on_deadline = on_deadline
        self._wake = trio.Event()
        self._armed: float | None = None
        self._stopped = False

    def arm(self) -> None:
        """Look at the next deadline: it may be earlier than the one that is waited for."""
        deadline = self._next_deadline()
        if deadline is None:
            return
        if self._armed is None or deadline < self._armed:
            self._wake.set()

    def stop(self) -> None:
        """Ask for no deadline any more."""
        self._stopped = True

    async def run(self) -> None:
        """Keep time until cancelled or stopped."""
        while not self._stopped:
            self._wake = trio.Event()
            self._armed = self._next_deadline()
            if self._armed is None:
                await self._wake.wait()
                continue
            with trio.move_on_at(self._armed):
                await self._wake.wait()
                continue
            deadline = self._next_deadline()
            if deadline is not None and deadline <= trio.current_time():
                self._on_deadline()
            await trio.lowlevel.checkpoint()
