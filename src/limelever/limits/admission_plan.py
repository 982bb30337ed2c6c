"""Computes which fraction of a tenant's requested calls the fleet may admit, from recent usage.

All proxies admit the same fraction, so that calls are admitted in proportion to where they arrive.
Calls that were admitted beyond the limit lower the next fraction.
"""

from __future__ import annotations

from collections.abc import Sequence

from limelever.limits.rules import Limit, LimitRules
from limelever.limits.usage_window import UsageWindow

NEAR_LIMIT_FRACTION = 0.7
"""Fraction of the target from which proxies receive updates for a tenant. Leaves room for a rise in
load until the updates arrive."""

PLANNING_HORIZON = 0.5
"""Seconds for which a fraction is planned, and after which the next update counts as late. Longer
than the keepalive interval."""

_REQUEST_RATE_SLACK_FRACTION = 0.25
"""Requested calls a second above the limit's rate from which proxies receive updates, as a fraction
of the slack; the calls of small tenants are bursty."""

MAX_PERMILLE = 60_000
"""Highest value sent to proxies. More than 1000 permits a rise above the current request rate."""


def admission_permille(
    usage: UsageWindow, tokens: float, rate: float, target: float, now: float
) -> int:
    """Return how many calls may be admitted for each 1000 requested recently; may exceed 1000.

    ``tokens`` and ``rate`` are the level of the tenant's token bucket, negative for a debt, and its
    refill rate in calls a second. ``target`` is the most calls to admit in the window.
    """
    room = max(0.0, target - usage.admitted(now) + usage.expiring(now, PLANNING_HORIZON))
    planned_rate = min(room / PLANNING_HORIZON, max(0.0, rate + tokens / PLANNING_HORIZON))
    requested = usage.request_rate(now)
    if planned_rate <= 0.0:
        return 0
    if planned_rate >= requested * MAX_PERMILLE / 1000:
        return MAX_PERMILLE
    return int(1000 * planned_rate / requested)


def needs_updates(
    parts: Sequence[UsageWindow], rules: LimitRules, limit: Limit, target: float, now: float
) -> bool:
    """Return whether proxies need updates for a tenant: it is near its limit or was refused calls.

    The tenant's usage is the sum of ``parts``.
    """
    if sum(usage.admitted(now) for usage in parts) > NEAR_LIMIT_FRACTION * target:
        return True
    if any(usage.has_recent_refusals(now) for usage in parts):
        return True
    requested = sum(usage.request_rate(now) for usage in parts)
    return requested > limit.rate + _REQUEST_RATE_SLACK_FRACTION * rules.slack
