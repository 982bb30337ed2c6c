"""Reservations in the process's budget for the bodies of callers' requests.

Decides under bursts of uploads and slow callers which bodies are received. A body of declared
length is received once all of it is reserved, so that bodies which have begun can finish; for a
chunked one bytes are reserved in steps. Nothing is received from callers that wait. Each wait is
bounded, so that a refused caller has time to try elsewhere, and a body that stalls loses what it
has reserved but not received.
"""

from __future__ import annotations

import trio

from limelever.common.byte_budget import SMALL_BYTES, ByteBudget, Use, Waiter
from limelever.common.errors import ErrorKind, Failure

STEP_BYTES = 1 << 20
"""Bytes that are reserved for a chunked body at a time."""

STALL_SECONDS = 1.0
"""How far a body may fall behind the rate at which it would arrive within its time limit."""

RETRY_AFTER_SECONDS = 1.0

_NO_ROOM = Failure(
    ErrorKind.OVERLOADED,
    "the proxy has no room for the request body",
    retry_after=RETRY_AFTER_SECONDS,
)


class RequestReservation:
    """The reservation for one body; times in seconds, monotonic.

    ``declared`` is the length of the body, 0 if unknown. It waits until ``latest`` at most, and has
    ``time`` to arrive.
    """

    def __init__(
        self, reservations: RequestReservations, declared: int, latest: float, time: float
    ) -> None:
        self._reservations = reservations
        self._budget = reservations.budget
        self._declared = declared
        self._latest = latest
        self._time = time
        self._received = 0
        self._held = 0
        self._waiter: Waiter | None = None
        self._granted: trio.Event | None = None
        self._began_at = trio.current_time()

    @property
    def must_wait(self) -> bool:
        """Return whether more bytes have to be reserved before more are received."""
        return self._waiter is not None

    def begin(self) -> Failure | None:
        """Reserve the declared length or begin to wait; return a failure if it cannot wait."""
        if not self._declared or self._take(self._declared):
            return None
        self._reservations.reclaim()
        return self._take_or_wait(self._declared)

    def add(self, size: int) -> Failure | None:
        """Count received bytes; return a failure over a limit."""
        failure = self._reservations.count_received(self._received, size)
        if failure is not None:
            return failure
        self._received += size
        missing = self._received - self._held
        if missing <= 0:
            return None
        if not self._budget.take(Use.REQUEST, missing, self._held):
            # These bytes are here already, at most one read of the socket.
            self._budget.charge(Use.REQUEST, missing)
        self._held += missing
        if self._received < SMALL_BYTES or self.must_wait:
            return None
        if self._take(STEP_BYTES):
            return None
        self._reservations.reclaim()
        return self._take_or_wait(STEP_BYTES)

    async def wait(self) -> Failure | None:
        """Wait until bytes are reserved; return a failure if none are in time."""
        while self._waiter is not None and trio.current_time() < self._latest:
            granted = self._granted = trio.Event()
            with trio.move_on_at(min(self._latest, trio.current_time() + STALL_SECONDS)):
                await granted.wait()
            self._reservations.reclaim()
        return None if self._waiter is None else _NO_ROOM

    def finish(self) -> None:
        """Release what is reserved beyond the received bytes, as the body is complete."""
        self._reservations.remove(self)
        self._withdraw()
        self._shrink()

    def release(self) -> None:
        """Release everything that is reserved."""
        self._reservations.remove(self)
        self._withdraw()
        self._reservations.count_received(0, -self._received)
        self._received = 0
        self._shrink()

    def reclaim(self, now: float) -> None:
        """Release what a stalled body has not received; it continues as one of unknown length."""
        if self._waiter is None and self._received < self._declared:
            expected = self._declared * (now - self._began_at - STALL_SECONDS) / self._time
            if self._received < expected:
                self._declared = 0
                self._shrink()

    def _take(self, size: int) -> bool:
        if not self._budget.take(Use.REQUEST, size, self._held):
            return False
        self._held += size
        return True

    def _take_or_wait(self, size: int) -> Failure | None:
        if self._take(size):
            return None
        if not self._budget.can_wait(Use.REQUEST, size):
            return _NO_ROOM
        self._waiter = self._budget.wait(Use.REQUEST, size, self._grant, self._held)
        return None

    def _grant(self) -> None:
        assert self._waiter is not None
        # The declared length includes the bytes received while waiting.
        surplus = self._held if self._declared else 0
        self._held += self._waiter.size - surplus
        self._waiter = None
        if self._granted is not None:
            self._granted.set()
        self._budget.release(Use.REQUEST, surplus)

    def _withdraw(self) -> None:
        if self._waiter is not None:
            self._budget.withdraw(self._waiter)
            self._waiter = None

    def _shrink(self) -> None:
        surplus = self._held - self._received
        self._held = self._received
        self._budget.release(Use.REQUEST, surplus)


class RequestReservations:
    """The reservations for all bodies of callers' requests."""

    def __init__(self, budget: ByteBudget, max_body_bytes: int, total_bytes: int) -> None:
        self.budget = budget
        self._max_body_bytes = max_body_bytes
        self._total_bytes = total_bytes
        self._received_bytes = 0
        self._incomplete: set[RequestReservation] = set()

    def open(self, declared: int, longest_wait: float, time: float) -> RequestReservation | Failure:
        """Return the reservation for a body, or why its request is refused."""
        failure = self._check(declared, declared)
        if failure is not None:
            return failure
        reservation = RequestReservation(self, declared, trio.current_time() + longest_wait, time)
        failure = reservation.begin()
        if failure is not None:
            return failure
        if declared:
            self._incomplete.add(reservation)
        return reservation

    def count_received(self, held: int, added: int) -> Failure | None:
        """Count bytes added to a body of ``held`` bytes; return a failure over a limit."""
        failure = self._check(held + added, added)
        if failure is None:
            self._received_bytes += added
        return failure

    def _check(self, size: int, added: int) -> Failure | None:
        if size > self._max_body_bytes:
            reason = f"request body exceeds {self._max_body_bytes} bytes"
            return Failure(ErrorKind.BODY_TOO_LARGE, reason)
        if self._received_bytes + added > self._total_bytes:
            reason = "request body buffers of the proxy are full"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
        return None

    def remove(self, reservation: RequestReservation) -> None:
        """Remove the reservation of a body that is complete or no longer wanted."""
        self._incomplete.discard(reservation)

    def reclaim(self) -> None:
        """Release what stalled bodies have reserved but not received."""
        now = trio.current_time()
        for reservation in tuple(self._incomplete):
            reservation.reclaim(now)
