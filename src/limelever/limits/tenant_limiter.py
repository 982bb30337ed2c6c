"""Admits or refuses the calls of one tenant at one proxy, by local counts and updates of the relay.

Near the limit, the relay sends each proxy the fraction of requested calls to admit. Without such a
fraction the proxy admits all calls up to a multiple of its equal share of the limit, so that a
sudden rise in load stays within the limit until the next update. A proxy that receives no updates
admits no more than its equal share, which no other proxy uses.
"""

from __future__ import annotations

import random

from limelever.limits.admission_plan import PLANNING_HORIZON
from limelever.limits.reachable_proxies import PEER_TIMEOUT
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.usage_window import SLOT_SECONDS, UsageWindow

_UNTHROTTLED_GROWTH = 2.5
"""Refill rate without a fraction from the relay, as a multiple of the proxy's equal share or recent
usage, whichever is greater. Leaves room for calls that move here from a failed zone."""

_UNTHROTTLED_BURST = 3.0
_UNTHROTTLED_BURST_FRACTION = 0.07
"""Token bucket capacity without a fraction from the relay: calls, plus a part of the proxy's equal
share or recent usage, whichever is greater. The first applies to fractions of 1 or more as well."""

_THROTTLED_GROWTH = 1.25
_THROTTLED_BURST = 2.0
"""Refill rate as a multiple of the rate that the relay's fraction admits, and token bucket capacity
in calls. Lower than without a fraction, as the relay raises the fraction when there is room."""

_ISOLATED_FRACTION = 0.7
_ISOLATED_NEAR_LIMIT_FRACTION = 0.5
"""Fractions of its equal share that a proxy uses in the first window without updates; the second
applies to tenants that were near their limit."""

_LONG_ISOLATED_FRACTION = 0.9
"""Fraction of the hard limit that isolated proxies use once all calls admitted before the isolation
have left the window."""

_LATE_UPDATE_FACTOR = 0.3
"""Factor on admission rates while an update is overdue: the connection may be lost."""

_ROUNDING_WINDOWS = 4
"""Windows after which an isolated proxy draws a new random offset for rounding its share to whole
calls, so that tenants with a share below one call are admitted at some proxies at a time."""

MIN_RETRY_AFTER = 0.1
"""Seconds; the shortest interval between relay updates."""


class TenantLimiter:
    """Limits one tenant's calls at one proxy; times in seconds, monotonic."""

    def __init__(self, limit: Limit, rules: LimitRules, random_source: random.Random) -> None:
        self.limit = limit
        self.usage = UsageWindow(rules.window)
        self._rules = rules
        self._random = random_source
        self._fraction = 1.0
        self._has_fraction = False
        self._refill_rate = 0.0
        self._tokens = _UNTHROTTLED_BURST
        self._refilled_at: float | None = None
        self._isolated_calls = 0
        self._fraction_credit = random_source.random()
        self._rounding_offset = random_source.random()
        self._rounding_drawn_at = 0.0

    def set_permille(self, permille: int, now: float) -> None:
        """Set how many calls to admit for each 1000 requested, until the next update."""
        requested = max(
            self.usage.request_rate(now), self.usage.requested(now) / self._rules.window
        )
        self._fraction = permille / 1000
        self._refill_rate = _THROTTLED_GROWTH * self._fraction * requested
        self._has_fraction = True

    def clear_permille(self) -> None:
        """Drop the relay's fraction: the tenant is not near its limit."""
        self._has_fraction = False

    def is_throttled(self, update_age: float) -> bool:
        """Return whether a current fraction from the relay admits fewer calls than are requested.

        The proxy then refuses calls that can't be answered in time, so that they don't displace
        calls that can.
        """
        return self._has_fraction and self._fraction < 1.0 and update_age <= PEER_TIMEOUT

    def try_admit(self, update_age: float, fleet_size: int, now: float) -> bool:
        """Count a requested call and return whether it is admitted.

        ``update_age`` is the time in seconds since the relay's last update, ``fleet_size`` the
        number of proxies.
        """
        share = self._rules.target_calls(self.limit) / fleet_size
        if update_age > PEER_TIMEOUT:
            admitted = self._admits_isolated(share, fleet_size, update_age, now)
            self._isolated_calls += int(admitted)
        else:
            self._isolated_calls = 0
            factor = 1.0 if update_age <= PLANNING_HORIZON else _LATE_UPDATE_FACTOR
            admitted = self._admits_connected(share, factor, now)
        self.usage.add(now, int(admitted), int(not admitted))
        return admitted

    def retry_after(self, update_age: float, fleet_size: int) -> float:
        """Return the seconds after which to retry a refused call."""
        window = self._rules.window
        share = self._rules.target_calls(self.limit) / fleet_size
        rate = (
            self._refill_rate
            if self._has_fraction and update_age <= PEER_TIMEOUT
            else share / window
        )
        return min(window, max(MIN_RETRY_AFTER, 1 / rate)) if rate > 0 else window

    def _admits_isolated(
        self, share: float, fleet_size: int, update_age: float, now: float
    ) -> bool:
        """Return whether a call fits the proxy's own share, without updates from the relay.

        Within the first window, calls that other proxies admitted beyond their shares still count:
        the proxy applies its last fraction and uses less than its share. For small tenants it may
        use its share of the slack instead.
        """
        if now - self._rounding_drawn_at > _ROUNDING_WINDOWS * self._rules.window:
            self._rounding_drawn_at = now
            self._rounding_offset = self._random.random()
        used = self.usage.admitted(now) + 1 - self._rounding_offset
        if update_age > PEER_TIMEOUT + self._rules.window:
            return used <= _LONG_ISOLATED_FRACTION * self._rules.max_calls(self.limit) / fleet_size
        if self._has_fraction:
            return used <= _ISOLATED_NEAR_LIMIT_FRACTION * share and self._admits_fraction()
        if used <= _ISOLATED_FRACTION * share:
            return True
        return self._isolated_calls + 1 - self._rounding_offset <= self._rules.slack / fleet_size

    def _admits_fraction(self, factor: float = 1.0) -> bool:
        """Return whether a call is among the relay's fraction, times ``factor``, to admit."""
        self._fraction_credit = min(2.0, self._fraction_credit + min(1.0, factor * self._fraction))
        if self._fraction_credit < 1.0:
            return False
        self._fraction_credit -= 1.0
        return True

    def _admits_connected(self, share: float, factor: float, now: float) -> bool:
        """Return whether a call fits the relay's fraction, or without one the unthrottled rate."""
        if not self._has_fraction:
            usual = max(share, self.usage.admitted(now))
            rate = factor * _UNTHROTTLED_GROWTH * usual / self._rules.window
            return self._take_token(
                rate, _UNTHROTTLED_BURST + _UNTHROTTLED_BURST_FRACTION * usual, now
            )
        if not self._admits_fraction(factor):
            return False
        rate = factor * self._refill_rate
        if self._fraction < 1.0:
            return self._take_token(rate, _THROTTLED_BURST + rate * SLOT_SECONDS, now)
        rate = max(rate, share / self._rules.window)
        return self._take_token(rate, _UNTHROTTLED_BURST + rate * SLOT_SECONDS, now)

    def _take_token(self, rate: float, capacity: float, now: float) -> bool:
        since = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = now
        self._tokens = min(capacity, self._tokens + rate * (now - since))
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
