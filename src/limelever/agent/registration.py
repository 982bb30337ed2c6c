"""Registration of the back end at a relay of its zone, under a lease that is renewed.

The component dials one relay at a time. A relay that cannot be dialled, closes the link or
leaves renewals unanswered is left for the next one of the list, after a full-jitter delay so
that the agents of a dead relay do not arrive at the next one in a herd.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from enum import Enum, auto

from msgspec import Struct

from limelever.agent import events
from limelever.agent.load_reports import LoadReporter
from limelever.agent.own_endpoint import OwnEndpoint
from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import RetryLater
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_GONE,
    CrashNews,
    Endpoint,
    EndpointState,
    LeaseGranted,
    LeaseLost,
    VersionTally,
)
from limelever.subscriber.notices import PublishersReceived

RENEWALS_PER_LEASE = 3
"""Two renewals may be lost before the lease ends."""

UNTOLD_LIMIT = 8
"""Ends of the back end that wait for a lease; the proxies of its calls tell of them as well."""

OWN_ZONE = "another relay is preferred"
_MILLISECONDS = 1000.0
_SHORTEST_LEASE = 0.3


class RegistrationSettings(Struct, frozen=True):
    """What is registered and where; ``answer_timeout`` in seconds, ``version`` of the software.

    The first of ``relays`` is tried first: it is listed first because its zone is the agent's.
    """

    relays: tuple[Address, ...]
    service: str
    instance: str
    zone: str
    address: Address
    slots: int
    version: str = ""
    answer_timeout: float = 3.0
    backoff: BackoffSettings = BackoffSettings()


class _Phase(Enum):
    HELD_BACK = auto()
    WAITING = auto()
    DIALLING = auto()
    REGISTERING = auto()
    LEASED = auto()
    ENDED = auto()


class Registration:
    """Keeps one endpoint registered; sans-io component of the agent core.

    ``incarnation`` must be higher than that of any earlier run of the same instance.
    """

    def __init__(
        self,
        settings: RegistrationSettings,
        incarnation: int,
        connections: DialledConnections,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._connections = connections
        self._backoff = Backoff(settings.backoff, generator)
        self._relays = settings.relays
        self._relay = 0
        self._phase = _Phase.HELD_BACK
        self._endpoint = OwnEndpoint(_endpoint_of(settings, incarnation))
        self._in_flight = 0
        self._loads = LoadReporter()
        self._connection: ConnectionId | None = None
        self._due: float | None = None
        self._lease = 0.0
        self._heard_at = 0.0
        self._untold: deque[CrashNews] = deque(maxlen=UNTOLD_LIMIT)

    @property
    def leased(self) -> bool:
        """Return whether a relay holds the endpoint now."""
        return self._phase is _Phase.LEASED

    @property
    def relay(self) -> Address:
        """Return the relay used or tried now."""
        return self._relays[self._relay]

    def extend_relays(self, relays: tuple[Address, ...]) -> None:
        """Choose among these relays besides."""
        self._relays = tuple(dict.fromkeys((*self._relays, *relays)))

    def replace_relays(self, received: PublishersReceived, now: float) -> list[Output]:
        """Choose among these relays from now on; the one used now stays while it answers.

        But the endpoint is registered where its zone's proxies hear of its load first.
        """
        relays, current = received.addresses, self.relay
        self._relays = relays if current in relays else (*relays, current)
        self._relay = self._relays.index(current)
        if not self.leased or received.preferred in (None, current):
            return []
        outputs = self._hang_up(OWN_ZONE)
        self._relay = self._relays.index(received.preferred)
        return [*outputs, *self._dial(now)]

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether the link is the one to the relay."""
        return connection == self._connection

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic)."""
        report_due = self._loads.next_deadline() if self.leased else None
        if self._due is None or report_due is None:
            return report_due if self._due is None else self._due
        return min(self._due, report_due)

    def begin(self, now: float) -> list[Output]:
        """Register from now on; no effect when that has begun already."""
        if self._phase is not _Phase.HELD_BACK:
            return []
        return self._dial(now)

    def report_load(self, in_flight: int, load: int, now: float, pace: int = 0) -> list[Output]:
        """Take the calls that run, for the next renewal, and all that are here, told at changes.

        So is the ``pace``, how long work takes at the back end now, in thousandths of the usual.
        """
        self._in_flight = in_flight
        if not self.leased or self._connection is None:
            return []
        report = self._loads.update(load, now, pace)
        return [SendMessage(self._connection, report)] if report is not None else []

    def tell_crashes(self, news: Sequence[CrashNews], now: float) -> list[Output]:
        """Tell the relay under which requests the back end has ended, once there is a lease."""
        self._untold.extend(news)
        if not self.leased or self._connection is None:
            return []
        connection, told = self._connection, tuple(self._untold)
        self._untold.clear()
        return [SendMessage(connection, each) for each in told]

    def tell_tally(self, tally: VersionTally) -> list[Output]:
        """Tell the relay how the calls of a version under trial have ended."""
        if not self.leased or self._connection is None:
            return []
        return [SendMessage(self._connection, tally)]

    def take_version(self, version: str) -> list[Output]:
        """Tell the version of the back end's software, which was not known before."""
        self._endpoint.take_version(version)
        registered = self._phase in (_Phase.LEASED, _Phase.REGISTERING)
        return [self._register()] if registered else []

    def change_state(self, state: EndpointState.ValueType, now: float) -> list[Output]:
        """Take a new state and tell the relay at once."""
        self._endpoint.state = state
        if self._phase is _Phase.LEASED:
            return self._renew(now)
        if self._phase is _Phase.REGISTERING:
            return [self._register()]
        return []

    def end(self, now: float) -> list[Output]:
        """Tell the relay that the endpoint is gone, close the link and dial no more."""
        outputs = self.change_state(ENDPOINT_STATE_GONE, now)
        if self._connection is not None:
            outputs.append(CloseConnection(self._connection, "the agent stops"))
        self._phase = _Phase.ENDED
        self._connection = None
        self._due = None
        return outputs

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event; those of foreign links are ignored."""
        match event:
            case ConnectionOpened(connection) if self.owns(connection):
                return self._opened(now)
            case ConnectionFailed(connection, failure) if self.owns(connection):
                return self._move(now, str(failure))
            case ConnectionClosed(connection, reason) if self.owns(connection):
                return self._move(now, reason)
            case MessageReceived(connection, message) if self.owns(connection):
                return self._received(message, now)
            case DeadlineReached() if self._due is not None and now >= self._due:
                return self._timed(now)
        return []

    def _opened(self, now: float) -> list[Output]:
        self._phase = _Phase.REGISTERING
        self._due = now + self._settings.answer_timeout
        return [self._register()]

    def _received(self, message: object, now: float) -> list[Output]:
        match message:
            case LeaseGranted():
                return self._granted(message, now)
            case LeaseLost():
                return self._lost(message, now)
            case RetryLater():
                return self._defer(message, now)
        return []

    def _granted(self, message: LeaseGranted, now: float) -> list[Output]:
        if message.incarnation != self._incarnation:
            return []
        first = self._phase is not _Phase.LEASED
        self._phase = _Phase.LEASED
        self._lease = max(message.lease_ms / _MILLISECONDS, _SHORTEST_LEASE)
        self._heard_at = now
        self._backoff.reset()
        if not first:
            return []
        self._due = now + self._lease / RENEWALS_PER_LEASE
        fields: dict[str, object] = {"relay": str(self.relay), "lease_ms": message.lease_ms}
        return [LogEvent(events.LEASE_GRANTED, fields), *self.tell_crashes((), now)]

    def _lost(self, message: LeaseLost, now: float) -> list[Output]:
        if message.incarnation != self._incarnation:
            return []
        fields: dict[str, object] = {"relay": str(self.relay), "reason": message.reason}
        return [LogEvent(events.LEASE_LOST, fields), *self._opened(now)]

    def _defer(self, message: RetryLater, now: float) -> list[Output]:
        delay = self._backoff.next_delay(message.retry_after_ms / _MILLISECONDS)
        fields: dict[str, object] = {"relay": str(self.relay), "seconds": delay}
        outputs: list[Output] = [LogEvent(events.REGISTRATION_DEFERRED, fields)]
        outputs.extend(self._hang_up("told to come back later"))
        self._wait(now + delay)
        return outputs

    def _timed(self, now: float) -> list[Output]:
        if self._phase is _Phase.WAITING:
            return self._dial(now)
        if self._phase is _Phase.LEASED and now < self._heard_at + self._lease:
            return self._renew(now)
        reason = "the relay does not answer"
        return [*self._hang_up(reason), *self._move(now, reason)]

    def _dial(self, now: float) -> list[Output]:
        self._phase = _Phase.DIALLING
        self._connection = self._connections.draw()
        self._due = now + 2 * self._settings.answer_timeout
        return [OpenConnection(self._connection, self.relay, Purpose.REGISTRATION)]

    def _move(self, now: float, reason: str) -> list[Output]:
        fields: dict[str, object] = {"relay": str(self.relay), "reason": reason}
        self._relay = (self._relay + 1) % len(self._relays)
        self._wait(now + self._backoff.next_delay())
        return [LogEvent(events.REGISTRATION_MOVED, fields)]

    def _wait(self, until: float) -> None:
        self._phase = _Phase.WAITING
        self._connection = None
        self._due = until

    def _hang_up(self, reason: str) -> list[Output]:
        if self._connection is None:
            return []
        return [CloseConnection(self._connection, reason)]

    def _register(self) -> Output:
        assert self._connection is not None
        return SendMessage(self._connection, self._endpoint.register(self._in_flight))

    def _renew(self, now: float) -> list[Output]:
        assert self._connection is not None
        self._due = now + self._lease / RENEWALS_PER_LEASE
        return [SendMessage(self._connection, self._endpoint.renew(self._in_flight))]


def _endpoint_of(settings: RegistrationSettings, incarnation: int) -> Endpoint:
    return Endpoint(
        service=settings.service,
        instance=settings.instance,
        zone=settings.zone,
        incarnation=incarnation,
        host=settings.address.host,
        port=settings.address.port,
        slots=settings.slots,
        version=settings.version,
    )
