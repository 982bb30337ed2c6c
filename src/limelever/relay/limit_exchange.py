"""The relay's side of limits: the board, the limits of the configuration, and who told what."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import Message

from limelever.common.sansio import Address, ConnectionId, Output, Peer
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.config_pb2 import RESOURCE_KIND_TENANT, VersionedResource
from limelever.protocol.limits_pb2 import TenantUse
from limelever.relay.limit_coordinator import LimitBoard
from limelever.subscriber.notices import ConfigurationInstalled


class LimitExchange:
    """Feeds the board of one relay; times in seconds, monotonic."""

    def __init__(self, rules: LimitRules) -> None:
        self._board = LimitBoard(rules)
        self._limits: dict[int, Limit] = {}
        self._known = False

    def configured(self, installed: ConfigurationInstalled, now: float) -> None:
        """Take the limits of a version that is in force from now on."""
        before = dict(self._limits)
        if not self._known:
            self._known = True
            self._put(installed.configuration.resources.values())
        for key in installed.removed:
            if key.kind == RESOURCE_KIND_TENANT:
                self._limits.pop(tenant_hash(key.name), None)
        self._put(installed.put)
        if self._limits != before:
            self._board.set_limits(dict(self._limits), now)

    def proxy_told(self, connection: ConnectionId, peer: Peer, use: TenantUse, now: float) -> None:
        """Take what a proxy here let in and refused."""
        self._board.join(connection, peer.name)
        self._board.from_proxy(connection, use, now)

    def relay_joined(self, connection: ConnectionId, now: float) -> list[Output]:
        """Tell another relay of the use here from now on."""
        return self._board.join_relay(connection, now)

    def relay_told(self, address: Address, message: Message, now: float) -> None:
        """Take what another relay told of its proxies, if that is what the message is."""
        if isinstance(message, TenantUse):
            self._board.from_relay(str(address), message, now)

    def relay_lost(self, address: Address) -> None:
        """Take that the link to another relay is gone."""
        self._board.relay_lost(str(address))

    def closed(self, connection: ConnectionId) -> None:
        """Forget an accepted link that is gone."""
        self._board.leave(connection)

    def on_deadline(self, now: float) -> list[Output]:
        """Tell what is due."""
        return self._board.on_deadline(now)

    def next_deadline(self) -> float | None:
        """Return when ``on_deadline`` is to be called, or ``None``."""
        return self._board.next_at

    def _put(self, resources: Iterable[VersionedResource]) -> None:
        for each in resources:
            if each.resource.WhichOneof("body") != "tenant":
                continue
            tenant = each.resource.tenant
            number = tenant_hash(tenant.name)
            self._limits.pop(number, None)
            if tenant.rate_per_s > 0:
                self._limits[number] = Limit(tenant.rate_per_s, tenant.burst)
