"""Scopes: the part of the configuration that a subscriber gets, with its dependencies."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from limelever.common.sansio import Peer, Role
from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_TENANT,
    RESOURCE_KIND_ZONE_DRAIN,
    VersionedResource,
)
from limelever.protocol.distribution_pb2 import Subscribe
from limelever.protocol.feature_level import (
    HIGHEST_RECORD_LEVEL,
    UNSTATED_LEVEL,
    level_of_resource,
)
from limelever.protocol.keys import Key, service_key
from limelever.publisher.resources import (
    Overlay,
    ResourceTable,
    Step,
    secrets_of,
    service_of,
)

Closure = Mapping[Key, VersionedResource]


class Scope(Struct, frozen=True):
    """The services a subscriber named, or everything; subscribers of one scope share a view.

    ``tenants`` is whether all tenants are in scope or none: any caller may use any proxy, and
    agents don't check API keys. ``level`` is the feature level of the subscriber, at most the
    highest that a record needs: kinds above it are out of scope, and subscribers of all higher
    levels share a view.
    """

    services: frozenset[str] = frozenset()
    everything: bool = False
    tenants: bool = False
    level: int = HIGHEST_RECORD_LEVEL

    @classmethod
    def of(cls, subscribe: Subscribe, peer: Peer) -> Scope:
        """Return the scope that a ``Subscribe`` of ``peer`` asks for."""
        level = min(peer.feature_level, HIGHEST_RECORD_LEVEL)
        if subscribe.everything:
            return cls(everything=True, level=level)
        services = frozenset(subscribe.services)
        return cls(services, tenants=peer.role is Role.PROXY, level=level)

    @property
    def is_whole(self) -> bool:
        """Return whether every resource of any kind is in scope."""
        return self.everything and self.level >= HIGHEST_RECORD_LEVEL

    def reads(self, versioned: VersionedResource) -> bool:
        """Return whether subscribers of this scope support resources of this kind."""
        return level_of_resource(versioned.resource) <= self.level


EVERYTHING_SCOPES = tuple(
    Scope(everything=True, level=level) for level in range(UNSTATED_LEVEL, HIGHEST_RECORD_LEVEL + 1)
)
"""The scopes of subscribers to everything, one per feature level."""


class ScopeDifference(Struct, frozen=True):
    """Difference between an earlier closure of a scope and its current one.

    ``put`` are the resources added or changed, ``removed`` the keys removed, ``former`` the
    earlier values of both.
    """

    put: tuple[VersionedResource, ...]
    removed: tuple[Key, ...]
    former: tuple[VersionedResource, ...]


def closure_now(scope: Scope, table: ResourceTable) -> Closure:
    """Return the scope's resources at the table's version.

    These are the services named, the routes to them, their shares and rollouts, the secrets that
    the routes use, the tenants if they are in scope, and all zone drains.
    """
    if scope.is_whole:
        return table.resources
    return _readable(scope, _closure_of_any_level(scope, table))


def _readable(scope: Scope, found: Closure) -> Closure:
    if scope.level >= HIGHEST_RECORD_LEVEL:
        return found
    return {key: held for key, held in found.items() if scope.reads(held)}


def _closure_of_any_level(scope: Scope, table: ResourceTable) -> Closure:
    if scope.everything:
        return table.resources
    services = sorted(scope.services)
    keys = [service_key(name) for name in services]
    for name in services:
        keys.extend(table.dependents_of_service(name))
    if scope.tenants:
        keys.extend(table.tenants())
    keys.extend(table.zone_drains())
    found = {key: held for key in keys if (held := table.get(key)) is not None}
    for versioned in list(found.values()):
        for secret in secrets_of(versioned):
            held = table.get(secret)
            if held is not None:
                found[secret] = held
    return found


def closure_before(
    scope: Scope, table: ResourceTable, current: Closure, overlay: Overlay
) -> Closure:
    """Return the scope's resources at the earlier version that ``overlay`` describes.

    A resource other than a secret that has not changed since was in the scope then too, so only
    the current closure and the overlay are examined.
    """
    found = {
        key: held
        for key, held in current.items()
        if key not in overlay and key.kind != RESOURCE_KIND_SECRET
    }
    for key, earlier in overlay.items():
        if earlier is not None and _belongs(key, earlier, scope):
            found[key] = earlier
    for versioned in list(found.values()):
        for secret in secrets_of(versioned):
            held = overlay[secret] if secret in overlay else table.get(secret)
            if held is not None:
                found[secret] = held
    return _readable(scope, found)


def difference(
    scope: Scope, table: ResourceTable, current: Closure, overlay: Overlay
) -> ScopeDifference:
    """Return the difference between the earlier version of ``overlay`` and the current closure."""
    if scope.everything:
        return _difference_of_everything(scope, current, overlay)
    return compare(closure_before(scope, table, current, overlay), current)


def compare(earlier: Closure, current: Closure) -> ScopeDifference:
    """Return the difference between two closures; a value is unchanged if it is the same object."""
    return ScopeDifference(
        put=tuple(held for key, held in current.items() if earlier.get(key) is not held),
        removed=tuple(key for key in earlier if key not in current),
        former=tuple(held for key, held in earlier.items() if current.get(key) is not held),
    )


def touched_services(step: Step, table: ResourceTable) -> dict[str, None]:
    """Return the services whose scopes a step may have changed, each once, in its order."""
    services: dict[str, None] = {}
    for key, earlier in step.before.items():
        if key.kind == RESOURCE_KIND_SERVICE:
            services[key.name] = None
        elif key.kind == RESOURCE_KIND_SECRET:
            services.update(_services_of(table.routes_with_secret(key.name), table))
        for versioned in (earlier, table.get(key)):
            service = service_of(versioned) if versioned is not None else None
            if service is not None:
                services[service] = None
    return services


def touches_tenants(step: Step) -> bool:
    """Return whether a step may have changed a tenant."""
    return any(key.kind == RESOURCE_KIND_TENANT for key in step.before)


def touches_every_scope(step: Step) -> bool:
    """Return whether a step may have changed a zone drain, which belongs to every scope."""
    return any(key.kind == RESOURCE_KIND_ZONE_DRAIN for key in step.before)


def _services_of(routes: Iterable[Key], table: ResourceTable) -> dict[str, None]:
    held = [table.get(route) for route in routes]
    return {route.resource.route.service: None for route in held if route is not None}


def _belongs(key: Key, versioned: VersionedResource, scope: Scope) -> bool:
    if key.kind == RESOURCE_KIND_SERVICE:
        return key.name in scope.services
    if key.kind == RESOURCE_KIND_TENANT:
        return scope.tenants
    if key.kind == RESOURCE_KIND_ZONE_DRAIN:
        return True
    return service_of(versioned) in scope.services


def _difference_of_everything(scope: Scope, current: Closure, overlay: Overlay) -> ScopeDifference:
    former = {key: held for key, held in overlay.items() if held is not None and scope.reads(held)}
    return ScopeDifference(
        put=tuple(current[key] for key in overlay if key in current),
        removed=tuple(key for key in former if key not in current),
        former=tuple(former.values()),
    )
