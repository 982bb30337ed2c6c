"""How much of what a tenant asks the fleet may let in now, by what it let in of late.

Answers the load of one tenant that sends many times its usual from all zones at once. Each proxy
lets in the same part of what it is asked, so that what a tenant gets follows its callers, and
what was let in too much before the news came is taken back at once.
"""

from __future__ import annotations

from collections.abc import Sequence

from limelever.limits.rules import Limit, LimitRules
from limelever.limits.usage_window import UseWindow

NEAR = 0.7
"""Part of the aim from which proxies are told. Beyond it, a tenant whose calls multiply would pass
its limit before the news of that are round."""

HORIZON = 0.5
"""Seconds ahead for which the room is planned: two rounds of news."""

_NEAR_SLACK = 0.25
"""Part of the slack, in calls a second, by which a tenant's asking may pass its rate untold: the
calls of small tenants come in clumps."""

LARGEST_PERMILLE = 60_000


def allowed_permille(use: UseWindow, level: float, rate: float, aim: float, now: float) -> int:
    """Return the part of what is asked that may be let in, in permille; 0 for nothing.

    ``level`` are the calls that may come at once, below 0 where too many have, and ``rate`` those
    a second. ``aim`` bounds the calls of the window.
    """
    room = max(0.0, aim - use.admitted(now) + use.leaving(now, HORIZON))
    planned = min(room / HORIZON, max(0.0, rate + level / HORIZON))
    asked = use.asked_rate(now)
    if planned <= 0.0:
        return 0
    if planned >= asked * LARGEST_PERMILLE / 1000:
        return LARGEST_PERMILLE
    return int(1000 * planned / asked)


def must_be_told(
    parts: Sequence[UseWindow], rules: LimitRules, limit: Limit, aim: float, now: float
) -> bool:
    """Return whether proxies must be told of a tenant: near its limit, or refused of late.

    Its use is the sum of ``parts``.
    """
    if sum(use.admitted(now) for use in parts) > NEAR * aim:
        return True
    if any(use.was_refused(now) for use in parts):
        return True
    asked = sum(use.asked_rate(now) for use in parts)
    return asked > limit.rate + _NEAR_SLACK * rules.slack
