"""The timers of a subscriber's link: each a time or unset, in seconds of the monotonic clock."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.deadlines import earliest


class Timers(Struct):
    """When to dial, probe, give up on an answer, look at staleness.

    ``behind`` is when a publisher that names newer versions and sends none is left.
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
        """Return the earliest of them, or ``None``."""
        return earliest(self.dial, self.probe, self.answer, self.stale, self.behind)


def reached(at: float | None, now: float) -> bool:
    """Return whether a timer is set and its time has come."""
    return at is not None and at <= now
