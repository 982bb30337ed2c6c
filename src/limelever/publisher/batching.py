"""When gathered changes go out: at once after a pause, then at most one batch a delay."""

from __future__ import annotations


class BatchTimer:
    """Bounds the batches to one in ``delay``; times and the delay are in seconds.

    The first change after a pause does not wait. Waiting from the first change on would hold up
    each change by the delay, at every publisher on its way, and save nothing where changes
    are further apart than that.
    """

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self._sent_at: float | None = None
        self.due_at: float | None = None

    def note(self, now: float) -> None:
        """Note that there is a change to send."""
        if self.due_at is not None:
            return
        earliest = now if self._sent_at is None else self._sent_at + self._delay
        self.due_at = max(now, earliest)

    def due(self, now: float) -> bool:
        """Return whether what was gathered is to go out now."""
        return self.due_at is not None and self.due_at <= now

    def taken(self) -> None:
        """Note that what was gathered is being sent, or turned out to be nothing."""
        self.due_at = None

    def sent(self, now: float) -> None:
        """Note that a batch went out to somebody: the next follows after the delay."""
        self._sent_at = now
