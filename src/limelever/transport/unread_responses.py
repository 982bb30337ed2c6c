"""A limit on the responses of a listener that its clients do not read.

Decides, under clients that send requests and read no responses, whose connection is closed. Others
need memory for their own responses: over the limit, the connection is closed whose client has read
nothing for the longest time, if that is long for a client that reads at all.
"""

from __future__ import annotations

from typing import Protocol

import trio

from limelever.transport.events import UNREAD_CLOSED
from limelever.transport.log import write_event

DEFAULT_TOTAL_BYTES = 8 << 20
"""Memory for the unread responses of a listener."""

PART_BYTES = 256
"""Memory of a part of a response besides its bytes."""

STALL_SECONDS = 5.0
"""Time without a part read after which a client counts as stalled; a slow one takes 4 s for it."""


class UnreadResponses(Protocol):
    """The responses that one client has not read."""

    @property
    def read_at(self) -> float:
        """Return when the client last read something, monotonic seconds."""

    def abort(self) -> None:
        """Close the connection."""


class UnreadPool:
    """The unread responses of a listener's clients, within ``total_bytes``."""

    def __init__(self, total_bytes: int = DEFAULT_TOTAL_BYTES) -> None:
        self.held_bytes = 0
        self._total_bytes = total_bytes
        self._waiting: set[UnreadResponses] = set()

    def add(self, responses: UnreadResponses, size: int) -> None:
        """Count bytes that wait to be read; over the limit, close a stalled connection."""
        self.held_bytes += size
        self._waiting.add(responses)
        if self.held_bytes > self._total_bytes:
            self._close_stalled()

    def _close_stalled(self) -> None:
        longest = min(self._waiting, key=lambda each: each.read_at)
        silent = trio.current_time() - longest.read_at
        if silent >= STALL_SECONDS:
            self._waiting.discard(longest)
            fields: dict[str, object] = {"silent_s": silent, "unread_bytes": self.held_bytes}
            write_event(UNREAD_CLOSED, fields)
            longest.abort()

    def remove(self, size: int) -> None:
        """Release bytes that were read, or dropped."""
        self.held_bytes -= size

    def forget(self, responses: UnreadResponses) -> None:
        """Note that nothing waits for a client any more."""
        self._waiting.discard(responses)
