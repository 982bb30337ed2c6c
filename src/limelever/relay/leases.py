"""Registration links: agents register, renew and end their leases here."""

from __future__ import annotations

from google.protobuf.message import Message
from msgspec import Struct, field

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
from limelever.relay.endpoint_entry import OWN, EndpointName
from limelever.relay.endpoint_table import EndpointTable

_MILLISECONDS = 1000
OLDER_INCARNATION = "a newer incarnation is registered"
UNKNOWN_LEASE = "no lease is held on this link"


class LeaseResult(Struct):
    """What a message led to: outputs, and the endpoints others need to hear of."""

    outputs: list[Output] = field(default_factory=list)
    changed: list[EndpointName] = field(default_factory=list)


class Leases:
    """Grants leases of ``lease`` seconds. A link that closes ends none: only time does."""

    def __init__(self, table: EndpointTable, lease: float) -> None:
        self._table = table
        self._lease = lease
        self._registered: dict[ConnectionId, Endpoint] = {}

    def handle(self, connection: ConnectionId, message: Message, now: float) -> LeaseResult:
        """Take an agent's message; others than ``Register`` and ``LeaseRenew`` are ignored."""
        if isinstance(message, Register):
            return self._register(connection, message.endpoint, now)
        if isinstance(message, LeaseRenew):
            return self._renew(connection, message, now)
        return LeaseResult()

    def reporting(self, connection: ConnectionId) -> Endpoint | None:
        """Return the endpoint that is registered on a link."""
        return self._registered.get(connection)

    def closed(self, connection: ConnectionId) -> None:
        """Forget a link that is gone; the lease runs on, the agent may come back elsewhere."""
        self._registered.pop(connection, None)

    def connections(self) -> tuple[ConnectionId, ...]:
        """Return the links on which leases are held."""
        return tuple(self._registered)

    def _register(self, connection: ConnectionId, endpoint: Endpoint, now: float) -> LeaseResult:
        held = self._table.get(EndpointName.of(endpoint))
        if held is not None and held.endpoint.incarnation > endpoint.incarnation:
            return _refused(connection, endpoint)
        registered = Endpoint()
        registered.CopyFrom(endpoint)
        self._registered[connection] = registered
        return self._granted(connection, registered, now)

    def _renew(self, connection: ConnectionId, message: LeaseRenew, now: float) -> LeaseResult:
        registered = self._registered.get(connection)
        if registered is None or registered.incarnation != message.incarnation:
            lost = LeaseLost(incarnation=message.incarnation, reason=UNKNOWN_LEASE)
            return LeaseResult([SendMessage(connection, lost)])
        held = self._table.get(EndpointName.of(registered))
        if held is not None and held.endpoint.incarnation > message.incarnation:
            return _refused(connection, registered)
        registered.sequence = message.sequence
        registered.state = message.state
        return self._granted(connection, registered, now)

    def _granted(self, connection: ConnectionId, endpoint: Endpoint, now: float) -> LeaseResult:
        changed = self._table.offer(endpoint, OWN, now + self._lease, now)
        if endpoint.state == ENDPOINT_STATE_GONE:
            self._registered.pop(connection, None)
            return LeaseResult(changed=changed)
        granted = LeaseGranted(
            lease_ms=int(self._lease * _MILLISECONDS), incarnation=endpoint.incarnation
        )
        return LeaseResult([SendMessage(connection, granted)], changed)


def _refused(connection: ConnectionId, endpoint: Endpoint) -> LeaseResult:
    """Refuse an older incarnation, and close the link so that it does not ask again at once."""
    fields: dict[str, object] = {"agent": endpoint.instance, "reason": OLDER_INCARNATION}
    lost = LeaseLost(incarnation=endpoint.incarnation, reason=OLDER_INCARNATION)
    return LeaseResult(
        [
            SendMessage(connection, lost),
            CloseConnection(connection, OLDER_INCARNATION),
            LogEvent(events.LEASE_REFUSED, fields),
        ]
    )
