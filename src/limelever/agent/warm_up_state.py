"""What an agent knows of its back end's warm-up, from reports and health responses.

Made for reports that arrive every ``report_interval`` seconds, sometimes seconds late and out of
order, while the back end may turn cold at any moment between two of them. An instance that is sent
its usual load while it is cold fails its callers, so whatever is not known counts as warming up.
"""

from __future__ import annotations

import math
from enum import Enum

from msgspec import Struct

MISSED_REPORTS = 2
"""Report intervals without a report after which a warm back end may have turned cold unnoticed."""

IDLE_SECONDS = 1.0
"""Pause between calls after which a warm back end may have turned cold unnoticed.

It is the span in which calls are counted. A shorter pause leaves calls of the last span.
"""

SUSPENSION_SECONDS = 2.0
"""Time without any event, although a timer was due, after which the process counts as suspended.

A pause below this is covered by ``IDLE_SECONDS``, since no call was started during it.
"""

TICK_SECONDS = 1.0
"""Interval of the timer by which a suspension is noticed."""

SETTLE_SECONDS = 0.5
"""Time after a reset in which a report of a warm back end is ignored.

Reports that the system queued while the process was suspended are read within this time.
"""

RESTART_REPORTS = 3
"""Ascending reports below the last sequence that mean that the back end numbers them anew.

Late reports come between newer ones; these have come alone for ``MISSED_REPORTS`` intervals.
"""

_NO_SEQUENCE = -math.inf


class StartLimit(Enum):
    """Which limit applies to the calls that are started at the back end."""

    NONE = "warm"
    SPAN = "unconfirmed"
    """The back end was warm when it last reported; only the calls in any second are limited."""

    BUCKET = "warming"
    """The back end warms up, or its state is not known."""


class WarmUpSnapshot(Struct, frozen=True):
    """State at one time; ``left`` is the remaining warm-up time in seconds, 0 if not known."""

    limit: StartLimit
    known: bool
    left: float = 0.0


class WarmUpState:
    """Known warm-up state of one run of a back end; times are monotonic seconds."""

    def __init__(self, report_interval: float) -> None:
        self._silence_limit = report_interval * MISSED_REPORTS
        self._sequences = _Sequences(self._silence_limit)
        self._known = False
        self._reported_warm_at = 0.0
        self._probed_warm_at = -math.inf
        self._stated_at = -math.inf
        self._settled_at = -math.inf
        self._last_start = -math.inf
        self._unconfirmed = False
        self._last_event: float | None = None

    def report(self, sequence: int, left: float, now: float) -> None:
        """Apply a report; one that is late by its sequence is ignored.

        A report doesn't shorten the time stated by a health response: responses are prompt, and a
        report that contradicts one was sent before it.
        """
        if not self._sequences.is_newer(sequence, now):
            return
        if self._accepts(left, now):
            self._reported_warm_at = now + left
            self._set_stated(now)

    def probe(self, left: float, now: float) -> None:
        """Apply the remaining time of a health response, which is newer than any report."""
        if self._accepts(left, now):
            self._reported_warm_at = self._probed_warm_at = now + left
            self._set_stated(now)

    def reset(self, now: float) -> None:
        """Return to "not known" until the next report."""
        self._known = False
        self._probed_warm_at = -math.inf
        self._settled_at = now + SETTLE_SECONDS

    def unconfirm(self) -> None:
        """Limit the calls in any second until the next report: another process may answer.

        A connection also breaks, or is refused, at a back end that goes on running, so the lower
        rate of a cold one applies only once the process is known to have ended.
        """
        self._unconfirmed = True

    def observe_event(self, now: float) -> bool:
        """Record that the process runs; return whether it was suspended, which resets the state."""
        last, self._last_event = self._last_event, now
        suspended = last is not None and now - last > SUSPENSION_SECONDS
        if suspended:
            self.reset(now)
        return suspended

    def next_tick(self) -> float | None:
        """Return when :meth:`observe_event` is needed at the latest."""
        return None if self._last_event is None else self._last_event + TICK_SECONDS

    def call_started(self, now: float) -> None:
        """Record that a call was started at the back end."""
        if now - self._last_start > IDLE_SECONDS:
            self._unconfirmed = True
        self._last_start = now

    def at(self, now: float) -> WarmUpSnapshot:
        """Return the state at ``now``."""
        if not self._known:
            return WarmUpSnapshot(StartLimit.BUCKET, known=False)
        warm_at = max(self._reported_warm_at, self._probed_warm_at)
        if now < warm_at:
            return WarmUpSnapshot(StartLimit.BUCKET, known=True, left=warm_at - now)
        silent = now > self._stated_at + self._silence_limit
        unconfirmed = silent or self._unconfirmed
        return WarmUpSnapshot(StartLimit.SPAN if unconfirmed else StartLimit.NONE, known=True)

    def _accepts(self, left: float, now: float) -> bool:
        return left > 0 or now >= self._settled_at

    def _set_stated(self, now: float) -> None:
        self._known = True
        self._stated_at = now
        self._unconfirmed = False


class _Sequences:
    """Tells new reports from late ones by their sequence; times are monotonic seconds."""

    def __init__(self, silence_limit: float) -> None:
        self._silence_limit = silence_limit
        self._last = _NO_SEQUENCE
        self._accepted_at = -math.inf
        self._lower = _NO_SEQUENCE
        self._lower_count = 0

    def is_newer(self, sequence: int, now: float) -> bool:
        """Return whether a report is newer than those before it, and remember it if it is."""
        if sequence <= self._last and not self._is_restart(sequence, now):
            return False
        self._last, self._accepted_at = sequence, now
        self._lower, self._lower_count = _NO_SEQUENCE, 0
        return True

    def _is_restart(self, sequence: int, now: float) -> bool:
        self._lower_count = self._lower_count + 1 if sequence > self._lower else 1
        self._lower = sequence
        silent = now > self._accepted_at + self._silence_limit
        return silent and self._lower_count >= RESTART_REPORTS
