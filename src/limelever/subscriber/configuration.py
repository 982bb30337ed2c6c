"""The configuration a subscriber holds: an immutable, typed set with lookups."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import cached_property
from types import MappingProxyType

from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ROLLOUT,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_SHARE,
    RESOURCE_KIND_TENANT,
    RESOURCE_KIND_ZONE_DRAIN,
    Rollout,
    Route,
    Secret,
    Service,
    Share,
    Tenant,
    VersionedResource,
    ZoneDrain,
)
from limelever.protocol.keys import Key
from limelever.subscriber.reference_index import ReferenceIndex


class ConfigurationSet:
    """Immutable set of the resources of one version.

    The lookups are built at first use, as relays only forward resources and need none.
    """

    def __init__(self, resources: Mapping[Key, VersionedResource]) -> None:
        self._resources = dict(resources)

    @classmethod
    def _owning(
        cls, resources: dict[Key, VersionedResource], references: ReferenceIndex
    ) -> ConfigurationSet:
        """Return a set that takes ownership of ``resources`` instead of copying them."""
        built = cls.__new__(cls)
        built._resources = resources
        built._references = references
        return built

    def changed(self, removed: Iterable[Key], put: Iterable[VersionedResource]) -> ConfigurationSet:
        """Return a copy of the set without ``removed`` and then with ``put``.

        The tables are copied without examining their items; any other cost depends only on the
        size of the change.
        """
        resources = self._resources.copy()
        references = self._references.copy()
        for key in removed:
            former = resources.pop(key, None)
            references.replace(key, former, None)
        for versioned in put:
            key = Key.of(versioned.resource)
            references.replace(key, resources.get(key), versioned)
            resources[key] = versioned
        references.settle(resources)
        return ConfigurationSet._owning(resources, references)

    @property
    def resources(self) -> Mapping[Key, VersionedResource]:
        """Every resource by its key."""
        return MappingProxyType(self._resources)

    def __len__(self) -> int:
        return len(self._resources)

    @cached_property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return {
            key.name: held.resource.service
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_SERVICE
        }

    @cached_property
    def routes(self) -> Mapping[str, Route]:
        """Routes by name."""
        return {
            key.name: held.resource.route
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_ROUTE
        }

    @cached_property
    def shares(self) -> Mapping[str, tuple[Share, ...]]:
        """Shares by the name of their service."""
        found: dict[str, list[Share]] = {}
        for key, held in self._resources.items():
            if key.kind == RESOURCE_KIND_SHARE:
                found.setdefault(held.resource.share.service, []).append(held.resource.share)
        return {service: tuple(shares) for service, shares in found.items()}

    @cached_property
    def secrets(self) -> Mapping[str, Secret]:
        """Secrets by name."""
        return {
            key.name: held.resource.secret
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_SECRET
        }

    @cached_property
    def rollouts(self) -> Mapping[str, Rollout]:
        """The newest rollouts by the name of their service."""
        return {
            key.name: held.resource.rollout
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_ROLLOUT
        }

    @cached_property
    def tenants(self) -> Mapping[str, Tenant]:
        """Tenants by name."""
        return {
            key.name: held.resource.tenant
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_TENANT
        }

    @cached_property
    def zone_drains(self) -> Mapping[str, ZoneDrain]:
        """Zone drains in effect by the name of their zone."""
        return {
            key.name: held.resource.zone_drain
            for key, held in self._resources.items()
            if key.kind == RESOURCE_KIND_ZONE_DRAIN
        }

    def dangling(self) -> tuple[Key, ...]:
        """Return the keys that resources refer to and that are missing from the set, sorted."""
        return self._references.dangling

    @cached_property
    def _references(self) -> ReferenceIndex:
        return ReferenceIndex.of(self._resources)


EMPTY_CONFIGURATION = ConfigurationSet({})
