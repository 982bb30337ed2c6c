"""The publisher: sends each subscriber its scope of the configuration, version by version."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Event, Output
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.keys import Key
from limelever.publisher.rollout import ZoneHolders
from limelever.publisher.scope import Scope
from limelever.publisher.settings import PublisherSettings


class PublisherCore:
    """Component of the source's and the relay's core; sans-io like them.

    The host passes on every event of links with purpose ``subscription`` that it accepted,
    carries out or passes on the outputs, and answers ``FreshnessNeeded``.
    """

    def __init__(self, settings: PublisherSettings) -> None:
        raise NotImplementedError

    def load(self, version: int, resources: Iterable[VersionedResource], now: float) -> None:
        """Hold a whole set at ``version``; until then every subscriber is told to come back."""
        raise NotImplementedError

    def advance(
        self, version: int, put: Iterable[VersionedResource], removed: Iterable[Key], now: float
    ) -> list[Output]:
        """Move on to ``version``, which must be higher; gathered for ``batch_delay``."""
        raise NotImplementedError

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take a link event, a message or ``DeadlineReached``; others are ignored."""
        raise NotImplementedError

    def proved_fresh(self, began: float, now: float) -> list[Output]:
        """Note that the set held was current at time ``began``; answers those who asked."""
        raise NotImplementedError

    def rollout(self, version: int) -> tuple[ZoneHolders, ...]:
        """Return by zone how many proxies and agents hold ``version`` or lag behind it."""
        raise NotImplementedError

    def scope_of(self, connection: ConnectionId) -> Scope | None:
        """Return the scope of an admitted subscriber, or ``None``."""
        raise NotImplementedError

    def shut_down(self, now: float) -> list[Output]:
        """Tell every subscriber to move to another publisher at once, and close its link."""
        raise NotImplementedError

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
        raise NotImplementedError
