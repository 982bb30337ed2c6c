"""Reservations of memory for the heads of a listener's requests.

Decides, under many heads that are large or never end, which are read on. Callers need a process
that stays within its memory, and ordinary heads that are always read. A head is counted from its
first byte until its request's response is sent, by its bytes and its fields, as a short field costs
far more memory than it has bytes. Without room the oldest large head that is not whole makes room;
the requests that have begun keep theirs. An otherwise idle listener reads a head of any size.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from limelever.common.byte_budget import ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.transport.body_reservation import RETRY_AFTER_SECONDS
from limelever.transport.events import HEADS_WITHOUT_ROOM
from limelever.transport.log import write_event

FIELD_BYTES = 256
"""Memory of a parsed header field besides its text, in the request and in the call made of it."""

PIPELINED_BYTES = 8 * 1024
"""Memory of a request besides its head while others of its connection are in progress.

One receive holds hundreds of small requests, and each becomes a call. Requests that come alone are
bounded by the number of connections.
"""

SMALL_BYTES = 8 * 1024
"""Heads of one connection up to this size are always read: that of a request of 25 fields."""

DEFAULT_TOTAL_BYTES = 8 << 20
"""Memory for the heads at a listener."""

_PART_OF_BUDGET = 0.2
_STEP_BYTES = 1024
_LOG_INTERVAL_SECONDS = 1.0
_NO_ROOM = Failure(
    ErrorKind.OVERLOADED,
    "the listener has no room for the request's headers",
    retry_after=RETRY_AFTER_SECONDS,
)


class HeadPool:
    """The heads of a listener's requests, within ``total_bytes`` and the budget of the process."""

    def __init__(
        self, total_bytes: int = DEFAULT_TOTAL_BYTES, budget: ByteBudget | None = None
    ) -> None:
        self.held_bytes = 0
        self._total_bytes = total_bytes
        self._budget = budget or ByteBudget()
        self._incomplete: dict[HeadReservations, None] = {}
        self._refused = 0
        self._next_log_at = -math.inf

    @classmethod
    def within(cls, budget: ByteBudget) -> HeadPool:
        """Return a pool that takes a part of the process's budget."""
        return cls(max(DEFAULT_TOTAL_BYTES, int(budget.limit * _PART_OF_BUDGET)), budget)

    def take(self, reservations: HeadReservations, size: int) -> bool:
        """Reserve more bytes for the connection's head; return whether there is room."""
        if reservations.held_bytes + size <= SMALL_BYTES:
            self._budget.charge(Use.REQUEST, size)
            self.held_bytes += size
            return True
        while not self._has_taken(reservations, size):
            oldest = next(iter(self._incomplete), None)
            self._report_refused()
            if oldest is None or oldest is reservations:
                return False
            oldest.lose()
        self._incomplete[reservations] = None
        return True

    def _has_taken(self, reservations: HeadReservations, size: int) -> bool:
        others = self.held_bytes - reservations.current_bytes
        if others and self.held_bytes + size > self._total_bytes:
            return False
        if not self._budget.take(Use.REQUEST, size):
            return False
        self.held_bytes += size
        return True

    def _report_refused(self) -> None:
        """Count a refused head, and log the count from time to time."""
        self._refused += 1
        now = trio.current_time()
        if now >= self._next_log_at:
            fields: dict[str, object] = {"refused": self._refused, "held_bytes": self.held_bytes}
            write_event(HEADS_WITHOUT_ROOM, fields)
            self._refused = 0
            self._next_log_at = now + _LOG_INTERVAL_SECONDS

    def release(self, size: int) -> None:
        """Release bytes."""
        self.held_bytes -= size
        self._budget.release(Use.REQUEST, size)

    def forget(self, reservations: HeadReservations) -> None:
        """Note that a connection has no large head that is not whole."""
        self._incomplete.pop(reservations, None)


class HeadReservations:
    """The reservations for the heads of one connection's requests.

    ``current_bytes`` are those of the head that is being received. ``refuse`` is called when it has
    to make room; it calls :meth:`drop`.
    """

    def __init__(self, pool: HeadPool, refuse: Callable[[Failure], None]) -> None:
        self.held_bytes = 0
        self._pool = pool
        self._refuse = refuse
        self.current_bytes = 0

    def grow(self, size: int, fields: int) -> Failure | None:
        """Reserve memory for a head of which ``size`` bytes and ``fields`` have been received."""
        has_others = self.held_bytes > self.current_bytes
        cost = size + fields * FIELD_BYTES + (PIPELINED_BYTES if has_others else 0)
        missing = cost - self.current_bytes
        if missing <= 0:
            return None
        missing += -missing % _STEP_BYTES
        if not self._pool.take(self, missing):
            return _NO_ROOM
        self.current_bytes += missing
        self.held_bytes += missing
        return None

    def complete(self) -> int:
        """Return the bytes reserved for the head, which is whole and keeps them."""
        size, self.current_bytes = self.current_bytes, 0
        self._pool.forget(self)
        return size

    def lose(self) -> None:
        """Refuse the head that is being received."""
        self._refuse(_NO_ROOM)
        self.drop()

    def drop(self) -> None:
        """Release the reservation of the head that is being received."""
        self.release(self.complete())

    def release(self, size: int) -> None:
        """Release bytes that :meth:`complete` returned."""
        size = min(size, self.held_bytes)
        self.held_bytes -= size
        self._pool.release(size)

    def close(self) -> None:
        """Release everything."""
        self.drop()
        self.release(self.held_bytes)
