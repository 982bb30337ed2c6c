"""Observed service time of the back end: an exponentially weighted moving average."""

from __future__ import annotations

_SMOOTHING = 0.1
"""Weight of the newest observation; about the last twenty decide."""


class ServiceTime:
    """Moving average in seconds; unknown (``None``) until the first observation."""

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean: float | None = None

    @property
    def mean(self) -> float | None:
        """Return the average in seconds, or ``None`` before the first observation."""
        return self._mean

    def observe(self, seconds: float) -> None:
        """Take the duration of one finished call."""
        if self._mean is None:
            self._mean = seconds
            return
        self._mean += _SMOOTHING * (seconds - self._mean)
