"""What this proxy's own calls tell of an endpoint: load, speed, failures, ejection.

Reported health and load lag or mislead, so only own outcomes eject an endpoint. An ejected one
returns after a time that grows with each ejection in a row, and then on trial: its first failure
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
    """When an endpoint is left out; times in seconds.

    ``slow_factor`` is how many times slower than the set an attempt must be to count as slow.
    """

    failures_to_eject: int = 5
    slow_calls_to_eject: int = 10
    slow_factor: float = 4.0
    slow_minimum: float = 0.1
    first_ejection: float = 1.0
    longest_ejection: float = 60.0
    successes_to_forgive: int = 20
    latency_weight: float = 0.1


class EndpointHealth(Struct):
    """Own counters of one endpoint; times in seconds.

    ``foreign_load`` are the calls of other proxies that its last answer, at ``load_at``, told of;
    ``service_time`` is how long a call takes there without waiting, 0 while nobody has told;
    ``time_by_route`` is the same by the name of the call's route.
    """

    in_flight: int = 0
    foreign_load: int = 0
    load_at: float = 0.0
    service_time: float = 0.0
    latency: float = 0.0
    failures_in_row: int = 0
    slow_in_row: int = 0
    successes_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    time_by_route: dict[str, float] = field(default_factory=dict)

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is left out at ``now`` (seconds)."""
        return now < self.ejected_until

    def record(
        self, verdict: Verdict, latency: float, usual: float, now: float, settings: HealthSettings
    ) -> float:
        """Take the end of one attempt; return the seconds of an ejection it caused, or 0.

        ``latency`` is of this attempt and ``usual`` of the whole set, both in seconds.
        """
        if verdict is Verdict.NEUTRAL:
            return 0.0
        if verdict is Verdict.SUCCEEDED:
            self._record_success(latency, usual, settings)
        else:
            self.failures_in_row += 1
            self.successes_in_row = 0
        if self.is_ejected(now) or not self._is_bad(settings):
            return 0.0
        return self._eject(now, settings)

    def _record_success(self, latency: float, usual: float, settings: HealthSettings) -> None:
        self.failures_in_row = 0
        self.successes_in_row += 1
        weight = settings.latency_weight
        self.latency = latency if not self.latency else self._blend(latency, weight)
        slow_from = max(settings.slow_minimum, usual * settings.slow_factor)
        self.slow_in_row = self.slow_in_row + 1 if usual and latency > slow_from else 0
        if self.successes_in_row >= settings.successes_to_forgive and not self.slow_in_row:
            self.ejections = 0

    def _blend(self, latency: float, weight: float) -> float:
        return self.latency * (1 - weight) + latency * weight

    def _is_bad(self, settings: HealthSettings) -> bool:
        on_trial = self.ejections > 0
        failures = 1 if on_trial else settings.failures_to_eject
        return self.failures_in_row >= failures or self.slow_in_row >= settings.slow_calls_to_eject

    def _eject(self, now: float, settings: HealthSettings) -> float:
        seconds = min(settings.longest_ejection, settings.first_ejection * 2.0**self.ejections)
        self.ejections = min(self.ejections + 1, 30)
        self.ejected_until = now + seconds
        self.failures_in_row = 0
        self.slow_in_row = 0
        self.successes_in_row = 0
        return seconds
