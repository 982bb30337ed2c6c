"""Reservations of memory for the bodies of requests, made before a listener receives them."""

from __future__ import annotations

from typing import Protocol

from limelever.common.errors import ErrorKind, Failure

RETRY_AFTER_SECONDS = 1.0


class BodyReservation(Protocol):
    """The reservation for one body; the listener receives nothing while it has to wait."""

    @property
    def must_wait(self) -> bool:
        """Return whether more bytes have to be reserved before more are received."""

    async def wait(self) -> Failure | None:
        """Wait until bytes are reserved; return a failure if none are in time."""

    def add(self, size: int) -> Failure | None:
        """Count ``size`` received bytes; return a failure over a limit."""

    def finish(self) -> None:
        """Release what is reserved beyond the received bytes, as the body is complete."""

    def release(self) -> None:
        """Release everything that is reserved."""


class BodyPool:
    """A limit on one body, and on all bodies of a listener together, without waiting."""

    def __init__(self, max_body_bytes: int, total_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.total_bytes = total_bytes
        self.held_bytes = 0


class PooledReservation:
    """A reservation in a :class:`BodyPool`, made as bytes arrive."""

    def __init__(self, pool: BodyPool) -> None:
        self._pool = pool
        self._size = 0

    @property
    def must_wait(self) -> bool:
        """Return false: bodies over the limit are refused at once."""
        return False

    async def wait(self) -> Failure | None:
        """Do nothing."""
        return None

    def add(self, size: int) -> Failure | None:
        """Count received bytes; return a failure over a limit."""
        pool = self._pool
        if self._size + size > pool.max_body_bytes:
            reason = f"body is over {pool.max_body_bytes} bytes"
            return Failure(ErrorKind.BODY_TOO_LARGE, reason)
        if pool.held_bytes + size > pool.total_bytes:
            reason = f"bodies of all requests are over {pool.total_bytes} bytes"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
        self._size += size
        pool.held_bytes += size
        return None

    def finish(self) -> None:
        """Do nothing: only received bytes are counted."""

    def release(self) -> None:
        """Release the counted bytes."""
        self._pool.held_bytes -= self._size
        self._size = 0
