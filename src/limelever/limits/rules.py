"""A tenant's limit, the hard limit on its calls in a window, and the fleet's target below that."""

from __future__ import annotations

from msgspec import Struct

_TARGET_EXCESS_FRACTION = 0.1
"""Fraction of the excess permitted by the hard limit that the target uses; the rest covers calls
that are not reported yet."""

_BURST_SLACK_FRACTION = 0.25
"""Fraction of the slack that may be used at once; the calls of small tenants are bursty."""


class Limit(Struct, frozen=True):
    """A tenant's limit: ``rate`` in calls a second, ``burst`` in calls above that."""

    rate: float
    burst: float = 0.0


class LimitRules(Struct, frozen=True):
    """How limits are enforced over a sliding window of ``window`` seconds.

    A limit permits rate x window + burst calls in each window. A tenant may exceed that by at most
    the fraction ``excess`` plus ``slack`` calls.
    """

    window: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def nominal_calls(self, limit: Limit) -> float:
        """Return the calls that a limit permits in a window."""
        return limit.rate * self.window + limit.burst

    def max_calls(self, limit: Limit) -> float:
        """Return the hard limit: the calls in a window that must never be exceeded."""
        return self.nominal_calls(limit) * (1 + self.excess) + self.slack

    def burst_capacity(self, limit: Limit) -> float:
        """Return the most calls that the fleet admits at once, going by the reported usage."""
        margin = self.target_calls(limit) - self.nominal_calls(limit)
        return limit.burst + margin + _BURST_SLACK_FRACTION * self.slack

    def target_calls(self, limit: Limit) -> float:
        """Return the most calls that the fleet admits in a window, going by the reported usage."""
        nominal = self.nominal_calls(limit)
        return nominal + (self.max_calls(limit) - nominal) * _TARGET_EXCESS_FRACTION
