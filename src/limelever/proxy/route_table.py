"""Builds the route table of a version: whole, or from the table before it and what changed."""

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
from limelever.proxy.router import ROOT, BuiltRoute, RouteEntry, RoutePart, RouteTable
from limelever.proxy.tenants import TenantTable, advance_tenant_table, build_tenant_table
from limelever.subscriber.configuration import ConfigurationSet

_MILLISECONDS = 1000
Resources = Mapping[Key, VersionedResource]
EntriesByPrefix = dict[bytes, tuple[RouteEntry, ...]]
_EDITED_KINDS = frozenset({RESOURCE_KIND_ROUTE, RESOURCE_KIND_TENANT})


def build_route_table(configuration: ConfigurationSet, version: int) -> RouteTable | Failure:
    """Build the table of a version, or return ``DANGLING_REFERENCE`` naming what is missing."""
    dangling = _dangling(configuration)
    if dangling is not None:
        return dangling
    resources = configuration.resources
    built = {
        key.name: _build_route(held, resources)
        for key, held in resources.items()
        if key.kind == RESOURCE_KIND_ROUTE
    }
    tenants = build_tenant_table(configuration.tenants.values())
    hosts: dict[bytes, EntriesByPrefix] = {}
    for name in sorted(built):
        route = built[name]
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
        built=built,
        tenants=tenants,
        ranks=Ranks.of(_largest_priority(built.values()), tenants.priorities()),
    )


def advance_route_table(
    former: RouteTable,
    configuration: ConfigurationSet,
    version: int,
    put: Iterable[VersionedResource],
    removed: Iterable[Key],
) -> RouteTable | Failure:
    """Build the table of a version that differs by ``put`` and ``removed`` from ``former``'s.

    Where only routes and tenants changed the cost goes by the change, but for copies of the tables
    as they are: 0.03 ms for one of 1,700 routes, 1.3 ms with a look at all of them (one process,
    best of 20).
    Services, shares and secrets stand in many entries: all are built anew.
    """
    changed = {Key.of(versioned.resource): versioned for versioned in put}
    gone = [key for key in removed if key not in changed]
    if any(key.kind not in _EDITED_KINDS for key in (*changed, *gone)):
        return build_route_table(configuration, version)
    dangling = _dangling(configuration)
    if dangling is not None:
        return dangling
    editor = _Editor(former)
    for key in (*gone, *changed):
        if key.kind == RESOURCE_KIND_ROUTE:
            editor.remove(key.name)
    for key, versioned in changed.items():
        if key.kind == RESOURCE_KIND_ROUTE:
            editor.add(_build_route(versioned, configuration.resources))
    return editor.table(version, advance_tenant_table(former.tenants, changed.values(), gone))


class _Editor:
    """Makes a changed copy of a table; what the former one holds stays as it is."""

    def __init__(self, former: RouteTable) -> None:
        self._former = former
        self._built = dict(former.built)
        self._hosts = dict(former.hosts)
        self._copied: dict[bytes, EntriesByPrefix] = {}
        self._largest: int | None = former.ranks.largest_route_priority

    def remove(self, name: str) -> None:
        """Take a route out, if there is one of that name."""
        route = self._built.pop(name, None)
        if route is None:
            return
        if route.entry.priority == self._largest:
            self._largest = None
        prefixes = self._prefixes_at(route.host)
        left = tuple(entry for entry in prefixes[route.prefix] if entry is not route.entry)
        if left:
            prefixes[route.prefix] = left
        else:
            del prefixes[route.prefix]

    def add(self, route: BuiltRoute) -> None:
        """Put a route in; those of one prefix stand in the order of their names."""
        prefixes = self._prefixes_at(route.host)
        entries = (*prefixes.get(route.prefix, ()), route.entry)
        prefixes[route.prefix] = tuple(sorted(entries, key=lambda entry: entry.name))
        self._built[route.entry.name] = route
        if self._largest is not None:
            self._largest = max(self._largest, route.entry.priority)

    def table(self, version: int, tenants: TenantTable) -> RouteTable:
        """Return the changed table; a host without routes is not in it."""
        for host, prefixes in self._copied.items():
            if not prefixes:
                del self._hosts[host]
        former = self._former
        return RouteTable(
            version,
            self._hosts,
            former.weights,
            former.secret_names,
            self._built,
            tenants,
            self._ranks(tenants),
        )

    def _ranks(self, tenants: TenantTable) -> Ranks:
        """Return the ranks; all routes are looked at only where one of the least urgent went."""
        if self._largest is None:
            self._largest = _largest_priority(self._built.values())
        former = self._former
        if tenants is former.tenants and self._largest == former.ranks.largest_route_priority:
            return former.ranks
        return Ranks.of(self._largest, tenants.priorities())

    def _prefixes_at(self, host: bytes) -> EntriesByPrefix:
        copied = self._copied.get(host)
        if copied is None:
            copied = self._copied[host] = dict(self._hosts.get(host, {}))
            self._hosts[host] = copied
        return copied


def _dangling(configuration: ConfigurationSet) -> Failure | None:
    dangling = configuration.dangling()
    if not dangling:
        return None
    names = tuple(str(key) for key in dangling)
    return Failure(ErrorKind.DANGLING_REFERENCE, "route table would be incomplete", names)


def _build_route(held: VersionedResource, resources: Resources) -> BuiltRoute:
    route = held.resource.route
    return BuiltRoute(_entry(route, resources), route.host.encode(), _prefix(route))


def _largest_priority(routes: Iterable[BuiltRoute]) -> int:
    return max((route.entry.priority for route in routes), default=0)


def _prefix(route: Route) -> bytes:
    return route.path_prefix.encode() or ROOT


def _entry(route: Route, resources: Resources) -> RouteEntry:
    secrets = [resources[Key(RESOURCE_KIND_SECRET, name)].resource.secret for name in route.secrets]
    return RouteEntry(
        name=route.name,
        parts=_parts(route, resources),
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
    )


def _parts(route: Route, resources: Resources) -> tuple[RoutePart, ...]:
    weights = {part.service: part.weight for part in route.split} or {route.service: 1}
    return tuple(_part(name, weight, resources) for name, weight in weights.items())


def _part(name: str, weight: int, resources: Resources) -> RoutePart:
    service = resources[Key(RESOURCE_KIND_SERVICE, name)].resource.service
    return RoutePart(
        name,
        weight,
        service.max_body_bytes,
        service.slow_start_ms / _MILLISECONDS,
        frozenset(int(digest, 16) for digest in service.released_requests),
    )
