"""The immutable route table, which matches calls by host, path and method.

The longest path prefix wins. Prefixes match whole path segments: ``/orders`` matches
``/orders`` and ``/orders/7`` but not ``/ordersheet``; ``/orders/`` matches only paths below it.
Tables are built by ``route_table_builder``.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from urllib.parse import unquote_to_bytes

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.protocol.config_pb2 import (
    CallKind,
)
from limelever.proxy.group_limits import DEFAULT_WEIGHT
from limelever.proxy.ranks import Ranks
from limelever.proxy.tenants import NO_TENANTS, TenantTable

ANY_HOST = b""
ROOT = b"/"
_DOT_SEGMENTS = frozenset({b".", b".."})


class RouteDestination(Struct, frozen=True):
    """A weighted destination service of a route; ``slow_start`` in seconds, 0 = default.

    ``released_requests`` holds the digests of requests that operators exempt from quarantine.
    """

    service: str
    weight: int
    max_body_bytes: int
    slow_start: float
    released_requests: frozenset[int] = frozenset()


class RouteEntry(Struct, frozen=True):
    """A route with everything needed to serve its calls; times in seconds, 0 = proxy default.

    Calls that are not ``repeatable`` are retried only after the outcome NOT RUN; those that are
    ``at_most_once`` also need a claim on the caller's idempotency key. ``destinations`` holds one
    service, or several for a traffic split. A ``public`` route requires no tenant key. Calls run in
    ``allowed_regions`` only; empty for any.
    """

    name: str
    destinations: tuple[RouteDestination, ...]
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
    public: bool = False
    allowed_regions: frozenset[str] = frozenset()

    def allows(self, method: bytes) -> bool:
        """Return whether the route accepts calls with this method."""
        return not self.methods or method in self.methods


class IndexedRoute(Struct, frozen=True):
    """A route entry with the host and path prefix that the table indexes it by."""

    entry: RouteEntry
    host: bytes
    prefix: bytes


RoutesByPrefix = Mapping[bytes, tuple[RouteEntry, ...]]


class RouteTable(Struct, frozen=True):
    """Routes by host and path prefix, with group weights, secret header names and tenants.

    ``hosts`` keeps the routes for any host under ``b""``; they do not apply to a host that has
    routes of its own. ``weights`` maps services to the weights of their groups, ``routes`` maps
    route names to routes.
    """

    version: int
    hosts: Mapping[bytes, RoutesByPrefix]
    weights: Mapping[str, Mapping[str, int]]
    secret_names: frozenset[bytes]
    routes: Mapping[str, IndexedRoute]
    tenants: TenantTable = NO_TENANTS
    ranks: Ranks = Ranks()

    def match(self, method: bytes, target: bytes, host: bytes = ANY_HOST) -> RouteEntry | Failure:
        """Return the route of a call, or ``NO_ROUTE``, ``METHOD_NOT_ALLOWED`` or
        ``INVALID_REQUEST``.

        ``host`` is the Host header in lower case. Its port is ignored unless a route names the
        host with that port.
        """
        path = target.partition(b"?")[0]
        if not path.startswith(ROOT) or _has_dot_segment(path):
            return Failure(
                ErrorKind.INVALID_REQUEST, "request target must be a path without dot segments"
            )
        prefixes = self._prefixes_for_host(host)
        for prefix in _candidate_prefixes(path):
            entries = prefixes.get(prefix)
            if entries is not None:
                return _select_by_method(entries, method)
        return Failure(ErrorKind.NO_ROUTE, "no route for this path")

    def _prefixes_for_host(self, host: bytes) -> RoutesByPrefix:
        for name in (host, _without_port(host)):
            if name in self.hosts:
                return self.hosts[name]
        return self.hosts.get(ANY_HOST, {})

    def weight(self, service: str, group: str) -> int:
        """Return the weight of a group's share at a service."""
        return self.weights.get(service, {}).get(group, DEFAULT_WEIGHT)

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(self.routes)

    def services(self) -> frozenset[str]:
        """Return the names of all services that calls are routed to."""
        return frozenset(
            destination.service
            for route in self.routes.values()
            for destination in route.entry.destinations
        )


def _without_port(host: bytes) -> bytes:
    name, colon, port = host.rpartition(b":")
    return name if colon and port.isdigit() else host


def _candidate_prefixes(path: bytes) -> Iterator[bytes]:
    """Yield the prefixes that would match ``path``, longest first."""
    yield path
    end = path.rfind(ROOT)
    while end > 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind(ROOT, 0, end)
    yield ROOT


def _select_by_method(entries: tuple[RouteEntry, ...], method: bytes) -> RouteEntry | Failure:
    for entry in entries:
        if entry.allows(method):
            return entry
    return Failure(ErrorKind.METHOD_NOT_ALLOWED, "route does not allow this method")


def _has_dot_segment(path: bytes) -> bool:
    """Return whether a back end could resolve the path to a different one than was routed."""
    if b"." not in path and b"%" not in path:
        return False
    decoded = unquote_to_bytes(path).replace(b"\\", ROOT)
    return any(segment in _DOT_SEGMENTS for segment in decoded.split(ROOT))
