"""Tracks the limit that an instance states: the calls per second that it takes from all proxies.

Responses overlap, so the time at which one arrives does not tell when it was sent. A lower limit
therefore holds at once. A higher one, or none, holds only by a response to a call that was started
after the last response with the current limit had arrived.

An agent that has just started beside a running instance learns its limit from the proxies, which
send the one they last heard with each call, until the instance has responded to a call.
"""

from __future__ import annotations

import math

from limelever.agent import events
from limelever.agent.instance_signals import HIGHEST_LIMIT, LOWEST_LIMIT, InstanceSignals
from limelever.agent.interface import InstanceLimitChanged
from limelever.common.sansio import LogEvent, Output

BY_RESPONSE = "response"
BY_HEALTH_RESPONSE = "health-response"


class InstanceLimit:
    """The limit of one instance in calls per second, 0 for none; times are monotonic seconds.

    It is known once the instance has responded to a call of this agent.
    """

    def __init__(self) -> None:
        self.calls_per_s = 0.0
        self._known = False
        self._stated_at = -math.inf
        self._concerns_proxies = False
        self._invalid = ""
        self._outputs: list[Output] = []

    @property
    def reported(self) -> float | None:
        """Return the limit to report; ``None`` if no proxy can know of any, which saves bytes."""
        return self.calls_per_s if self._concerns_proxies else None

    def observe_response(self, signals: InstanceSignals, started_at: float, now: float) -> bool:
        """Apply the response to a call; return whether the limit has changed."""
        first, self._known = not self._known, True
        if self._is_invalid(signals):
            return False
        limit, current = signals.limit, self.calls_per_s
        lower = limit and (not current or limit <= current)
        if not lower and not first and started_at < self._stated_at:
            return False
        return self._set(limit, BY_RESPONSE, now)

    def learn_from_proxy(self, limit: float, proxy: str, now: float) -> bool:
        """Apply the limit that a proxy has sent, 0 for none; return whether the limit has changed.

        The lowest one holds, until the instance has responded.
        """
        if not LOWEST_LIMIT <= limit <= HIGHEST_LIMIT:
            return False
        self._concerns_proxies = True
        if self._known:
            return False
        if self.calls_per_s and limit >= self.calls_per_s:
            return False
        return self._set(limit, f"proxy {proxy}", now)

    def observe_health(self, signals: InstanceSignals, now: float) -> bool:
        """Apply a health response; one without a limit does not end that of the calls."""
        if self._is_invalid(signals) or not signals.limit:
            return False
        return self._set(signals.limit, BY_HEALTH_RESPONSE, now)

    def take_outputs(self) -> list[Output]:
        """Return what is to be logged and measured, once."""
        outputs, self._outputs = self._outputs, []
        return outputs

    def _set(self, limit: float, source: str, now: float) -> bool:
        self._stated_at = now
        self._invalid = ""
        if limit == self.calls_per_s:
            return False
        fields: dict[str, object] = {
            "former": round(self.calls_per_s, 3),
            "calls_per_s": round(limit, 3),
            "source": source,
        }
        kind = events.INSTANCE_LIMIT_CHANGED if limit else events.INSTANCE_LIMIT_ENDED
        self._outputs += [LogEvent(kind, fields), InstanceLimitChanged(limit)]
        self.calls_per_s = limit
        self._concerns_proxies = True
        return True

    def _is_invalid(self, signals: InstanceSignals) -> bool:
        """Return whether a limit can't be read, and log it once until the next valid one."""
        if signals.invalid_limit and not self._invalid:
            self._invalid = signals.invalid_limit
            fields: dict[str, object] = {"value": signals.invalid_limit}
            self._outputs.append(LogEvent(events.INSTANCE_LIMIT_INVALID, fields))
        return bool(signals.invalid_limit)
