"""When a request is quarantined, and for how long."""

from __future__ import annotations

QUARANTINE_THRESHOLD = 3
"""Consecutive crashes after which a request is quarantined. Each must hit a call that was sent
after the crash before it, and a successful answer clears them all. A single crash implicates every
request that was running at the back end; a harmless request is rarely at three in a row."""

INITIAL_QUARANTINE = 120.0
"""Seconds after the last crash. Limits how often a harmful request crashes another back end, but
also delays a harmless one that was quarantined by mistake."""

MAX_QUARANTINE = 3600.0
"""Seconds; each further crash doubles the duration up to this limit."""

RECORD_RETENTION = 600.0
"""Seconds after the last crash for which a request below the threshold is remembered."""

_QUARANTINED_RETENTION_FACTOR = 4.0
"""Retention of a quarantined request as a multiple of its quarantine, so that one more crash
quarantines it again, for longer."""


def quarantine_duration(crashes: int) -> float:
    """Return the least seconds of quarantine after a number of consecutive crashes."""
    doublings = min(max(0, crashes - QUARANTINE_THRESHOLD), 30)
    return min(MAX_QUARANTINE, INITIAL_QUARANTINE * 2.0**doublings)


def retention(crashes: int) -> float:
    """Return the seconds after the last crash for which a record of that many crashes is kept."""
    if crashes < QUARANTINE_THRESHOLD:
        return RECORD_RETENTION
    return max(RECORD_RETENTION, _QUARANTINED_RETENTION_FACTOR * quarantine_duration(crashes))
