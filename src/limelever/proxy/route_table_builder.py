"""Builds the route table of a configuration version, in full or from the previous table."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_TENANT,
    Route,
    VersionedResource,
)
from limelever.protocol.keys import Key
from limelever.proxy.ranks import Ranks
from limelever.proxy.router import ROOT, IndexedRoute, RouteDestination, RouteEntry, RouteTable
from limelever.proxy.tenants import TenantTable, advance_tenant_table, build_tenant_table
from limelever.subscriber.configuration import ConfigurationSet

_MILLISECONDS = 1000
Resources = Mapping[Key, VersionedResource]
EntriesByPrefix = dict[bytes, tuple[RouteEntry, ...]]
_INCREMENTAL_KINDS = frozenset({RESOURCE_KIND_ROUTE, RESOURCE_KIND_TENANT})


def build_route_table(configuration: ConfigurationSet, version: int) -> RouteTable | Failure:
    """Build the table of a version; return ``DANGLING_REFERENCE`` if resources are missing."""
    dangling = _dangling_references(configuration)
    if dangling is not None:
        return dangling
    resources = configuration.resources
    routes = {
        key.name: _build_route(versioned, resources)
        for key, versioned in resources.items()
        if key.kind == RESOURCE_KIND_ROUTE
    }
    tenants = build_tenant_table(configuration.tenants.values())
    hosts: dict[bytes, EntriesByPrefix] = {}
    for name in sorted(routes):
        route = routes[name]
        prefixes = hosts.setdefault(route.host, {})
        prefixes[route.prefix] = (*prefixes.get(route.prefix, ()), route.entry)
    return RouteTable(
        version=version,
        hosts=hosts,
        weights={
            service: {share.group: share.weight for share in shares}
            for service, shares in configuration.shares.items()
        },
        secret_names=frozenset(s.header.lower().encode() for s in configuration.secrets.values()),
        routes=routes,
        tenants=tenants,
        ranks=Ranks.of(_max_route_priority(routes.values()), tenants.priorities()),
    )


def update_route_table(
    previous: RouteTable,
    configuration: ConfigurationSet,
    version: int,
    put: Iterable[VersionedResource],
    removed: Iterable[Key],
) -> RouteTable | Failure:
    """Build the table of a version that differs from ``previous`` by ``put`` and ``removed``.

    Changes of routes and tenants are applied incrementally to a shallow copy. Services, shares and
    secrets are referenced by many entries, so a change of these rebuilds the whole table.
    """
    changed = {Key.of(versioned.resource): versioned for versioned in put}
    gone = [key for key in removed if key not in changed]
    if any(key.kind not in _INCREMENTAL_KINDS for key in (*changed, *gone)):
        return build_route_table(configuration, version)
    dangling = _dangling_references(configuration)
    if dangling is not None:
        return dangling
    editor = _TableEditor(previous)
    for key in (*gone, *changed):
        if key.kind == RESOURCE_KIND_ROUTE:
            editor.remove(key.name)
    for key, versioned in changed.items():
        if key.kind == RESOURCE_KIND_ROUTE:
            editor.add(_build_route(versioned, configuration.resources))
    return editor.table(version, advance_tenant_table(previous.tenants, changed.values(), gone))


class _TableEditor:
    """Builds a modified copy of a route table without changing the original."""

    def __init__(self, previous: RouteTable) -> None:
        self._previous = previous
        self._routes = dict(previous.routes)
        self._hosts = dict(previous.hosts)
        self._copied_hosts: dict[bytes, EntriesByPrefix] = {}
        self._max_priority: int | None = previous.ranks.largest_route_priority

    def remove(self, name: str) -> None:
        """Remove the route of this name, if there is one."""
        route = self._routes.pop(name, None)
        if route is None:
            return
        if route.entry.priority == self._max_priority:
            self._max_priority = None
        prefixes = self._writable_prefixes(route.host)
        remaining = tuple(entry for entry in prefixes[route.prefix] if entry is not route.entry)
        if remaining:
            prefixes[route.prefix] = remaining
        else:
            del prefixes[route.prefix]

    def add(self, route: IndexedRoute) -> None:
        """Add a route, keeping the routes of a prefix sorted by name."""
        prefixes = self._writable_prefixes(route.host)
        entries = (*prefixes.get(route.prefix, ()), route.entry)
        prefixes[route.prefix] = tuple(sorted(entries, key=lambda entry: entry.name))
        self._routes[route.entry.name] = route
        if self._max_priority is not None:
            self._max_priority = max(self._max_priority, route.entry.priority)

    def table(self, version: int, tenants: TenantTable) -> RouteTable:
        """Return the modified table, without hosts that have no routes left."""
        for host, prefixes in self._copied_hosts.items():
            if not prefixes:
                del self._hosts[host]
        previous = self._previous
        return RouteTable(
            version,
            self._hosts,
            previous.weights,
            previous.secret_names,
            self._routes,
            tenants,
            self._ranks(tenants),
        )

    def _ranks(self, tenants: TenantTable) -> Ranks:
        """Return the ranks; scans all routes only if one of the largest priority was removed."""
        if self._max_priority is None:
            self._max_priority = _max_route_priority(self._routes.values())
        previous = self._previous
        if (
            tenants is previous.tenants
            and self._max_priority == previous.ranks.largest_route_priority
        ):
            return previous.ranks
        return Ranks.of(self._max_priority, tenants.priorities())

    def _writable_prefixes(self, host: bytes) -> EntriesByPrefix:
        copied = self._copied_hosts.get(host)
        if copied is None:
            copied = self._copied_hosts[host] = dict(self._hosts.get(host, {}))
            self._hosts[host] = copied
        return copied


def _dangling_references(configuration: ConfigurationSet) -> Failure | None:
    dangling = configuration.dangling()
    if not dangling:
        return None
    names = tuple(str(key) for key in dangling)
    return Failure(ErrorKind.DANGLING_REFERENCE, "route table references missing resources", names)


def _build_route(versioned: VersionedResource, resources: Resources) -> IndexedRoute:
    route = versioned.resource.route
    return IndexedRoute(_entry(route, resources), route.host.encode(), _prefix(route))


def _max_route_priority(routes: Iterable[IndexedRoute]) -> int:
    return max((route.entry.priority for route in routes), default=0)


def _prefix(route: Route) -> bytes:
    return route.path_prefix.encode() or ROOT


def _entry(route: Route, resources: Resources) -> RouteEntry:
    secrets = [resources[Key(RESOURCE_KIND_SECRET, name)].resource.secret for name in route.secrets]
    return RouteEntry(
        name=route.name,
        destinations=_destinations(route, resources),
        methods=frozenset(method.upper().encode() for method in route.methods),
        at_most_once=route.call_kind == CALL_KIND_AT_MOST_ONCE,
        repeatable=route.call_kind == CALL_KIND_REPEATABLE,
        call_kind=route.call_kind,
        timeout=route.timeout_ms / _MILLISECONDS,
        retry_budget_percent=route.retry_budget_percent,
        secret_headers=tuple((s.header.lower().encode(), s.value) for s in secrets),
        attempts=route.attempts,
        priority=route.priority,
        target_latency=route.target_latency_ms / _MILLISECONDS,
        public=route.public,
        allowed_regions=frozenset(route.allowed_regions),
    )


def _destinations(route: Route, resources: Resources) -> tuple[RouteDestination, ...]:
    weights = {each.service: each.weight for each in route.split} or {route.service: 1}
    return tuple(_destination(name, weight, resources) for name, weight in weights.items())


def _destination(name: str, weight: int, resources: Resources) -> RouteDestination:
    service = resources[Key(RESOURCE_KIND_SERVICE, name)].resource.service
    return RouteDestination(
        name,
        weight,
        service.max_body_bytes,
        service.slow_start_ms / _MILLISECONDS,
        frozenset(int(digest, 16) for digest in service.released_requests),
    )
