"""The subscriber: holds a configuration, keeps it current and never lets it go backward."""

from __future__ import annotations

import random
from collections.abc import Iterator

from limelever.common.sansio import (
    ConnectionId,
    DialledConnections,
    Event,
    Output,
    Recovered,
)
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings


class SubscriberCore:
    """Component of the relay's, the proxy's and the agent's core; sans-io like them.

    The host passes on every event (those of foreign links and writes are ignored) and acts on
    ``ConfigurationInstalled``, ``VersionConfirmed``, ``FreshnessProved`` and
    ``EndpointsReceived`` among the outputs; all others go to the shell. ``connections`` and
    ``tokens`` are shared with the rest of the host's core.
    """

    def __init__(
        self,
        settings: SubscriberSettings,
        connections: DialledConnections,
        tokens: Iterator[int],
        generator: random.Random,
        recovered: Recovered,
        sealer: Sealer | None = None,
    ) -> None:
        raise NotImplementedError

    @property
    def version(self) -> int:
        """The version at which the installed set is known to be right; 0 when none is held."""
        raise NotImplementedError

    @property
    def configuration(self) -> ConfigurationSet | None:
        """The set in force, or ``None`` when none is held."""
        raise NotImplementedError

    @property
    def fresh_at(self) -> float | None:
        """The latest time at which the installed set is known to have been current."""
        raise NotImplementedError

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a dialled link is this subscriber's."""
        raise NotImplementedError

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        raise NotImplementedError

    def probe(self, now: float) -> list[Output]:
        """Prove the set current by an echo that begins now; ends in ``FreshnessProved``."""
        raise NotImplementedError

    def stop(self, now: float) -> list[Output]:
        """Close the link and dial no more."""
        raise NotImplementedError

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic), or ``None``."""
        raise NotImplementedError
