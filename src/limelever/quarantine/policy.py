"""When a request is convicted, and for how long it is kept from back ends."""

from __future__ import annotations

CONVICTING_CRASHES = 3
"""Ends of back ends under one request, each but the first of a call that was sent after the one
before, none of them cleared by an answer. A single end has up to as many suspects as the back end
had slots; that a sound request shares three in a row is what remains of the error."""

FIRST_QUARANTINE = 120.0
"""Seconds after the crash that convicts. The next attempt costs an instance if the request is
deadly, and is what a request convicted by mistake waits for: a choice between the two."""

LONGEST_QUARANTINE = 3600.0
"""Seconds; each further crash doubles the time up to here."""

SUSPICION_KEPT = 600.0
"""Seconds after its last crash for which a request is suspected: it may come again slowly."""

_PROBATION_FACTOR = 4.0
"""Times its quarantine for which a convicted request is remembered, so that one more crash convicts
it again, for longer."""


def quarantine_time(crashes: int) -> float:
    """Return the least seconds for which a request with so many crashes is kept away."""
    doublings = min(max(0, crashes - CONVICTING_CRASHES), 30)
    return min(LONGEST_QUARANTINE, FIRST_QUARANTINE * 2.0**doublings)


def kept_time(crashes: int) -> float:
    """Return the seconds after the last crash for which so many are remembered."""
    if crashes < CONVICTING_CRASHES:
        return SUSPICION_KEPT
    return max(SUSPICION_KEPT, _PROBATION_FACTOR * quarantine_time(crashes))
