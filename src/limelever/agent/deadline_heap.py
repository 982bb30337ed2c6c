"""A heap of deadlines that supports removal of members."""

from __future__ import annotations

import heapq

_COMPACTION_SLACK = 64
"""Excess of stale entries over members from which the heap is rebuilt."""


class DeadlineHeap:
    """Deadlines by member number, in monotonic seconds.

    Removing a member leaves a stale heap entry behind. The heap is rebuilt when stale entries
    outnumber the members, which bounds its memory.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._deadline_of: dict[int, float] = {}

    def add(self, number: int, deadline: float) -> None:
        """Add a member."""
        self._deadline_of[number] = deadline
        heapq.heappush(self._heap, (deadline, number))

    def remove(self, number: int) -> None:
        """Remove a member; unknown numbers are ignored."""
        self._deadline_of.pop(number, None)
        if len(self._heap) > 2 * len(self._deadline_of) + _COMPACTION_SLACK:
            self._heap = [(deadline, item) for item, deadline in self._deadline_of.items()]
            heapq.heapify(self._heap)

    def earliest(self) -> float | None:
        """Return the earliest deadline of a member, or ``None`` if there is none."""
        self._discard_stale_entries()
        return self._heap[0][0] if self._heap else None

    def pop_expired(self, now: float) -> tuple[int, ...]:
        """Remove and return the members whose deadline is not after ``now``."""
        expired: list[int] = []
        self._discard_stale_entries()
        while self._heap and self._heap[0][0] <= now:
            _, number = heapq.heappop(self._heap)
            del self._deadline_of[number]
            expired.append(number)
            self._discard_stale_entries()
        return tuple(expired)

    def _discard_stale_entries(self) -> None:
        while self._heap and self._heap[0][1] not in self._deadline_of:
            heapq.heappop(self._heap)
