"""Limits the rate of events that clients cause, one for each connection."""

from __future__ import annotations

import math

import trio

from limelever.transport.log import count_event, write_event

LINES_PER_INTERVAL = 10
"""Lines that are written in an interval; single clients are all named."""

INTERVAL_SECONDS = 1.0


class RepeatedEvent:
    """Writes one event a few times a second at most.

    A line has the fields of the last connection, and as ``connections`` how many there were since
    the line before. The metric of events counts each connection.
    """

    def __init__(self, code: int) -> None:
        self._code = code
        self._connections = 0
        self._lines = 0
        self._interval_ends = -math.inf

    def write(self, fields: dict[str, object]) -> None:
        """Write the event, or count it for the next line."""
        self._connections += 1
        now = trio.current_time()
        if now >= self._interval_ends:
            self._interval_ends = now + INTERVAL_SECONDS
            self._lines = 0
        if self._lines >= LINES_PER_INTERVAL:
            count_event(self._code)
            return
        self._lines += 1
        write_event(self._code, {**fields, "connections": self._connections})
        self._connections = 0
