"""Routes a call by host, method and path with an immutable table, built whole from one version.

The longest path prefix wins. Prefixes match whole path segments: ``/orders`` matches
``/orders`` and ``/orders/7`` but not ``/ordersheet``; ``/orders/`` matches only below it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    CallKind,
    Route,
    VersionedResource,
)
from limelever.protocol.keys import Key
from limelever.proxy.group_limits import DEFAULT_WEIGHT
from limelever.subscriber.configuration import ConfigurationSet

ANY_HOST = b""
_ROOT = b"/"
_DOT_SEGMENTS = frozenset({b".", b".."})
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class RoutePart:
    """A service that takes a part of a route's calls; ``slow_start`` in seconds, 0 = default."""

    service: str
    weight: int
    max_body_bytes: int
    slow_start: float


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route with all that a call on it needs; times in seconds, 0 = the proxy's default.

    Calls that are not ``repeatable`` go on only after an outcome of NOT RUN; those that are
    ``at_most_once`` need a claim on the caller's idempotency key besides. ``parts`` holds one
    service, or those of a split.
    """

    name: str
    parts: tuple[RoutePart, ...]
    methods: frozenset[bytes]
    at_most_once: bool
    repeatable: bool
    call_kind: CallKind.ValueType
    timeout: float
    retry_budget_percent: int
    secret_headers: Headers
    attempts: int = 0
    priority: int = 0
    target_latency: float = 0.0

    def allows(self, method: bytes) -> bool:
        """Return whether the route takes calls with this method."""
        return not self.methods or method in self.methods


@dataclass(frozen=True, slots=True)
class BuiltRoute:
    """A route's entry and where it stands, with the resources that it was built from."""

    entry: RouteEntry
    host: bytes
    prefix: bytes
    route: VersionedResource
    referred: tuple[tuple[Key, VersionedResource], ...]

    def is_current(
        self, route: VersionedResource, resources: Mapping[Key, VersionedResource]
    ) -> bool:
        """Return whether a table of these resources would have the same entry.

        Resources that a change leaves alone are kept as the same objects.
        """
        if route is not self.route:
            return False
        return all(resources.get(key) is held for key, held in self.referred)


RoutesByPrefix = Mapping[bytes, tuple[RouteEntry, ...]]


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host and prefix, group weights by service, and the headers of all secrets.

    A host with routes of its own is not served by those for any host, which stand under ``b""``.
    """

    version: int
    hosts: Mapping[bytes, RoutesByPrefix]
    weights: Mapping[str, Mapping[str, int]]
    secret_names: frozenset[bytes]
    built: Mapping[str, BuiltRoute]

    def match(self, method: bytes, target: bytes, host: bytes = ANY_HOST) -> RouteEntry | Failure:
        """Return the route of a call, or ``NO_ROUTE``, ``METHOD_NOT_ALLOWED`` and the like.

        ``host`` is the Host header in lower case; a port in it is passed over where no route
        names one.
        """
        path = target.partition(b"?")[0]
        if not path.startswith(_ROOT) or _has_dot_segment(path):
            return Failure(ErrorKind.INVALID_REQUEST, "target must be a path without dot segments")
        prefixes = self._prefixes_at(host)
        for prefix in _prefixes_of(path):
            entries = prefixes.get(prefix)
            if entries is not None:
                return _by_method(entries, method)
        return Failure(ErrorKind.NO_ROUTE, "no route for this path")

    def _prefixes_at(self, host: bytes) -> RoutesByPrefix:
        for known in (host, _without_port(host)):
            if known in self.hosts:
                return self.hosts[known]
        return self.hosts.get(ANY_HOST, {})

    def weight(self, service: str, group: str) -> int:
        """Return the weight of a group's share at a service."""
        return self.weights.get(service, {}).get(group, DEFAULT_WEIGHT)

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(self.built)

    def services(self) -> frozenset[str]:
        """Return the names of all services that calls are routed to."""
        return frozenset(part.service for each in self.built.values() for part in each.entry.parts)


def build_route_table(
    configuration: ConfigurationSet, version: int, former: RouteTable | None = None
) -> RouteTable | Failure:
    """Build the table of a version, or return ``DANGLING_REFERENCE`` naming what is missing.

    Routes that are as they were in ``former``, with all they refer to, keep their entries.
    """
    dangling = configuration.dangling()
    if dangling:
        names = tuple(str(key) for key in dangling)
        return Failure(ErrorKind.DANGLING_REFERENCE, "route table would be incomplete", names)
    built = _built_routes(configuration, {} if former is None else former.built)
    hosts: dict[bytes, dict[bytes, tuple[RouteEntry, ...]]] = {}
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
    )


def _built_routes(
    configuration: ConfigurationSet, former: Mapping[str, BuiltRoute]
) -> dict[str, BuiltRoute]:
    resources = configuration.resources
    built: dict[str, BuiltRoute] = {}
    for key, held in resources.items():
        if key.kind != RESOURCE_KIND_ROUTE:
            continue
        known = former.get(key.name)
        if known is None or not known.is_current(held, resources):
            known = _build_route(held, configuration)
        built[key.name] = known
    return built


def _build_route(held: VersionedResource, configuration: ConfigurationSet) -> BuiltRoute:
    route = held.resource.route
    entry = _entry(route, configuration)
    keys = [Key(RESOURCE_KIND_SERVICE, part.service) for part in entry.parts]
    keys += [Key(RESOURCE_KIND_SECRET, name) for name in route.secrets]
    resources = configuration.resources
    return BuiltRoute(
        entry=entry,
        host=route.host.encode(),
        prefix=route.path_prefix.encode() or _ROOT,
        route=held,
        referred=tuple((key, resources[key]) for key in keys),
    )


def _entry(route: Route, configuration: ConfigurationSet) -> RouteEntry:
    secrets = [configuration.secrets[name] for name in route.secrets]
    return RouteEntry(
        name=route.name,
        parts=_parts(route, configuration),
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
    )


def _parts(route: Route, configuration: ConfigurationSet) -> tuple[RoutePart, ...]:
    weights = {part.service: part.weight for part in route.split} or {route.service: 1}
    return tuple(
        RoutePart(
            service=service,
            weight=weight,
            max_body_bytes=configuration.services[service].max_body_bytes,
            slow_start=configuration.services[service].slow_start_ms / _MILLISECONDS,
        )
        for service, weight in weights.items()
    )


def _without_port(host: bytes) -> bytes:
    name, colon, port = host.rpartition(b":")
    return name if colon and port.isdigit() else host


def _prefixes_of(path: bytes) -> Iterator[bytes]:
    """Yield the prefixes that may match ``path``, longest first."""
    yield path
    end = path.rfind(_ROOT)
    while end > 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind(_ROOT, 0, end)
    yield _ROOT


def _by_method(entries: tuple[RouteEntry, ...], method: bytes) -> RouteEntry | Failure:
    for entry in entries:
        if entry.allows(method):
            return entry
    return Failure(ErrorKind.METHOD_NOT_ALLOWED, "the route does not take this method")


def _has_dot_segment(path: bytes) -> bool:
    """Return whether a back end might read another path than the one that was routed."""
    if b"." not in path and b"%" not in path:
        return False
    decoded = unquote_to_bytes(path).replace(b"\\", _ROOT)
    return any(segment in _DOT_SEGMENTS for segment in decoded.split(_ROOT))
