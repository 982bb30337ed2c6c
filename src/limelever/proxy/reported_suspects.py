"""Remembers for a moment which agents other proxies of the zone find silent.

Load answered: in a large fleet a proxy calls each agent every few seconds, so that by the time it
notices by itself that a machine has vanished, it has lost the very call that it wanted to save. The
first proxy that notices informs the others through its relay.

One proxy may be wrong, because its own link is bad. Its word therefore only moves new calls away,
and ends by itself, with a message on the own link to the agent, or with the agent's own report.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.proxy.endpoints import EndpointKey

VALID_SECONDS = 0.8
"""How long a report counts. Reports are repeated every ``REPEAT_SECONDS`` while they hold, and are
on their way for 0.2 s or less; a wrong one is to cost less than a second."""

REPEAT_SECONDS = 0.5
"""Interval at which a proxy reports its suspect links again."""

MAX_REPORTED = 64
"""Limit on the endpoints in one report; more silent links hint at trouble of the reporter."""


class ReportedSuspects:
    """Endpoints that other proxies reported as silent; times in seconds."""

    def __init__(self) -> None:
        self._reported_at: dict[EndpointKey, float] = {}

    def record(self, keys: Iterable[EndpointKey], now: float) -> None:
        """Record a report, and drop those that have ended."""
        current = {key: at for key, at in self._reported_at.items() if now - at < VALID_SECONDS}
        current.update(dict.fromkeys(keys, now))
        self._reported_at = current

    def clear(self, key: EndpointKey) -> None:
        """End the reports on an endpoint whose agent has reported itself."""
        self._reported_at.pop(key, None)

    def includes(self, key: EndpointKey, last_heard: float | None, now: float) -> bool:
        """Return whether a report counts; ``last_heard`` is when the own link received a message.

        It is ``None`` if the link received none.
        """
        at = self._reported_at.get(key)
        if at is None or now - at >= VALID_SECONDS:
            return False
        return last_heard is None or last_heard <= at
