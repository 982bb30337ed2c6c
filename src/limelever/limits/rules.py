"""What a limit means in calls: the rule that a deployment promises, and what the fleet aims at."""

from __future__ import annotations

from msgspec import Struct

_MARGIN_USED = 0.1
"""Part of the promised margin that is aimed at: the rest is for use that is not yet known."""

_SLACK_USED = 0.25
"""Part of the slack that may come at once: the calls of small tenants come in clumps."""


class Limit(Struct, frozen=True):
    """A tenant's limit: ``rate`` in calls a second, ``burst`` in calls above that."""

    rate: float
    burst: float = 0.0


class LimitRules(Struct, frozen=True):
    """In no window of ``window`` seconds do more calls run than rate x window + burst allow.

    By no more than the part ``over`` and ``slack`` calls may a tenant pass that.
    """

    window: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    def calls(self, limit: Limit) -> float:
        """Return the calls that a limit stands for in any window."""
        return limit.rate * self.window + limit.burst

    def most(self, limit: Limit) -> float:
        """Return the calls that may never be passed in any window."""
        return self.calls(limit) * (1 + self.over) + self.slack

    def burst(self, limit: Limit) -> float:
        """Return the calls that the fleet lets in at once at most, as far as it knows."""
        extra = self.aim(limit) - self.calls(limit)
        return limit.burst + extra + _SLACK_USED * self.slack

    def aim(self, limit: Limit) -> float:
        """Return the calls that the fleet lets in at most in a window, as far as it knows."""
        calls = self.calls(limit)
        return calls + (self.most(limit) - calls) * _MARGIN_USED
