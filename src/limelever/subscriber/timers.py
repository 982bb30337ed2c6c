"""Timers of a subscriber's link, in seconds of the monotonic clock; ``None`` if unset."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.deadlines import earliest


class Timers(Struct):
    """When to dial, to send a probe, to time out an answer, and to count a publisher as stale.

    ``behind`` is when the link to a publisher that names newer versions and sends none is closed.
    """

    dial: float | None = None
    probe: float | None = None
    answer: float | None = None
    stale: float | None = None
    behind: float | None = None

    def forget_link(self) -> None:
        """Unset the timers that belong to a link."""
        self.probe = self.answer = self.stale = self.behind = None

    def next_deadline(self) -> float | None:
        """Return the earliest timer, or ``None`` if all are unset."""
        return earliest(self.dial, self.probe, self.answer, self.stale, self.behind)


def reached(at: float | None, now: float) -> bool:
    """Return whether a timer is set and its time has come."""
    return at is not None and at <= now
