"""Counts of calls in the last window, by short slots of time, so that windows can be summed."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

SLOT = 0.25
"""Seconds: a count leaves the window by so much later at most, to the safe side."""

ASKED_SLOTS = 3
"""Full slots by which the rate of asking is told: long enough for some calls of small tenants."""

REFUSED_SLOTS = 8
"""Slots after a refusal in which proxies go on being told of a tenant."""


class SlotUse(Struct):
    """Calls of one slot."""

    admitted: int = 0
    refused: int = 0


class UseWindow:
    """One tenant's calls; ``now`` and ages are in seconds, monotonic."""

    def __init__(self, window: float) -> None:
        self._length = int(window / SLOT) + 1
        self._slots: dict[int, SlotUse] = {}
        self._admitted = 0
        self._dropped = -self._length

    @property
    def length(self) -> int:
        """Return the slots of the window, the current one included."""
        return self._length

    def admitted_in(self, slot: int) -> int:
        """Return the calls let in within one slot."""
        use = self._slots.get(slot)
        return use.admitted if use is not None else 0

    def add(self, at: float, admitted: int, refused: int) -> None:
        """Count calls at a time within the window."""
        self._add(int(at // SLOT), admitted, refused)

    def _add(self, slot: int, admitted: int, refused: int) -> None:
        if slot <= self._dropped:
            return
        use = self._slots.setdefault(slot, SlotUse())
        use.admitted += admitted
        use.refused += refused
        self._admitted += admitted

    def add_all(self, other: UseWindow) -> None:
        """Count another window's calls as well."""
        for slot, use in other._slots.items():
            self._add(slot, use.admitted, use.refused)

    def take_away(self, other: UseWindow) -> None:
        """Count another window's calls, which were added before, no more."""
        for slot, use in other._slots.items():
            if slot in self._slots:
                self._add(slot, -use.admitted, -use.refused)

    def admitted(self, now: float) -> int:
        """Return the calls let in within the window until now, or a slot more."""
        self._drop_old(now)
        return self._admitted

    def leaving(self, now: float, within: float) -> int:
        """Return how many of those are out of the window within the next seconds."""
        last = int((now + within) // SLOT) - self._length
        return sum(use.admitted for slot, use in self._slots.items() if slot <= last)

    def asked_rate(self, now: float) -> float:
        """Return the calls asked for a second, of late."""
        current = int(now // SLOT)
        slots = (self._slots.get(slot) for slot in range(current - ASKED_SLOTS, current + 1))
        asked = sum(use.admitted + use.refused for use in slots if use is not None)
        return asked / (now - (current - ASKED_SLOTS) * SLOT)

    def asked(self, now: float) -> int:
        """Return the calls asked for within the window until now, or a slot more."""
        self._drop_old(now)
        return sum(use.admitted + use.refused for use in self._slots.values())

    def was_refused(self, now: float) -> bool:
        """Return whether calls were refused of late."""
        oldest = int(now // SLOT) - REFUSED_SLOTS
        return any(use.refused for slot, use in self._slots.items() if slot >= oldest)

    def slots(self, now: float) -> Iterator[tuple[float, SlotUse]]:
        """Yield the age in seconds of each slot's end, and the calls in it."""
        self._drop_old(now)
        for slot, use in self._slots.items():
            yield max(0.0, now - (slot + 1) * SLOT), use

    def is_empty(self, now: float) -> bool:
        """Return whether nothing was asked within the window."""
        self._drop_old(now)
        return not self._slots

    def _drop_old(self, now: float) -> None:
        oldest = int(now // SLOT) - self._length
        if oldest == self._dropped:
            return
        self._dropped = oldest
        for slot in [slot for slot in self._slots if slot <= oldest]:
            self._admitted -= self._slots.pop(slot).admitted
