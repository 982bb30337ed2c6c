"""Routes that take the same calls, and secrets that set the same header on one route.

Either would leave it to chance which one a proxy uses, so both are refused. Within one batch the
shape check finds them; against the state, and against an operator who was faster, the state
machine does.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations

from limelever.protocol.config_pb2 import Route, Secret
from limelever.protocol.keys import Key, route_key, secret_key

ANY_METHOD = "any method"


@dataclass(frozen=True, slots=True)
class Overlap:
    """Resources that can't stand together, all sides, and why."""

    keys: tuple[Key, ...]
    reason: str


def route_overlaps(routes: Iterable[Route]) -> Iterator[Overlap]:
    """Yield the pairs of routes that take the same calls: one prefix, and a method in common."""
    by_prefix: dict[str, list[Route]] = {}
    for route in routes:
        by_prefix.setdefault(route.path_prefix, []).append(route)
    for neighbours in by_prefix.values():
        for first, second in combinations(neighbours, 2):
            common = _common_methods(first, second)
            if common:
                keys = (route_key(first.name), route_key(second.name))
                reason = f"{keys[0]} and {keys[1]} both take {common} at {first.path_prefix}"
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
