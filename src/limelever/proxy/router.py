"""Routes a call by method and path with an immutable table, built whole from one version.

The longest path prefix wins. Prefixes match whole path segments: ``/orders`` matches
``/orders`` and ``/orders/7`` but not ``/ordersheet``; ``/orders/`` matches only below it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.protocol.config_pb2 import CALL_KIND_AT_MOST_ONCE, Route, Service
from limelever.proxy.group_limits import DEFAULT_WEIGHT
from limelever.subscriber.configuration import ConfigurationSet

_ROOT = b"/"
_DOT_SEGMENTS = frozenset({b".", b".."})
_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route with all that a call on it needs; times in seconds, 0 = the proxy's default."""

    name: str
    service: str
    methods: frozenset[bytes]
    at_most_once: bool
    timeout: float
    retry_budget_percent: int
    secret_headers: Headers
    max_body_bytes: int
    slow_start: float

    def allows(self, method: bytes) -> bool:
        """Return whether the route takes calls with this method."""
        return not self.methods or method in self.methods


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by prefix, group weights by service and group, and the headers of all secrets."""

    version: int
    prefixes: Mapping[bytes, tuple[RouteEntry, ...]]
    weights: Mapping[str, Mapping[str, int]]
    secret_names: frozenset[bytes]

    def match(self, method: bytes, target: bytes) -> RouteEntry | Failure:
        """Return the route of a call, or ``NO_ROUTE``, ``METHOD_NOT_ALLOWED`` and the like."""
        path = target.partition(b"?")[0]
        if not path.startswith(_ROOT) or _has_dot_segment(path):
            return Failure(ErrorKind.INVALID_REQUEST, "target must be a path without dot segments")
        for prefix in _prefixes_of(path):
            entries = self.prefixes.get(prefix)
            if entries is not None:
                return _by_method(entries, method)
        return Failure(ErrorKind.NO_ROUTE, "no route for this path")

    def weight(self, service: str, group: str) -> int:
        """Return the weight of a group's share at a service."""
        return self.weights.get(service, {}).get(group, DEFAULT_WEIGHT)

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(entry.name for entries in self.prefixes.values() for entry in entries)


def build_route_table(configuration: ConfigurationSet, version: int) -> RouteTable | Failure:
    """Build the table of a version, or return ``DANGLING_REFERENCE`` naming what is missing."""
    dangling = configuration.dangling()
    if dangling:
        names = tuple(str(key) for key in dangling)
        return Failure(ErrorKind.DANGLING_REFERENCE, "route table would be incomplete", names)
    prefixes: dict[bytes, list[RouteEntry]] = {}
    for route in sorted(configuration.routes.values(), key=lambda route: route.name):
        prefix = route.path_prefix.encode() or _ROOT
        prefixes.setdefault(prefix, []).append(_entry(route, configuration))
    return RouteTable(
        version=version,
        prefixes={prefix: tuple(entries) for prefix, entries in prefixes.items()},
        weights={
            service: {share.group: share.weight for share in shares}
            for service, shares in configuration.shares.items()
        },
        secret_names=frozenset(s.header.lower().encode() for s in configuration.secrets.values()),
    )


def _entry(route: Route, configuration: ConfigurationSet) -> RouteEntry:
    service: Service = configuration.services[route.service]
    secrets = [configuration.secrets[name] for name in route.secrets]
    return RouteEntry(
        name=route.name,
        service=route.service,
        methods=frozenset(method.upper().encode() for method in route.methods),
        at_most_once=route.call_kind == CALL_KIND_AT_MOST_ONCE,
        timeout=route.timeout_ms / _MILLISECONDS,
        retry_budget_percent=route.retry_budget_percent,
        secret_headers=tuple((s.header.lower().encode(), s.value) for s in secrets),
        max_body_bytes=service.max_body_bytes,
        slow_start=service.slow_start_ms / _MILLISECONDS,
    )


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
