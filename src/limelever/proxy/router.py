"""Routes a call by host, method and path with an immutable table; ``route_table`` builds it.

The longest path prefix wins. Prefixes match whole path segments: ``/orders`` matches
``/orders`` and ``/orders/7`` but not ``/ordersheet``; ``/orders/`` matches only below it.
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


class RoutePart(Struct, frozen=True):
    """A service that takes a part of a route's calls; ``slow_start`` in seconds, 0 = default.

    ``released_requests`` are digests of requests that operators keep from any quarantine.
    """

    service: str
    weight: int
    max_body_bytes: int
    slow_start: float
    released_requests: frozenset[int] = frozenset()


class RouteEntry(Struct, frozen=True):
    """A route with all that a call on it needs; times in seconds, 0 = the proxy's default.

    Calls that are not ``repeatable`` go on only after an outcome of NOT RUN; those that are
    ``at_most_once`` need a claim on the caller's idempotency key besides. ``parts`` holds one
    service, or those of a split. Those on a ``public`` route need no tenant's key.
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
    public: bool = False

    def allows(self, method: bytes) -> bool:
        """Return whether the route takes calls with this method."""
        return not self.methods or method in self.methods


class BuiltRoute(Struct, frozen=True):
    """A route's entry and where it stands."""

    entry: RouteEntry
    host: bytes
    prefix: bytes


RoutesByPrefix = Mapping[bytes, tuple[RouteEntry, ...]]


class RouteTable(Struct, frozen=True):
    """Routes by host and prefix, group weights by service, the headers of all secrets, and tenants.

    A host with routes of its own is not served by those for any host, which stand under ``b""``.
    """

    version: int
    hosts: Mapping[bytes, RoutesByPrefix]
    weights: Mapping[str, Mapping[str, int]]
    secret_names: frozenset[bytes]
    built: Mapping[str, BuiltRoute]
    tenants: TenantTable = NO_TENANTS
    ranks: Ranks = Ranks()

    def match(self, method: bytes, target: bytes, host: bytes = ANY_HOST) -> RouteEntry | Failure:
        """Return the route of a call, or ``NO_ROUTE``, ``METHOD_NOT_ALLOWED`` and the like.

        ``host`` is the Host header in lower case; a port in it is passed over where no route
        names one.
        """
        path = target.partition(b"?")[0]
        if not path.startswith(ROOT) or _has_dot_segment(path):
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


def _without_port(host: bytes) -> bytes:
    name, colon, port = host.rpartition(b":")
    return name if colon and port.isdigit() else host


def _prefixes_of(path: bytes) -> Iterator[bytes]:
    """Yield the prefixes that may match ``path``, longest first."""
    yield path
    end = path.rfind(ROOT)
    while end > 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        yield path[:end]
        end = path.rfind(ROOT, 0, end)
    yield ROOT


def _by_method(entries: tuple[RouteEntry, ...], method: bytes) -> RouteEntry | Failure:
    for entry in entries:
        if entry.allows(method):
            return entry
    return Failure(ErrorKind.METHOD_NOT_ALLOWED, "the route does not take this method")


def _has_dot_segment(path: bytes) -> bool:
    """Return whether a back end might read another path than the one that was routed."""
    if b"." not in path and b"%" not in path:
        return False
    decoded = unquote_to_bytes(path).replace(b"\\", ROOT)
    return any(segment in _DOT_SEGMENTS for segment in decoded.split(ROOT))
