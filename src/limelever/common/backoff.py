"""Full-jitter exponential backoff: delays between attempts, drawn from an injected generator."""

from __future__ import annotations

import random

from msgspec import Struct

_LARGEST_EXPONENT = 32


class BackoffSettings(Struct, frozen=True):
    """Bounds of the delays, in seconds."""

    base: float = 0.2
    maximum: float = 8.0


class Backoff:
    """Draws the delay before the next attempt; the caller keeps the time.

    Full jitter (uniform between nothing and a bound that doubles) spreads a herd that failed
    at one moment over the whole interval, which a fixed or half-jittered delay does not.
    """

    __slots__ = ("_attempts", "_generator", "_settings")

    def __init__(self, settings: BackoffSettings, generator: random.Random) -> None:
        self._settings = settings
        self._generator = generator
        self._attempts = 0

    def next_delay(self, retry_after: float = 0.0) -> float:
        """Return the delay in seconds before the next attempt.

        ``retry_after`` is the server's advice in seconds: the delay is never shorter, and the
        jitter comes on top of it, so that callers advised alike do not return together.
        """
        exponent = min(self._attempts, _LARGEST_EXPONENT)
        bound = min(self._settings.maximum, self._settings.base * 2**exponent)
        self._attempts += 1
        return max(0.0, retry_after) + self._generator.uniform(0.0, bound)

    def reset(self) -> None:
        """Start again from the shortest bound, after an attempt that succeeded."""
        self._attempts = 0
