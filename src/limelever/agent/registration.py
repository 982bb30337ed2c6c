"""Registers the back end at a relay of its zone and renews the lease.

One relay is used at a time. If it cannot be reached, closes the connection or does not answer
renewals, the next one of the list is tried after a delay with full jitter, which prevents a
thundering herd when all agents of a failed relay reconnect.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from enum import Enum, auto

from msgspec import Struct

from limelever.agent import events
from limelever.agent.endpoint_messages import EndpointMessages
from limelever.agent.load_reports import LoadReporter
from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.deadlines import earliest
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
"""Renewals sent per lease, so that two may be lost before the lease expires."""

MAX_PENDING_CRASH_REPORTS = 8
"""Crash reports kept until there is a lease; proxies report the same crashes too."""

LIMIT_REPORT_INTERVAL_SECONDS = 1.0
"""Minimum time between two reports of the instance's limit, which may change with each response.
Proxies that call the instance learn the limit from its agent."""

PREFERRED_RELAY_AVAILABLE = "another relay is preferred"
_MILLISECONDS_PER_SECOND = 1000.0
_MIN_LEASE_SECONDS = 0.3


class RegistrationSettings(Struct, frozen=True):
    """The endpoint to register, and the relays to register it at.

    Relays are tried in order; those of the agent's own zone come first. ``answer_timeout`` is in
    seconds, ``version`` is that of the back end's software, and ``region`` is empty if unknown.
    ``run`` is the back end's own identifier, empty if unknown, and ``run_started_ms`` the Unix time
    of its start, 0 if unknown.
    """

    relays: tuple[Address, ...]
    service: str
    instance: str
    zone: str
    address: Address
    slots: int
    version: str = ""
    region: str = ""
    run: str = ""
    run_started_ms: int = 0
    answer_timeout: float = 3.0
    backoff: BackoffSettings = BackoffSettings()


class _Phase(Enum):
    NOT_STARTED = auto()
    BACKING_OFF = auto()
    DIALLING = auto()
    REGISTERING = auto()
    LEASED = auto()
    ENDED = auto()


class Registration:
    """Keeps one endpoint registered; sans-I/O component of the agent core.

    ``incarnation`` must be higher than in any earlier run of the same instance.
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
        self._relay_index = 0
        self._phase = _Phase.NOT_STARTED
        self._endpoint = EndpointMessages(_endpoint_of(settings, incarnation))
        self._in_flight = 0
        self._load_reports = LoadReporter()
        self._connection: ConnectionId | None = None
        self._due: float | None = None
        self._lease = 0.0
        self._granted_at = 0.0
        self._limit_reported_at = -math.inf
        self._limit_due: float | None = None
        self.run_departed = False
        """Whether the relay knows that the run of the instance has left."""
        self._pending_crash_reports: deque[CrashNews] = deque(maxlen=MAX_PENDING_CRASH_REPORTS)

    @property
    def leased(self) -> bool:
        """Return whether the endpoint holds a lease."""
        return self._phase is _Phase.LEASED

    @property
    def relay(self) -> Address:
        """Return the address of the relay in use or being tried."""
        return self._relays[self._relay_index]

    def extend_relays(self, relays: tuple[Address, ...]) -> None:
        """Add relays to choose from."""
        self._relays = tuple(dict.fromkeys((*self._relays, *relays)))

    def replace_relays(self, received: PublishersReceived, now: float) -> list[Output]:
        """Replace the list of relays; the current one stays in use while it answers.

        If another relay is preferred for this zone, the endpoint is registered there instead, since
        the proxies of the zone receive load reports from that relay first.
        """
        relays, current = received.addresses, self.relay
        self._relays = relays if current in relays else (*relays, current)
        self._relay_index = self._relays.index(current)
        if not self.leased or received.preferred in (None, current):
            return []
        outputs = self._close_connection(PREFERRED_RELAY_AVAILABLE)
        self._relay_index = self._relays.index(received.preferred)
        return [*outputs, *self._dial(now)]

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether this is the connection to the relay."""
        return connection == self._connection

    def next_deadline(self) -> float | None:
        """Return when the next ``DeadlineReached`` is needed (monotonic seconds)."""
        report_due = self._load_reports.next_deadline() if self.leased else None
        return earliest(self._due, report_due, self._limit_due)

    def start(self, now: float) -> list[Output]:
        """Start registering; no effect if already started."""
        if self._phase is not _Phase.NOT_STARTED:
            return []
        return self._dial(now)

    def report_load(self, in_flight: int, load: int, now: float, pace: int = 0) -> list[Output]:
        """Update the load, and return a report to the relay if it has changed enough.

        ``in_flight`` is sent with the next renewal. ``pace`` is the back end's current service
        time in thousandths of the usual.
        """
        self._in_flight = in_flight
        if not self.leased or self._connection is None:
            return []
        report = self._load_reports.update(load, now, pace)
        return [SendMessage(self._connection, report)] if report is not None else []

    def report_crashes(self, crashes: Sequence[CrashNews], now: float) -> list[Output]:
        """Report the requests that ran when the back end crashed, as soon as there is a lease."""
        self._pending_crash_reports.extend(crashes)
        if not self.leased or self._connection is None:
            return []
        connection, reports = self._connection, tuple(self._pending_crash_reports)
        self._pending_crash_reports.clear()
        return [SendMessage(connection, each) for each in reports]

    def report_version_tally(self, tally: VersionTally) -> list[Output]:
        """Report the outcomes of calls to the version that is being rolled out."""
        if not self.leased or self._connection is None:
            return []
        return [SendMessage(self._connection, tally)]

    def set_version(self, version: str) -> list[Output]:
        """Set the version of the back end's software, and register it if already registered."""
        self._endpoint.set_version(version)
        return self._register_again()

    def set_warm_up(self, left_ms: int) -> list[Output]:
        """Set the remaining warm-up time, and register it if the back end became warm or cold."""
        return self._register_again() if self._endpoint.set_warm_up(left_ms) else []

    def set_limit(self, limit: float | None, now: float) -> list[Output]:
        """Set the limit that the instance states, and register it, but not too often."""
        self._limit_due = None
        report_at = self._limit_reported_at + LIMIT_REPORT_INTERVAL_SECONDS
        if now < report_at:
            self._limit_due = report_at if self._endpoint.limit_differs(limit) else None
            return []
        if not self._endpoint.set_limit(limit):
            return []
        self._limit_reported_at = now
        return self._register_again()

    def set_leaving(self) -> None:
        """Record that the instance has stated that it is leaving, for the next change of state."""
        self._endpoint.set_leaving()

    def _register_again(self) -> list[Output]:
        registered = self._phase in (_Phase.LEASED, _Phase.REGISTERING)
        return [self._register()] if registered else []

    def change_state(self, state: EndpointState.ValueType, now: float) -> list[Output]:
        """Change the endpoint's state and report it at once."""
        self._endpoint.state = state
        if self._phase is _Phase.LEASED and not self._endpoint.leaving:
            return self._renew(now)
        if self._phase in (_Phase.LEASED, _Phase.REGISTERING):
            return [self._register()]
        return []

    def stop(self, now: float) -> list[Output]:
        """Report the endpoint as gone, close the connection and stop for good."""
        outputs = self.change_state(ENDPOINT_STATE_GONE, now)
        if self._connection is not None:
            outputs.append(CloseConnection(self._connection, "the agent stops"))
        self._phase = _Phase.ENDED
        self._connection = None
        self._due = None
        return outputs

    def handle(self, event: Event, now: float) -> list[Output]:
        """Process one event; those of other connections are ignored."""
        match event:
            case ConnectionOpened(connection) if self.owns(connection):
                return self._start_registering(now)
            case ConnectionFailed(connection, failure) if self.owns(connection):
                return self._try_next_relay(now, str(failure))
            case ConnectionClosed(connection, reason) if self.owns(connection):
                return self._try_next_relay(now, reason)
            case MessageReceived(connection, message) if self.owns(connection):
                return self._handle_message(message, now)
            case DeadlineReached() if self._due is not None and now >= self._due:
                return self._deadline_passed(now)
        return []

    def _start_registering(self, now: float) -> list[Output]:
        self._phase = _Phase.REGISTERING
        self._due = now + self._settings.answer_timeout
        return [self._register()]

    def _handle_message(self, message: object, now: float) -> list[Output]:
        match message:
            case LeaseGranted():
                return self._lease_granted(message, now)
            case LeaseLost():
                return self._lease_lost(message, now)
            case RetryLater():
                return self._defer(message, now)
        return []

    def _lease_granted(self, message: LeaseGranted, now: float) -> list[Output]:
        if message.incarnation != self._incarnation:
            return []
        self.run_departed = message.run_departed
        first = self._phase is not _Phase.LEASED
        self._phase = _Phase.LEASED
        self._lease = max(message.lease_ms / _MILLISECONDS_PER_SECOND, _MIN_LEASE_SECONDS)
        self._granted_at = now
        self._backoff.reset()
        if not first:
            return []
        self._due = now + self._lease / RENEWALS_PER_LEASE
        fields: dict[str, object] = {"relay": str(self.relay), "lease_ms": message.lease_ms}
        return [LogEvent(events.LEASE_GRANTED, fields), *self.report_crashes((), now)]

    def _lease_lost(self, message: LeaseLost, now: float) -> list[Output]:
        if message.incarnation != self._incarnation:
            return []
        fields: dict[str, object] = {"relay": str(self.relay), "reason": message.reason}
        return [LogEvent(events.LEASE_LOST, fields), *self._start_registering(now)]

    def _defer(self, message: RetryLater, now: float) -> list[Output]:
        delay = self._backoff.next_delay(message.retry_after_ms / _MILLISECONDS_PER_SECOND)
        fields: dict[str, object] = {"relay": str(self.relay), "seconds": delay}
        outputs: list[Output] = [LogEvent(events.REGISTRATION_DEFERRED, fields)]
        outputs.extend(self._close_connection("the relay asked for a later retry"))
        self._schedule_dial(now + delay)
        return outputs

    def _deadline_passed(self, now: float) -> list[Output]:
        if self._phase is _Phase.BACKING_OFF:
            return self._dial(now)
        if self._phase is _Phase.LEASED and now < self._granted_at + self._lease:
            return self._renew(now)
        reason = "the relay does not answer"
        return [*self._close_connection(reason), *self._try_next_relay(now, reason)]

    def _dial(self, now: float) -> list[Output]:
        self._phase = _Phase.DIALLING
        self._connection = self._connections.draw()
        self._due = now + 2 * self._settings.answer_timeout
        return [OpenConnection(self._connection, self.relay, Purpose.REGISTRATION)]

    def _try_next_relay(self, now: float, reason: str) -> list[Output]:
        fields: dict[str, object] = {"relay": str(self.relay), "reason": reason}
        self._relay_index = (self._relay_index + 1) % len(self._relays)
        self._schedule_dial(now + self._backoff.next_delay())
        return [LogEvent(events.REGISTRATION_MOVED, fields)]

    def _schedule_dial(self, until: float) -> None:
        self._phase = _Phase.BACKING_OFF
        self._connection = None
        self._due = until

    def _close_connection(self, reason: str) -> list[Output]:
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
        region=settings.region,
        run=settings.run,
        run_started_ms=settings.run_started_ms,
    )
