"""Routes that take the same calls, secrets that set one header on a route, tenants with one key.

Each would leave it to chance which one a proxy uses, so all are refused. Within one batch the
shape check finds them; against the state, and against an operator who was faster, the state
machine does.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import combinations

from msgspec import Struct

from limelever.protocol.config_pb2 import Route, Secret, Tenant
from limelever.protocol.keys import Key, route_key, secret_key, tenant_key

ANY_METHOD = "any method"


class Overlap(Struct, frozen=True):
    """Resources that can't stand together, all sides, and why."""

    keys: tuple[Key, ...]
    reason: str


class RoutePlace(Struct, frozen=True):
    """Which calls a route may take, but for their method; an empty host stands for any."""

    host: str
    path_prefix: str

    @classmethod
    def of(cls, route: Route) -> RoutePlace:
        """Return the place of ``route``."""
        return cls(route.host, route.path_prefix)

    def __str__(self) -> str:
        """Return host and prefix as in a target."""
        return f"{self.host}{self.path_prefix}"


def route_overlaps(routes: Iterable[Route]) -> Iterator[Overlap]:
    """Yield the pairs of routes that take the same calls: one place, and a method in common."""
    by_place: dict[RoutePlace, list[Route]] = {}
    for route in routes:
        by_place.setdefault(RoutePlace.of(route), []).append(route)
    for neighbours in by_place.values():
        for first, second in combinations(neighbours, 2):
            common = _common_methods(first, second)
            if common:
                keys = (route_key(first.name), route_key(second.name))
                reason = f"{keys[0]} and {keys[1]} both take {common} at {RoutePlace.of(first)}"
                yield Overlap(keys, reason)


def _common_methods(first: Route, second: Route) -> str:
    """Return the methods that both routes take; a route without methods takes any."""
    if not first.methods or not second.methods:
        return " ".join(sorted({*first.methods, *second.methods})) or ANY_METHOD
    return " ".join(sorted(set(first.methods) & set(second.methods)))


def header_overlaps(route: Route, secrets: Mapping[str, Secret]) -> Iterator[Overlap]:
    """Yield the pairs of a route's secrets, of those in ``secrets``, that set one header."""
    known = sorted(name for name in set(route.secrets) if name in secrets)
    for first, second in combinations(known, 2):
        header = secrets[first].header.lower()
        if header == secrets[second].header.lower():
            keys = (route_key(route.name), secret_key(first), secret_key(second))
            yield Overlap(keys, f"{keys[1]} and {keys[2]} both set {header} on {keys[0]}")


def key_overlaps(tenants: Iterable[Tenant]) -> Iterator[Overlap]:
    """Yield the pairs of tenants that have a key in common, each pair once."""
    holders: dict[bytes, str] = {}
    found: dict[tuple[str, str], None] = {}
    for tenant in tenants:
        for digest in dict.fromkeys(tenant.key_digests):
            holder = holders.setdefault(digest, tenant.name)
            if holder != tenant.name:
                found[holder, tenant.name] = None
    for first, second in found:
        keys = (tenant_key(first), tenant_key(second))
        yield Overlap(keys, f"{keys[0]} and {keys[1]} have a key in common")
