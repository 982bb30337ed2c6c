"""The regions in which a call may run, by its route and its caller's tenant.

An empty list of a route or tenant allows any region. The rule holds for every attempt of a call, so
endpoints are filtered before anything else chooses among them. An endpoint of an unknown region is
in none that is allowed.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.regions import NO_REGION
from limelever.common.sansio import LogEvent, Output
from limelever.protocol.keys import route_key, tenant_key
from limelever.proxy import events
from limelever.proxy.endpoints import EndpointEntry
from limelever.proxy.router import RouteEntry
from limelever.proxy.tenants import TenantEntry

NOT_ALLOWED_RETRY_SECONDS = 1.0
"""Told with refusals: only a change of the configuration or of the endpoints ends them."""

AllowedRegions = frozenset[str] | None
"""Regions in which a call may run; ``None`` for any."""


def allowed_regions(route: RouteEntry, tenant: TenantEntry | None) -> AllowedRegions:
    """Return where a call may run; empty if route and tenant have no region in common."""
    of_tenant = tenant.allowed_regions if tenant is not None else frozenset()
    if route.allowed_regions and of_tenant:
        return route.allowed_regions & of_tenant
    return route.allowed_regions or of_tenant or None


def region_refusal(
    route: RouteEntry, tenant: TenantEntry | None, allowed: AllowedRegions
) -> Failure | None:
    """Return why no endpoint may take a call of the route and tenant, if that is so."""
    if allowed is None:
        return None
    if not allowed:
        name = tenant.name if tenant is not None else ""
        return not_allowed(
            f"route {route.name} and tenant {name} have no region in common",
            (str(route_key(route.name)), str(tenant_key(name))),
        )
    if route.at_most_once:
        return not_allowed(
            f"claims and answers of route {route.name} are stored in any region, "
            f"its tenant is bound to {_listed(allowed)}",
            (str(route_key(route.name)),),
        )
    return None


def no_endpoint_allowed(service: str, allowed: frozenset[str]) -> Failure:
    """Return the refusal of a call whose service has no endpoint where the call may run."""
    reason = f"no endpoint of {service} in an allowed region ({_listed(allowed)})"
    return not_allowed(reason, tuple(f"region/{name}" for name in sorted(allowed)))


def not_allowed(reason: str, resources: tuple[str, ...]) -> Failure:
    """Return a refusal of a call that no endpoint may take; nothing was run.

    Only refusals by region name ``resources`` among those of kind ``NO_ENDPOINT``.
    """
    return Failure(ErrorKind.NO_ENDPOINT, reason, resources, NOT_ALLOWED_RETRY_SECONDS)


def is_region_refusal(failure: Failure) -> bool:
    """Return whether a call was refused because no endpoint may take it by its regions."""
    return failure.kind is ErrorKind.NO_ENDPOINT and bool(failure.resources)


def _listed(regions: frozenset[str]) -> str:
    return ", ".join(sorted(regions))


class _Filtered(Struct, frozen=True):
    """The allowed ones of a ``usable`` sequence."""

    usable: Sequence[EndpointEntry]
    allowed: tuple[EndpointEntry, ...]


class RegionFilter:
    """Filters sequences of endpoints by region; keeps the last result for each set of regions.

    The same sequence gives the same result object, by which later steps recognize it. Appends a
    log event to ``outputs`` when a service has no allowed endpoint, and when it has one again.
    """

    def __init__(self, outputs: list[Output]) -> None:
        self._outputs = outputs
        self._without: set[tuple[str, frozenset[str]]] = set()
        self._filtered: dict[tuple[str, frozenset[str]], _Filtered] = {}

    def allowed(
        self, service: str, usable: Sequence[EndpointEntry], allowed: AllowedRegions
    ) -> Sequence[EndpointEntry]:
        """Return the endpoints of a service in the regions ``allowed``."""
        if allowed is None:
            return usable
        known = self._filtered.get((service, allowed))
        if known is None or known.usable is not usable:
            inside = tuple(e for e in usable if e.region != NO_REGION and e.region in allowed)
            known = self._filtered[(service, allowed)] = _Filtered(usable, inside)
            self._log_change(service, allowed, bool(inside))
        return known.allowed

    def clear(self) -> None:
        """Drop all results, as those of removed routes and tenants aren't needed any more."""
        self._filtered.clear()
        self._without.clear()

    def _log_change(self, service: str, allowed: frozenset[str], found: bool) -> None:
        key = (service, allowed)
        if found is (key not in self._without):
            return
        if found:
            self._without.remove(key)
        else:
            self._without.add(key)
        event = events.REGION_ENDPOINT_FOUND if found else events.REGION_WITHOUT_ENDPOINT
        fields: dict[str, object] = {"service": service, "regions": _listed(allowed)}
        self._outputs.append(LogEvent(event, fields))
