"""A hollow agent: the shipped registration and subscriber, without back end and calls."""

from __future__ import annotations

import itertools
import random

from limelever.agent.registration import Registration, RegistrationSettings
from limelever.common.sansio import DialledConnections, Event, Output, Recovered, Started
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    EndpointsReceived,
    FreshnessProved,
    VersionConfirmed,
)
from limelever.subscriber.settings import SubscriberSettings

_NOTICES = (ConfigurationInstalled, EndpointsReceived, FreshnessProved, VersionConfirmed)


class Restart(Event, frozen=True):
    """Leave the endpoint table and come back at once as the next incarnation."""


class HollowAgentCore:
    """Keeps one endpoint registered and its service's shares held; a ``Core``."""

    def __init__(
        self,
        registration: RegistrationSettings,
        subscriber: SubscriberSettings,
        incarnation: int,
        generator: random.Random,
    ) -> None:
        self._settings = registration
        self._incarnation = incarnation
        self._generator = generator
        self._connections = DialledConnections()
        self._registration = self._new_registration()
        self._subscriber = SubscriberCore(
            subscriber, self._connections, itertools.count(1), generator, Recovered()
        )

    @property
    def registered(self) -> bool:
        """Whether a relay holds the endpoint's lease."""
        return self._registration.leased

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        if isinstance(event, Restart):
            return self._restart(now)
        outputs = self._registration.start(now) if isinstance(event, Started) else []
        outputs.extend(self._registration.handle(event, now))
        for output in self._subscriber.handle(event, now):
            if not isinstance(output, _NOTICES):
                outputs.append(output)
        return outputs

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted."""
        times = (self._registration.next_deadline(), self._subscriber.next_deadline())
        return min((at for at in times if at is not None), default=None)

    def _restart(self, now: float) -> list[Output]:
        outputs = self._registration.stop(now)
        self._incarnation += 1
        self._registration = self._new_registration()
        return [*outputs, *self._registration.start(now)]

    def _new_registration(self) -> Registration:
        return Registration(self._settings, self._incarnation, self._connections, self._generator)
