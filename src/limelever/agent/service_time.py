"""Exponentially weighted moving average of service times."""

from __future__ import annotations

_SMOOTHING_FACTOR = 0.1
"""Weight of the newest observation."""


class ServiceTimeAverage:
    """Moving average in seconds; ``None`` until the first observation."""

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean: float | None = None

    @property
    def mean(self) -> float | None:
        """Return the average in seconds, or ``None`` before the first observation."""
        return self._mean

    def observe(self, seconds: float) -> None:
        """Add the service time of a completed call."""
        if self._mean is None:
            self._mean = seconds
            return
        self._mean += _SMOOTHING_FACTOR * (seconds - self._mean)
