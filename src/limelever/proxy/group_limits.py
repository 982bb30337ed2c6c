"""Bounds on the calls in flight at this proxy, in all and by group.

While there is room any group may use it. When the total comes near its bound, a group that
already holds its share is refused at once, and what is left goes to groups under theirs.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure

DEFAULT_WEIGHT = 1
"""Weight of a group for which the service has no share."""


class ShareKey(Struct, frozen=True):
    """A group's calls at one service."""

    service: str
    group: str


class LimitSettings(Struct, frozen=True):
    """Bounds in calls; ``near`` is the part of ``total`` from which shares are enforced."""

    total: int = 1024
    near: float = 0.8
    retry_after: float = 0.5


class _Held(Struct):
    weight: int
    in_flight: int = 0


class GroupLimits:
    """Counts calls in flight and refuses those over the bounds."""

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._near = int(settings.total * settings.near)
        self._held: dict[ShareKey, _Held] = {}
        self._total = 0
        self._weights = 0

    @property
    def total(self) -> int:
        """Return the calls in flight."""
        return self._total

    def admit(self, key: ShareKey, weight: int) -> Failure | None:
        """Count one more call of ``key``, or return why it is refused."""
        settings = self._settings
        if self._total >= settings.total:
            reason = f"{settings.total} calls are in flight at this proxy"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=settings.retry_after)
        if self._total >= self._near and self._holds_its_share(key):
            reason = f"group {key.group} holds its share of this proxy"
            return Failure(ErrorKind.SHARE_EXHAUSTED, reason, retry_after=settings.retry_after)
        self._count(key, weight)
        return None

    def release(self, key: ShareKey) -> None:
        """Count one call of ``key`` less."""
        held = self._held[key]
        held.in_flight -= 1
        self._total -= 1
        if held.in_flight == 0:
            self._weights -= held.weight
            del self._held[key]

    def _holds_its_share(self, key: ShareKey) -> bool:
        held = self._held.get(key)
        if held is None:
            return False
        share = self._settings.total * held.weight / self._weights
        return held.in_flight >= max(1, int(share))

    def _count(self, key: ShareKey, weight: int) -> None:
        held = self._held.get(key)
        if held is None:
            held = self._held[key] = _Held(max(1, weight))
            self._weights += held.weight
        held.in_flight += 1
        self._total += 1
