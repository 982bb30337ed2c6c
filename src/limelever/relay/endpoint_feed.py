"""Publishes endpoint updates to proxies on their subscription links, scoped by service."""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoints_pb2 import Endpoint, EndpointUpdate
from limelever.publisher.scope import EVERYTHING_SCOPES, Scope
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_table import EndpointTable


class EndpointFeed:
    """Sends each proxy the endpoints of its scope, then changes; builds one message per scope."""

    def __init__(self, table: EndpointTable) -> None:
        self._table = table
        self._scope_by_proxy: dict[ConnectionId, Scope] = {}
        self._proxies_by_scope: dict[Scope, dict[ConnectionId, None]] = {}
        self._scopes_by_service: dict[str, dict[Scope, None]] = {}

    def add_proxy(self, connection: ConnectionId, scope: Scope) -> list[Output]:
        """Send a proxy all endpoints of its scope, and changes from now on."""
        if connection not in self._scope_by_proxy:
            self._scope_by_proxy[connection] = scope
            self._proxies_by_scope.setdefault(scope, {})[connection] = None
            for service in scope.services:
                self._scopes_by_service.setdefault(service, {})[scope] = None
        update = EndpointUpdate(full=True, endpoints=self._all_endpoints(scope))
        return [SendMessage(connection, update)]

    def remove_proxy(self, connection: ConnectionId) -> None:
        """Remove a proxy whose link was closed."""
        scope = self._scope_by_proxy.pop(connection, None)
        if scope is None:
            return
        del self._proxies_by_scope[scope][connection]
        if self._proxies_by_scope[scope]:
            return
        del self._proxies_by_scope[scope]
        for service in scope.services:
            self._scopes_by_service[service].pop(scope, None)
            if not self._scopes_by_service[service]:
                del self._scopes_by_service[service]

    def publish(self, names: Iterable[EndpointName]) -> list[Output]:
        """Send changed endpoints to the proxies whose scope includes their service."""
        changes: dict[Scope, list[Endpoint]] = {}
        for name in sorted(names):
            entry = self._table.get(name)
            if entry is None:
                continue
            for scope in self._scopes_including(name.service):
                changes.setdefault(scope, []).append(entry.endpoint)
        outputs: list[Output] = []
        for scope, endpoints in changes.items():
            update = EndpointUpdate(endpoints=endpoints)
            outputs.extend(SendMessage(proxy, update) for proxy in self._proxies_by_scope[scope])
        return outputs

    def _scopes_including(self, service: str) -> list[Scope]:
        scopes = list(self._scopes_by_service.get(service, ()))
        everything = [scope for scope in EVERYTHING_SCOPES if scope in self._proxies_by_scope]
        return [*scopes, *everything]

    def _all_endpoints(self, scope: Scope) -> list[Endpoint]:
        if scope.everything:
            return self._table.live_endpoints()
        return [
            endpoint
            for service in sorted(scope.services)
            for endpoint in self._table.of_service(service)
        ]
