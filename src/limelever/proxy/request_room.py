"""Room in the process's budget for the bodies of callers' requests.

Decides under bursts of uploads and slow callers. A body of stated length is received once there is
room for all of it, so that bodies which have begun can finish; one in chunks gets room step by
step. Callers that wait are not read from. Each wait is bounded, so that a refusal leaves time to
try elsewhere, and a body whose bytes do not come gives its room to those that wait.
"""

from __future__ import annotations

import trio

from limelever.common.byte_budget import SMALL_BYTES, ByteBudget, Use, Waiter
from limelever.common.errors import ErrorKind, Failure

STEP_BYTES = 1 << 20
"""Room that a body in chunks gets at a time."""

STALL_SECONDS = 1.0
"""How far a body may fall behind the pace at which it would arrive in its time."""

RETRY_AFTER_SECONDS = 1.0

_NO_ROOM = Failure(
    ErrorKind.OVERLOADED,
    "the proxy has no room for the request body",
    retry_after=RETRY_AFTER_SECONDS,
)


class RequestRoom:
    """Room for one body; times in seconds, monotonic.

    ``stated`` is its length, 0 if unknown. It waits until ``latest`` at most, and has ``time`` to
    arrive.
    """

    def __init__(self, rooms: RequestRooms, stated: int, latest: float, time: float) -> None:
        self._rooms = rooms
        self._budget = rooms.budget
        self._stated = stated
        self._latest = latest
        self._time = time
        self._received = 0
        self._held = 0
        self._waiter: Waiter | None = None
        self._granted: trio.Event | None = None
        self._began_at = trio.current_time()

    @property
    def must_wait(self) -> bool:
        """Return whether there is no room yet for more of the body."""
        return self._waiter is not None

    def begin(self) -> Failure | None:
        """Take the room for a stated length, or wait for it; a failure if that makes no sense."""
        if not self._stated or self._take(self._stated):
            return None
        self._rooms.reclaim()
        return self._take_or_wait(self._stated)

    def add(self, size: int) -> Failure | None:
        """Count received bytes; return a failure over a limit."""
        failure = self._rooms.count(self._received, size)
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
        self._rooms.reclaim()
        return self._take_or_wait(STEP_BYTES)

    async def wait(self) -> Failure | None:
        """Wait until there is room; return a failure if there is none in time."""
        while self._waiter is not None and trio.current_time() < self._latest:
            granted = self._granted = trio.Event()
            with trio.move_on_at(min(self._latest, trio.current_time() + STALL_SECONDS)):
                await granted.wait()
            self._rooms.reclaim()
        return None if self._waiter is None else _NO_ROOM

    def finish(self) -> None:
        """Release the room beyond the received bytes, as the body is complete."""
        self._rooms.remove(self)
        self._withdraw()
        self._shrink()

    def release(self) -> None:
        """Release the received bytes, and the room for those that have not arrived."""
        self._rooms.remove(self)
        self._withdraw()
        self._rooms.count(0, -self._received)
        self._received = 0
        self._shrink()

    def reclaim(self, now: float) -> None:
        """Release the room for bytes that are late: the body goes on as one of unknown length."""
        if self._waiter is None and self._received < self._stated:
            expected = self._stated * (now - self._began_at - STALL_SECONDS) / self._time
            if self._received < expected:
                self._stated = 0
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
        # What was received meanwhile is part of a stated length.
        surplus = self._held if self._stated else 0
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


class RequestRooms:
    """The bodies of callers' requests that a proxy receives or holds."""

    def __init__(self, budget: ByteBudget, max_body_bytes: int, total_bytes: int) -> None:
        self.budget = budget
        self._max_body_bytes = max_body_bytes
        self._total_bytes = total_bytes
        self._received_bytes = 0
        self._incomplete: set[RequestRoom] = set()

    def open(self, stated: int, longest_wait: float, time: float) -> RequestRoom | Failure:
        """Return room for a body, or a failure if it is refused before it is received."""
        failure = self._check(stated, stated)
        if failure is not None:
            return failure
        room = RequestRoom(self, stated, trio.current_time() + longest_wait, time)
        failure = room.begin()
        if failure is not None:
            return failure
        if stated:
            self._incomplete.add(room)
        return room

    def count(self, held: int, added: int) -> Failure | None:
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

    def remove(self, room: RequestRoom) -> None:
        """Forget a body that is complete or no longer wanted."""
        self._incomplete.discard(room)

    def reclaim(self) -> None:
        """Release the room for bytes that are late."""
        now = trio.current_time()
        for room in tuple(self._incomplete):
            room.reclaim(now)
