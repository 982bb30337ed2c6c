"""Sliding window of call counts in fixed time slots; windows of several sources can be merged."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

SLOT_SECONDS = 0.25
"""Length of a slot. Counts leave the window up to one slot late, but never early."""

RATE_SLOTS = 3
"""Complete slots, besides the current one, over which the request rate is averaged. Fewer would
make the rate of small tenants too noisy."""

REFUSAL_SLOTS = 8
"""Slots before the current one in which a refusal counts as recent."""


class SlotCounts(Struct):
    """Call counts of one slot."""

    admitted: int = 0
    refused: int = 0


class UsageWindow:
    """Call counts of one tenant; times are seconds of the monotonic clock."""

    def __init__(self, window: float) -> None:
        self._slot_count = int(window / SLOT_SECONDS) + 1
        self._slots: dict[int, SlotCounts] = {}
        self._admitted = 0
        self._last_expired = -self._slot_count

    @property
    def slot_count(self) -> int:
        """Return the number of slots in the window, including the current one."""
        return self._slot_count

    def admitted_in(self, slot: int) -> int:
        """Return the calls admitted in one slot."""
        counts = self._slots.get(slot)
        return counts.admitted if counts is not None else 0

    def add(self, at: float, admitted: int, refused: int) -> None:
        """Add calls at a time within the window."""
        self._add(int(at // SLOT_SECONDS), admitted, refused)

    def _add(self, slot: int, admitted: int, refused: int) -> None:
        if slot <= self._last_expired:
            return
        counts = self._slots.setdefault(slot, SlotCounts())
        counts.admitted += admitted
        counts.refused += refused
        self._admitted += admitted

    def merge(self, other: UsageWindow) -> None:
        """Add the calls of another window."""
        for slot, counts in other._slots.items():
            self._add(slot, counts.admitted, counts.refused)

    def subtract(self, other: UsageWindow) -> None:
        """Remove the calls of another window that was merged before."""
        for slot, counts in other._slots.items():
            if slot in self._slots:
                self._add(slot, -counts.admitted, -counts.refused)

    def admitted(self, now: float) -> int:
        """Return the calls admitted in the window."""
        self._drop_expired(now)
        return self._admitted

    def expiring(self, now: float, within: float) -> int:
        """Return the admitted calls that leave the window within the given seconds."""
        last = int((now + within) // SLOT_SECONDS) - self._slot_count
        return sum(counts.admitted for slot, counts in self._slots.items() if slot <= last)

    def request_rate(self, now: float) -> float:
        """Return the recent rate of requested calls a second, admitted or refused."""
        current = int(now // SLOT_SECONDS)
        slots = (self._slots.get(slot) for slot in range(current - RATE_SLOTS, current + 1))
        requested = sum(counts.admitted + counts.refused for counts in slots if counts is not None)
        return requested / (now - (current - RATE_SLOTS) * SLOT_SECONDS)

    def requested(self, now: float) -> int:
        """Return the calls requested in the window, admitted or refused."""
        self._drop_expired(now)
        return sum(counts.admitted + counts.refused for counts in self._slots.values())

    def has_recent_refusals(self, now: float) -> bool:
        """Return whether calls were refused in the current or the last ``REFUSAL_SLOTS`` slots."""
        oldest = int(now // SLOT_SECONDS) - REFUSAL_SLOTS
        return any(counts.refused for slot, counts in self._slots.items() if slot >= oldest)

    def slots(self, now: float) -> Iterator[tuple[float, SlotCounts]]:
        """Yield the seconds since the end of each slot, and its counts."""
        self._drop_expired(now)
        for slot, counts in self._slots.items():
            yield max(0.0, now - (slot + 1) * SLOT_SECONDS), counts

    def is_empty(self, now: float) -> bool:
        """Return whether no calls were requested in the window."""
        self._drop_expired(now)
        return not self._slots

    def _drop_expired(self, now: float) -> None:
        last = int(now // SLOT_SECONDS) - self._slot_count
        if last == self._last_expired:
            return
        self._last_expired = last
        for slot in [slot for slot in self._slots if slot <= last]:
            self._admitted -= self._slots.pop(slot).admitted
