"""Leases of endpoints: agents register, renew and end them on registration links."""

from __future__ import annotations

from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import (
    CloseConnection,
    ConnectionId,
    LogEvent,
    Output,
    SendMessage,
)
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_GONE,
    Endpoint,
    LeaseGranted,
    LeaseLost,
    LeaseRenew,
    Register,
)
from limelever.relay import events
from limelever.relay.endpoint_entry import LOCAL_ORIGIN, EndpointName, run_of
from limelever.relay.endpoint_table import EndpointTable

_MS_PER_SECOND = 1000
OUTDATED_INCARNATION = "a newer incarnation is registered"
UNKNOWN_LEASE = "no lease is held on this link"


class LeaseResult(Struct):
    """The outputs of a message, and the endpoints that must be published."""

    outputs: list[Output] = field(default_factory=list)
    changed: list[EndpointName] = field(default_factory=list)


class Leases:
    """Grants leases of ``lease_duration`` seconds, which outlive their link."""

    def __init__(self, table: EndpointTable, lease_duration: float) -> None:
        self._table = table
        self._lease_duration = lease_duration
        self._endpoint_by_link: dict[ConnectionId, Endpoint] = {}

    def handle(self, connection: ConnectionId, message: Message, now: float) -> LeaseResult:
        """Handle a ``Register`` or ``LeaseRenew`` message; others are ignored."""
        if isinstance(message, Register):
            return self._register(connection, message.endpoint, now)
        if isinstance(message, LeaseRenew):
            return self._renew(connection, message, now)
        return LeaseResult()

    def registered_endpoint(self, connection: ConnectionId) -> Endpoint | None:
        """Return the endpoint that is registered on a link, or ``None``."""
        return self._endpoint_by_link.get(connection)

    def connection_closed(self, connection: ConnectionId) -> None:
        """Release a closed link; the lease runs on, as the agent may register again elsewhere."""
        self._endpoint_by_link.pop(connection, None)

    def connections(self) -> tuple[ConnectionId, ...]:
        """Return the links on which leases are held."""
        return tuple(self._endpoint_by_link)

    def _register(self, connection: ConnectionId, endpoint: Endpoint, now: float) -> LeaseResult:
        current = self._table.get(EndpointName.of(endpoint))
        if current is not None and current.endpoint.incarnation > endpoint.incarnation:
            return _refuse(connection, endpoint)
        registered = Endpoint()
        registered.CopyFrom(endpoint)
        self._endpoint_by_link[connection] = registered
        return self._grant(connection, registered, now)

    def _renew(self, connection: ConnectionId, message: LeaseRenew, now: float) -> LeaseResult:
        registered = self._endpoint_by_link.get(connection)
        if registered is None or registered.incarnation != message.incarnation:
            lost = LeaseLost(incarnation=message.incarnation, reason=UNKNOWN_LEASE)
            return LeaseResult([SendMessage(connection, lost)])
        current = self._table.get(EndpointName.of(registered))
        if current is not None and current.endpoint.incarnation > message.incarnation:
            return _refuse(connection, registered)
        registered.sequence = message.sequence
        registered.state = message.state
        return self._grant(connection, registered, now)

    def _grant(self, connection: ConnectionId, endpoint: Endpoint, now: float) -> LeaseResult:
        changed = self._table.merge(endpoint, LOCAL_ORIGIN, now + self._lease_duration, now)
        if endpoint.state == ENDPOINT_STATE_GONE:
            self._endpoint_by_link.pop(connection, None)
            return LeaseResult(changed=changed)
        return LeaseResult([self._granted(connection, endpoint)], changed)

    def _granted(self, connection: ConnectionId, endpoint: Endpoint) -> Output:
        granted = LeaseGranted(
            lease_ms=int(self._lease_duration * _MS_PER_SECOND),
            incarnation=endpoint.incarnation,
            run_departed=self._table.has_departed(endpoint),
        )
        return SendMessage(connection, granted)

    def run_departed(self, run: DepartedRun) -> list[Output]:
        """Notify the agents beside a run that it has left."""
        return [
            self._granted(connection, endpoint)
            for connection, endpoint in self._endpoint_by_link.items()
            if run_of(endpoint).instance == run.instance and self._table.has_departed(endpoint)
        ]


def _refuse(connection: ConnectionId, endpoint: Endpoint) -> LeaseResult:
    """Refuse an older incarnation, and close the link so that the agent does not retry at once."""
    fields: dict[str, object] = {"agent": endpoint.instance, "reason": OUTDATED_INCARNATION}
    lost = LeaseLost(incarnation=endpoint.incarnation, reason=OUTDATED_INCARNATION)
    return LeaseResult(
        [
            SendMessage(connection, lost),
            CloseConnection(connection, OUTDATED_INCARNATION),
            LogEvent(events.LEASE_REFUSED, fields),
        ]
    )
