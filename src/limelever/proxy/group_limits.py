"""Limits the calls in flight at this proxy, in total and by group.

While there is room, any group may use it. From a threshold below the total limit on, groups that
have used up their weighted share are refused, which leaves the rest to the other groups.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure

DEFAULT_WEIGHT = 1
"""Weight of a group for which the service defines no share."""


class ShareKey(Struct, frozen=True):
    """Identifies the calls of a group at a service."""

    service: str
    group: str


class LimitSettings(Struct, frozen=True):
    """Limits on calls in flight.

    ``share_from`` is the fraction of ``max_in_flight`` from which group shares are enforced.
    ``retry_after`` is the retry delay of refusals in seconds.
    """

    max_in_flight: int = 1024
    share_from: float = 0.8
    retry_after: float = 0.5


class _GroupUsage(Struct):
    weight: int
    in_flight: int = 0


class GroupLimits:
    """Counts the calls in flight and refuses those over the limits."""

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._share_threshold = int(settings.max_in_flight * settings.share_from)
        self._groups: dict[ShareKey, _GroupUsage] = {}
        self._in_flight = 0
        self._total_weight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._in_flight

    def admit(self, key: ShareKey, weight: int) -> Failure | None:
        """Count one more call of ``key``, or return why it is refused."""
        settings = self._settings
        if self._in_flight >= settings.max_in_flight:
            reason = f"{settings.max_in_flight} calls in flight, the limit of this proxy"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=settings.retry_after)
        if self._in_flight >= self._share_threshold and self._has_reached_share(key):
            reason = f"group {key.group} has used up its share of this proxy"
            return Failure(ErrorKind.SHARE_EXHAUSTED, reason, retry_after=settings.retry_after)
        self._add(key, weight)
        return None

    def release(self, key: ShareKey) -> None:
        """Stop counting one call of ``key``, which has ended."""
        usage = self._groups[key]
        usage.in_flight -= 1
        self._in_flight -= 1
        if usage.in_flight == 0:
            self._total_weight -= usage.weight
            del self._groups[key]

    def _has_reached_share(self, key: ShareKey) -> bool:
        usage = self._groups.get(key)
        if usage is None:
            return False
        share = self._settings.max_in_flight * usage.weight / self._total_weight
        return usage.in_flight >= max(1, int(share))

    def _add(self, key: ShareKey, weight: int) -> None:
        usage = self._groups.get(key)
        if usage is None:
            usage = self._groups[key] = _GroupUsage(max(1, weight))
            self._total_weight += usage.weight
        usage.in_flight += 1
        self._in_flight += 1
