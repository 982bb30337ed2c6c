"""Endpoint updates to proxies on their subscription links, scoped by service."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import Endpoint, EndpointUpdate
from limelever.publisher.scope import Scope
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_table import EndpointTable


class EndpointFeed:
    """Sends each proxy its scope: all of it once, then changes; one message for each scope."""

    def __init__(self, table: EndpointTable) -> None:
        self._table = table
        self._scopes: dict[ConnectionId, Scope] = {}
        self._proxies: dict[Scope, dict[ConnectionId, None]] = {}
        self._by_service: dict[str, dict[Scope, None]] = {}

    def join(self, connection: ConnectionId, scope: Scope) -> list[Output]:
        """Send a proxy all endpoints of its scope; changes follow."""
        if connection not in self._scopes:
            self._scopes[connection] = scope
            self._proxies.setdefault(scope, {})[connection] = None
            for service in scope.services:
                self._by_service.setdefault(service, {})[scope] = None
        update = EndpointUpdate(full=True, endpoints=self._all(scope))
        return [SendMessage(connection, update)]

    def leave(self, connection: ConnectionId) -> None:
        """Forget a proxy whose link is gone."""
        scope = self._scopes.pop(connection, None)
        if scope is None:
            return
        del self._proxies[scope][connection]
        if self._proxies[scope]:
            return
        del self._proxies[scope]
        for service in scope.services:
            self._by_service[service].pop(scope, None)
            if not self._by_service[service]:
                del self._by_service[service]

    def publish(self, names: Iterable[EndpointName]) -> list[Output]:
        """Send the endpoints that changed to the proxies whose scope has them."""
        changes: dict[Scope, list[Endpoint]] = {}
        for name in sorted(names):
            entry = self._table.get(name)
            if entry is None:
                continue
            for scope in self._scopes_with(name.service):
                changes.setdefault(scope, []).append(entry.endpoint)
        outputs: list[Output] = []
        for scope, endpoints in changes.items():
            update = EndpointUpdate(endpoints=endpoints)
            outputs.extend(SendMessage(proxy, update) for proxy in self._proxies[scope])
        return outputs

    def _scopes_with(self, service: str) -> list[Scope]:
        scopes = list(self._by_service.get(service, ()))
        everything = Scope(everything=True)
        return [*scopes, everything] if everything in self._proxies else scopes

    def _all(self, scope: Scope) -> list[Endpoint]:
        if scope.everything:
            return self._table.living()
        return [e for service in sorted(scope.services) for e in self._table.of_service(service)]
