"""Assigns retry times to rejected callers, spread over the time in which slots become free.

Each rejected caller gets its own time, later than those assigned before. Retries are scheduled on a
part of the slots only, because new calls arrive in the meantime.
"""

from __future__ import annotations

RETRY_SLOT_RATIO = 0.25
"""Ratio of the slots on which retries are scheduled."""

MAX_RETRY_SECONDS = 2.0
"""Maximum retry delay, unless the expected wait for a slot is longer. An overload that lasts longer
cannot be predicted."""

MIN_RETRY_SECONDS = 0.1
"""Minimum retry delay."""


class RetrySchedule:
    """Retry times assigned to the rejected callers of one backend, in monotonic seconds."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._next_at = 0.0

    def reserve(self, wait: float, service_time: float, now: float) -> float:
        """Return the retry delay in seconds of a caller that is rejected now.

        ``wait`` is how long it would have had to wait for a slot, ``service_time`` how long a call
        of its kind holds one.
        """
        earliest = now + max(wait, MIN_RETRY_SECONDS)
        latest = max(earliest, now + MAX_RETRY_SECONDS)
        at = min(max(earliest, self._next_at), latest)
        self._next_at = at + service_time / (self._slots * RETRY_SLOT_RATIO)
        return at - now

    def reserve_start(self, wait: float, interval: float, now: float) -> float:
        """Return the retry delay in seconds of a caller rejected by a limit on starts.

        ``wait`` is when the limit next has a start that isn't promised to a waiting call, and
        ``interval`` the time between two starts. If more callers are rejected than the limit can
        take within ``MAX_RETRY_SECONDS``, they share those times: with one time for all of them
        they would come back in one wave.
        """
        earliest = now + max(wait, MIN_RETRY_SECONDS)
        at = max(earliest, self._next_at)
        if at > earliest + MAX_RETRY_SECONDS:
            at = earliest
        self._next_at = at + interval
        return at - now
