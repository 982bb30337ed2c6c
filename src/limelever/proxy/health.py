"""Endpoint health and outlier ejection, based on the outcomes of this proxy's own calls.

Health and load reports may be late or misleading, so they never cause an ejection. Each further
ejection of an endpoint lasts longer. After one the endpoint is on probation: its first failure
ejects it again.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field


class Verdict(StrEnum):
    """What the end of an attempt says about its endpoint."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NEUTRAL = "neutral"


class HealthSettings(Struct, frozen=True):
    """When an endpoint is ejected; times in seconds.

    An attempt is slow if it takes longer than ``min_slow_latency`` and than ``slow_factor`` times
    the service's average. ``successes_to_reset`` successes in a row end the probation.
    """

    failures_to_eject: int = 5
    slow_calls_to_eject: int = 10
    slow_factor: float = 4.0
    min_slow_latency: float = 0.1
    first_ejection: float = 1.0
    longest_ejection: float = 60.0
    successes_to_reset: int = 20
    latency_weight: float = 0.1


class EndpointHealth(Struct):
    """What this proxy knows about one endpoint; times in seconds.

    ``other_load`` is the number of calls of other proxies according to its last report, at
    ``load_reported_at``. ``service_time`` is how long a call takes there without queueing, 0 if
    unknown, and ``service_time_by_route`` the same by route name.
    """

    in_flight: int = 0
    other_load: int = 0
    load_reported_at: float = 0.0
    service_time: float = 0.0
    latency: float = 0.0
    consecutive_failures: int = 0
    consecutive_slow: int = 0
    consecutive_successes: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    service_time_by_route: dict[str, float] = field(default_factory=dict)

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected at ``now`` (seconds)."""
        return now < self.ejected_until

    def record(
        self,
        verdict: Verdict,
        latency: float,
        baseline: float,
        now: float,
        settings: HealthSettings,
    ) -> float:
        """Record the end of an attempt; return the seconds of the ejection it caused, or 0.

        ``latency`` is that of the attempt and ``baseline`` the service's average, in seconds.
        """
        if verdict is Verdict.NEUTRAL:
            return 0.0
        if verdict is Verdict.SUCCEEDED:
            self._record_success(latency, baseline, settings)
        else:
            self.consecutive_failures += 1
            self.consecutive_successes = 0
        if self.is_ejected(now) or not self._should_eject(settings):
            return 0.0
        return self._eject(now, settings)

    def _record_success(self, latency: float, baseline: float, settings: HealthSettings) -> None:
        self.consecutive_failures = 0
        self.consecutive_successes += 1
        weight = settings.latency_weight
        self.latency = latency if not self.latency else self._moving_average(latency, weight)
        slow_threshold = max(settings.min_slow_latency, baseline * settings.slow_factor)
        self.consecutive_slow = (
            self.consecutive_slow + 1 if baseline and latency > slow_threshold else 0
        )
        if self.consecutive_successes >= settings.successes_to_reset and not self.consecutive_slow:
            self.ejections = 0

    def _moving_average(self, latency: float, weight: float) -> float:
        return self.latency * (1 - weight) + latency * weight

    def _should_eject(self, settings: HealthSettings) -> bool:
        on_probation = self.ejections > 0
        failures = 1 if on_probation else settings.failures_to_eject
        return (
            self.consecutive_failures >= failures
            or self.consecutive_slow >= settings.slow_calls_to_eject
        )

    def _eject(self, now: float, settings: HealthSettings) -> float:
        seconds = min(settings.longest_ejection, settings.first_ejection * 2.0**self.ejections)
        self.ejections = min(self.ejections + 1, 30)
        self.ejected_until = now + seconds
        self.consecutive_failures = 0
        self.consecutive_slow = 0
        self.consecutive_successes = 0
        return seconds
