"""Writes log lines to a descriptor without blocking on its reader.

Lines that don't fit into a full pipe are buffered up to a limit. Lines beyond it are dropped and
counted, and the count is logged once there is room again.
"""

from __future__ import annotations

import os
import stat
from collections import deque
from collections.abc import Callable

HELD_BYTES_LIMIT = 256 * 1024
"""Bytes of lines that are buffered for a full pipe."""


class LogStream:
    """Lines to one descriptor; ``dropped_line`` formats the line that reports dropped ones."""

    def __init__(self, descriptor: int, dropped_line: Callable[[int], str]) -> None:
        self._descriptor = descriptor
        self._dropped_line = dropped_line
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._dropped = 0
        self._broken = False
        if _may_fill_up(descriptor):
            os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, hold it, or drop it."""
        data = line.encode()
        if self._held_bytes + len(data) > HELD_BYTES_LIMIT:
            self._dropped += 1
        else:
            self._hold(data)
        self.flush()

    def flush(self) -> None:
        """Write what is held, as far as the reader has made room."""
        while self._held and not self._broken:
            data = self._held.popleft()
            self._held_bytes -= len(data)
            written = self._write_some(data)
            if written < len(data):
                self._held.appendleft(data[written:])
                self._held_bytes += len(data) - written
                return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._hold(self._dropped_line(dropped).encode())

    def _hold(self, data: bytes) -> None:
        self._held.append(data)
        self._held_bytes += len(data)

    def _write_some(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            self._broken = True
            return 0


def _may_fill_up(descriptor: int) -> bool:
    """Return whether writes to a descriptor may wait for a reader: to files they do not."""
    try:
        mode = os.fstat(descriptor).st_mode
    except OSError:
        return False
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
