"""How much of what a tenant asks the fleet may let in now, by what it let in of late.

Answers the load of one tenant that sends many times its usual from all zones at once. Each proxy
lets in the same part of what it is asked, so that what a tenant gets follows its callers, and what
was let in too much before the news came is taken back within the window.
"""

from __future__ import annotations

from collections.abc import Sequence

from limelever.limits.use_window import UseWindow

NEAR = 0.7
"""Part of the aim from which proxies are told. Beyond it, a tenant whose calls multiply would pass
its limit before the news of that are round."""

HORIZON = 0.5
"""Seconds ahead for which the room is planned: two rounds of news."""

_STEEPEST = 1.25
"""Most that is planned for a tenant beyond its limit, as a part of what that allows on average:
without it, what it got at once at first would be given out at once again, each window anew."""

LARGEST_PERMILLE = 60_000


def allowed_permille(use: UseWindow, aim: float, window: float, now: float) -> int:
    """Return the part of what is asked that may be let in, in permille; 0 for nothing.

    ``aim`` are the calls that the proxies whose use this is may let in within ``window`` seconds.
    """
    room = max(0.0, aim - use.admitted(now) + use.leaving(now, HORIZON))
    planned = room / HORIZON
    if use.asked(now) > aim:
        planned = min(planned, _STEEPEST * aim / window)
    asked = use.asked_rate(now)
    if planned >= asked * LARGEST_PERMILLE / 1000:
        return LARGEST_PERMILLE
    return int(1000 * planned / asked)


def must_be_told(parts: Sequence[UseWindow], aim: float, now: float) -> bool:
    """Return whether proxies must be told of a tenant: near its limit, or refused of late.

    Its use is the sum of ``parts``.
    """
    if sum(use.admitted(now) for use in parts) > NEAR * aim:
        return True
    return any(use.was_refused(now) for use in parts)
