"""Writes the responses of one HTTP/1.1 connection.

They are written by the task that delivers them, in one system call if the socket buffer has room.
A separate task sends what does not fit.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Protocol

import trio

from limelever.transport.http_pipeline import UNREAD_LIMIT_BYTES
from limelever.transport.send_limits import time_to_send
from limelever.transport.streams import send_parts_without_waiting
from limelever.transport.unread_responses import PART_BYTES, UnreadPool

_SEND_BYTES = 1 << 18


class WriterOwner(Protocol):
    """The connection whose responses are written."""

    def count_untaken(self, size: int) -> None:
        """Count response bytes that the client has not read yet; negative once it has."""

    def all_written(self) -> None:
        """Handle that nothing is left to be sent."""

    def write_failed(self) -> None:
        """Handle that the client cannot receive responses, or does not read them in time."""


def _memory_of(parts: Iterable[bytes | memoryview]) -> int:
    return sum(len(part) + PART_BYTES for part in parts)


class ResponseWriter:
    """Sends bytes in order; ``broken`` is set once the client cannot receive any more.

    ``read_at`` is when the client last read something, monotonic seconds.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        nursery: trio.Nursery,
        owner: WriterOwner,
        unread: UnreadPool | None = None,
    ) -> None:
        self.broken = False
        self.read_at = trio.current_time()
        self._unread = unread or UnreadPool()
        self._unread_bytes = 0
        self._queued: list[bytes] = []
        self._queued_bytes = 0
        self._sending = trio.CancelScope()
        self._stream = stream
        self._nursery = nursery
        self._owner = owner
        self._outgoing: deque[memoryview] = deque()
        self._flushed: trio.Event | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether bytes wait to be sent."""
        return self._flushed is not None

    async def wait_flushed(self) -> None:
        """Wait until nothing is left to be sent, or the client cannot receive any more."""
        if self._flushed is not None:
            await self._flushed.wait()

    @property
    def must_wait(self) -> bool:
        """Return whether the client has to read responses before it may send requests."""
        return self._unread_bytes > UNREAD_LIMIT_BYTES

    @property
    def unread_bytes(self) -> int:
        """Return the memory of the responses that are queued, or that the client has not read."""
        return self._unread_bytes + self._queued_bytes

    def queue(self, parts: tuple[bytes, ...]) -> None:
        """Add parts that the next flush writes together."""
        self._queued += parts
        self._queued_bytes += _memory_of(parts)

    def flush(self) -> bool:
        """Write what is queued; return whether anything was."""
        if not self._queued:
            return False
        queued, self._queued, self._queued_bytes = self._queued, [], 0
        self.write(queued)
        return True

    def write(self, parts: list[bytes]) -> None:
        """Send bytes; a separate task sends what does not fit into the socket buffer."""
        if self._flushed is not None:
            self._append([memoryview(part) for part in parts if part])
            return
        unsent = send_parts_without_waiting(self._stream, parts)
        self._owner.count_untaken(sum(map(len, unsent)) - sum(map(len, parts)))
        if unsent:
            self.read_at = trio.current_time()
            self._sending = trio.CancelScope()
            self._flushed = trio.Event()
            self._append(unsent)
            self._nursery.start_soon(self._write_rest, self._flushed)

    def abort(self) -> None:
        """Stop sending: the client does not read its responses."""
        self._sending.cancel()

    def close(self) -> None:
        """Drop what is left to be sent."""
        self._outgoing.clear()
        self._unread.remove(self._unread_bytes)
        self._unread_bytes = 0
        self._unread.forget(self)

    def _append(self, parts: list[memoryview]) -> None:
        self._outgoing.extend(parts)
        size = _memory_of(parts)
        self._unread_bytes += size
        self._unread.add(self, size)

    async def _write_rest(self, flushed: trio.Event) -> None:
        with self._sending:
            while self._outgoing and not self.broken:
                await self._write_next()
        self._flushed = None
        flushed.set()
        if self._sending.cancelled_caught:
            self.broken = True
            self._owner.write_failed()
        if not self.broken:
            self._unread.forget(self)
            self._owner.all_written()

    async def _write_next(self) -> None:
        data = self._outgoing.popleft()
        try:
            with trio.fail_after(time_to_send(len(data))):
                await self._send_all(data)
        except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError):
            self.broken = True
            self._owner.write_failed()
        finally:
            self._owner.count_untaken(-len(data))
        size = min(len(data) + PART_BYTES, self._unread_bytes)
        self._unread_bytes -= size
        self._unread.remove(size)

    async def _send_all(self, data: memoryview) -> None:
        """Send bytes in parts: over TLS, a copy of each part is encrypted whole."""
        while data:
            await self._stream.send_all(data[:_SEND_BYTES])
            self.read_at = trio.current_time()
            data = data[_SEND_BYTES:]
