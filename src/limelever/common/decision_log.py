"""Which decisions about requests are written to the log, so that its volume stays bounded.

Successes are sampled by the request's id: every process picks the same requests, and a request
that is picked is followed whole. Failures are always written, up to a rate; what goes beyond it is
counted and told of once a second.
"""

from __future__ import annotations

import math
import zlib

from msgspec import Struct

from limelever.common.events import DECISIONS_NOT_LOGGED
from limelever.common.sansio import LogEvent

SECONDS_BETWEEN_COUNTS = 1.0
"""Between two lines that tell how many were left out."""

_PERCENT = 100


class DecisionLogSettings(Struct, frozen=True):
    """``sample_percent`` of the requests are followed; failures a second, and at once."""

    sample_percent: int = 0
    failures_per_second: float = 50.0
    failures_at_once: float = 200.0


class DecisionLog:
    """Decides for one core; times in seconds. Requests without an id are not followed."""

    def __init__(self, settings: DecisionLogSettings) -> None:
        self._settings = settings
        self._tokens = settings.failures_at_once
        self._refilled_at = 0.0
        self._left_out = 0
        self._told_at = -math.inf

    def follows(self, request_id: bytes) -> bool:
        """Return whether the successes of a request are written, alike on every process."""
        if not request_id:
            return False
        return zlib.crc32(request_id) % _PERCENT < self._settings.sample_percent

    def success(self, code: int, request_id: bytes, fields: dict[str, object]) -> list[LogEvent]:
        """Return the line of a decision that went well, if the request is followed."""
        if not self.follows(request_id):
            return []
        return [LogEvent(code, {"request_id": _text(request_id), **fields})]

    def failure(
        self, code: int, request_id: bytes, fields: dict[str, object], now: float
    ) -> list[LogEvent]:
        """Return the line of a decision against a request, as the rate allows."""
        if not request_id:
            return []
        if not self._take_token(now):
            self._left_out += 1
            return []
        lines = [LogEvent(code, {"request_id": _text(request_id), **fields})]
        if self._left_out and now - self._told_at >= SECONDS_BETWEEN_COUNTS:
            lines.append(LogEvent(DECISIONS_NOT_LOGGED, {"lines": self._left_out}))
            self._left_out = 0
            self._told_at = now
        return lines

    def _take_token(self, now: float) -> bool:
        settings = self._settings
        earned = max(0.0, now - self._refilled_at) * settings.failures_per_second
        self._tokens = min(settings.failures_at_once, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _text(request_id: bytes) -> str:
    return request_id.decode("ascii", "replace")
