"""Batching of changes: sent at once after a pause, then at most one batch per delay."""

from __future__ import annotations


class BatchTimer:
    """Limits batches to one per ``delay``; times and the delay are in seconds.

    The first change after a pause is not delayed. A delay from the first change on would add up
    over all publishers on the path, and save nothing where changes are further apart than it.
    """

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self._sent_at: float | None = None
        self.due_at: float | None = None

    def note(self, now: float) -> None:
        """Record that there is a change to send."""
        if self.due_at is not None:
            return
        earliest = now if self._sent_at is None else self._sent_at + self._delay
        self.due_at = max(now, earliest)

    def due(self, now: float) -> bool:
        """Return whether the pending changes are to be sent now."""
        return self.due_at is not None and self.due_at <= now

    def taken(self) -> None:
        """Record that the pending changes are being sent, or that there are none."""
        self.due_at = None

    def sent(self, now: float) -> None:
        """Record that a batch was sent; the next one follows after the delay."""
        self._sent_at = now
