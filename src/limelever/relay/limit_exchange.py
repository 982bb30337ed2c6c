"""Connects the limit coordinator to the configuration and the links of the relay."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import Message

from limelever.common.sansio import Address, ConnectionId, Output, Peer
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.config_pb2 import RESOURCE_KIND_TENANT, VersionedResource
from limelever.protocol.limits_pb2 import TenantUse
from limelever.relay.limit_coordinator import LimitCoordinator
from limelever.subscriber.notices import ConfigurationInstalled


class LimitExchange:
    """Passes limits and usage reports to the coordinator; times in seconds, monotonic."""

    def __init__(self, rules: LimitRules) -> None:
        self._coordinator = LimitCoordinator(rules)
        self._limit_by_tenant: dict[int, Limit] = {}
        self._initialized = False

    def apply_configuration(self, installed: ConfigurationInstalled, now: float) -> None:
        """Apply the tenants' limits of a configuration version that was installed."""
        previous = dict(self._limit_by_tenant)
        if not self._initialized:
            self._initialized = True
            self._put_limits(installed.configuration.resources.values())
        for key in installed.removed:
            if key.kind == RESOURCE_KIND_TENANT:
                self._limit_by_tenant.pop(tenant_hash(key.name), None)
        self._put_limits(installed.put)
        if self._limit_by_tenant != previous:
            self._coordinator.set_limits(dict(self._limit_by_tenant), now)

    def handle_proxy_report(
        self, connection: ConnectionId, peer: Peer, report: TenantUse, now: float
    ) -> None:
        """Handle the calls that a proxy of this relay admitted and refused."""
        self._coordinator.add_proxy(connection, peer.name)
        self._coordinator.handle_proxy_report(connection, report, now)

    def add_relay(self, connection: ConnectionId, now: float) -> list[Output]:
        """Report the usage at this relay's proxies to another relay from now on."""
        return self._coordinator.add_relay(connection, now)

    def handle_relay_message(self, address: Address, message: Message, now: float) -> None:
        """Handle a message of another relay if it is a usage report."""
        if isinstance(message, TenantUse):
            self._coordinator.handle_relay_report(str(address), message, now)

    def relay_disconnected(self, address: Address) -> None:
        """Discard the usage of a relay whose link was lost."""
        self._coordinator.relay_disconnected(str(address))

    def connection_closed(self, connection: ConnectionId) -> None:
        """Release the state of an accepted link that was closed."""
        self._coordinator.remove(connection)

    def on_deadline(self, now: float) -> list[Output]:
        """Send the reports and updates that are due."""
        return self._coordinator.on_deadline(now)

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return self._coordinator.next_at

    def _put_limits(self, resources: Iterable[VersionedResource]) -> None:
        for versioned in resources:
            if versioned.resource.WhichOneof("body") != "tenant":
                continue
            tenant = versioned.resource.tenant
            hashed_name = tenant_hash(tenant.name)
            self._limit_by_tenant.pop(hashed_name, None)
            if tenant.rate_per_s > 0:
                self._limit_by_tenant[hashed_name] = Limit(tenant.rate_per_s, tenant.burst)
