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
"""Seconds for which a fraction is planned: two update rounds."""

_UNREPORTED_SLACK_FRACTION = 0.25
"""Fraction of the slack, in calls a second, by which requests may exceed the rate before proxies
receive updates; the calls of small tenants are bursty."""

MAX_PERMILLE = 60_000


def admission_permille(
    usage: UsageWindow, tokens: float, rate: float, target: float, now: float
) -> int:
    """Return how many of 1000 requested calls may be admitted.

    ``tokens`` are the calls that may be admitted at once, negative for a debt, and ``rate`` those a
    second. ``target`` bounds the calls in the window.
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
    return requested > limit.rate + _UNREPORTED_SLACK_FRACTION * rules.slack
