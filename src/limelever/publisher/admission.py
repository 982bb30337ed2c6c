"""Admission control of reconnecting subscribers: a token bucket that assigns retry times."""

from __future__ import annotations

UP_TO_DATE_COST = 0.1
CONFIGURATION_COST = 1.0


class Admission:
    """Limits the subscriptions answered per second; times and delays are in seconds.

    Each refusal is assigned the next free time slot, so that the retries of many subscribers are
    spread over the time that the publisher needs for them, without randomness.
    """

    def __init__(self, rate: float, burst: float, retry_after_limit: float) -> None:
        self._rate = rate
        self._burst = burst
        self._retry_after_limit = retry_after_limit
        self._tokens = burst
        self._refilled_at: float | None = None
        self._next_turn = 0.0

    def admit(self, cost: float, now: float) -> float | None:
        """Return ``None`` when admitted, else the delay after which to retry."""
        self._refill(now)
        if self._tokens >= cost:
            self._tokens -= cost
            return None
        turn = max(self._next_turn, now + (cost - self._tokens) / self._rate)
        self._next_turn = turn + cost / self._rate
        if turn - now > self._retry_after_limit:
            self._next_turn = now
            return self._retry_after_limit
        return turn - now

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
