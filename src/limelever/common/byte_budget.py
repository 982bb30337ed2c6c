"""One limit on the bytes of request and response bodies that a process holds.

Decides under bursts of large uploads and downloads, slow clients and slow back ends, which bodies a
process takes in now, and which wait. Callers need a process that stays within its memory, as its
end loses the calls of all others, and small calls that pass beside large ones.

- A use may fill the limit up to its ceiling only. What a call holds at one step is released as it
  reaches the next, here or at another process, so each step keeps a part of the limit that earlier
  ones can't fill: processes that wait for each other go on.
- An idle process takes a body of any size, up to the highest ceiling.
- Small bodies may use the whole limit, and pass large ones that wait.
- Waiting bodies are taken in by their step, the latest first, then those of which a part is here,
  then in order of arrival. A new large one passes none of the same step, and together they wait for
  one ceiling's worth only.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from operator import attrgetter

from msgspec import Struct

UNLIMITED = 0

SMALL_BYTES = 64 * 1024
"""Bodies up to this size may use the whole limit."""


POLL_SECONDS = 0.01
"""Interval at which sans-I/O components retry: other components release bytes without notice."""


class Use(StrEnum):
    """The step of a call at which a body is held, in the order in which a call reaches them.

    ``REQUEST``: a caller's request at its proxy, kept for further attempts; ``CALL``: a request at
    an agent; ``RESPONSE``: a back end's response at its agent; ``ANSWER``: a response at the
    caller's proxy.
    """

    REQUEST = "request"
    CALL = "call"
    RESPONSE = "response"
    ANSWER = "answer"


_ORDER = {use: position for position, use in enumerate(Use)}
_CEILING_PERCENT = {Use.REQUEST: 40, Use.CALL: 60, Use.RESPONSE: 75, Use.ANSWER: 95}
_HIGHEST_CEILING_PERCENT = 95
_IDLE_PERCENT = 10
"""Percentage of the limit below which a process counts as idle."""

_PERCENT = 100


class Waiter(Struct, eq=False):
    """A wait for bytes; ``granted`` is called once they are taken.

    ``held`` are those of the same body that are held already.
    """

    use: Use
    size: int
    granted: Callable[[], None]
    held: int = 0

    @property
    def is_large(self) -> bool:
        """Return whether the ceiling of the use applies."""
        return self.held + self.size > SMALL_BYTES

    @property
    def rank(self) -> tuple[bool, int, bool]:
        """Return the sort key of the waits, the first to be granted being the lowest."""
        return self.is_large, -_ORDER[self.use], not self.held


class ByteBudget:
    """The bytes held by use, within ``limit`` bytes.

    With the limit ``UNLIMITED`` bytes are counted only. ``largest`` is the size of the largest body
    that an idle process takes.
    """

    def __init__(self, limit: int = UNLIMITED) -> None:
        self.limit = limit
        self.waits = dict.fromkeys(Use, 0)
        self._used = dict.fromkeys(Use, 0)
        self._total = 0
        self._waiting: list[Waiter] = []
        self._granting = False
        self.largest = limit * _HIGHEST_CEILING_PERCENT // _PERCENT
        self._idle = limit * _IDLE_PERCENT // _PERCENT
        self._ceilings = {
            use: limit * percent // _PERCENT for use, percent in _CEILING_PERCENT.items()
        }

    def used(self, use: Use) -> int:
        """Return the bytes held for a use."""
        return self._used[use]

    def waiting_bytes(self, use: Use) -> int:
        """Return the total of the waits for a use."""
        return sum(waiter.size for waiter in self._waiting if waiter.use is use)

    def can_ever_take(self, size: int) -> bool:
        """Return whether an idle process could take ``size`` bytes."""
        return not self.limit or size <= self.largest

    def can_wait(self, use: Use, size: int, waiting: int | None = None) -> bool:
        """Return whether ``size`` bytes may wait behind those that do, or ``waiting`` of them.

        They may not if bytes of earlier steps leave no room for them: those may be released only
        once calls go on.
        """
        ahead = self.waiting_bytes(use) if waiting is None else waiting
        earlier = sum(held for each, held in self._used.items() if _ORDER[each] < _ORDER[use])
        if size > self._ceilings[use]:
            return not ahead and earlier <= self._idle and size <= self.largest
        return max(ahead, earlier) + size <= self._ceilings[use]

    def take(self, use: Use, size: int, held: int = 0) -> bool:
        """Hold ``size`` bytes of a body of which ``held`` are held already; false if too many."""
        is_large = held + size > SMALL_BYTES
        is_new = is_large and not held
        if is_new and any(_ORDER[waiter.use] >= _ORDER[use] for waiter in self._waiting):
            return False
        if not self._has_room(use, size, is_large=is_large):
            return False
        self.charge(use, size)
        return True

    def charge(self, use: Use, size: int) -> None:
        """Hold bytes that were received already, whatever the limit."""
        self._used[use] += size
        self._total += size

    def adjust(self, use: Use, size: int) -> None:
        """Hold bytes that were received already, or release them if ``size`` is negative."""
        if size > 0:
            self.charge(use, size)
        else:
            self.release(use, -size)

    def release(self, use: Use, size: int) -> None:
        """Release held bytes, and grant what waits for them."""
        self._used[use] -= size
        self._total -= size
        if self._waiting and size:
            self._grant_waiting()

    def wait(self, use: Use, size: int, granted: Callable[[], None], held: int = 0) -> Waiter:
        """Take ``size`` bytes as soon as they are available; ``granted`` is called then.

        For bytes that :meth:`take` has just refused.
        """
        waiter = Waiter(use, size, granted, held)
        self.waits[use] += 1
        self._waiting.append(waiter)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Cancel a wait."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            self._grant_waiting()

    def _has_room(self, use: Use, size: int, *, is_large: bool) -> bool:
        if not self.limit:
            return True
        if not is_large:
            return self._total + size <= self.limit
        if self._total + size <= self._ceilings[use]:
            return True
        return self._total <= self._idle and size <= self.largest

    def _grant_waiting(self) -> None:
        """Grant the waits in their order, up to the first that does not fit.

        What is granted may release bytes: the loop in progress grants these too.
        """
        if self._granting:
            return
        self._granting = True
        try:
            while self._waiting and self._has_granted(min(self._waiting, key=attrgetter("rank"))):
                pass
        finally:
            self._granting = False

    def _has_granted(self, waiter: Waiter) -> bool:
        if not self._has_room(waiter.use, waiter.size, is_large=waiter.is_large):
            return False
        self._waiting.remove(waiter)
        self.charge(waiter.use, waiter.size)
        waiter.granted()
        return True
