"""A heap of deadlines that members may leave early."""

from __future__ import annotations

import heapq

_COMPACT_FROM = 64


class DeadlineHeap:
    """Deadlines by number, in monotonic seconds.

    A removed member leaves its heap entry behind; the heap is rebuilt when such entries
    outnumber the members, so memory stays within twice the members.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._deadline_of: dict[int, float] = {}

    def add(self, number: int, deadline: float) -> None:
        """Add a member."""
        self._deadline_of[number] = deadline
        heapq.heappush(self._heap, (deadline, number))

    def remove(self, number: int) -> None:
        """Take a member out; unknown numbers are ignored."""
        self._deadline_of.pop(number, None)
        if len(self._heap) > 2 * len(self._deadline_of) + _COMPACT_FROM:
            self._heap = [(deadline, item) for item, deadline in self._deadline_of.items()]
            heapq.heapify(self._heap)

    def earliest(self) -> float | None:
        """Return the earliest deadline of a member."""
        self._drop_removed()
        return self._heap[0][0] if self._heap else None

    def expired(self, now: float) -> tuple[int, ...]:
        """Take out the members whose deadline is not after ``now``."""
        expired: list[int] = []
        self._drop_removed()
        while self._heap and self._heap[0][0] <= now:
            _, number = heapq.heappop(self._heap)
            del self._deadline_of[number]
            expired.append(number)
            self._drop_removed()
        return tuple(expired)

    def _drop_removed(self) -> None:
        while self._heap and self._heap[0][1] not in self._deadline_of:
            heapq.heappop(self._heap)
