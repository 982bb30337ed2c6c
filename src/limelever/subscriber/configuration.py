"""The configuration a subscriber holds: an immutable, typed set with lookups."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import cached_property
from types import MappingProxyType

from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_SHARE,
    Route,
    Secret,
    Service,
    Share,
    VersionedResource,
)
from limelever.protocol.keys import Key, references_of


class ConfigurationSet:
    """Resources of one version; never changed after it was built.

    The lookups are built at first use, so that a relay, which only passes resources on, does
    not pay for them.
    """

    def __init__(self, resources: Mapping[Key, VersionedResource]) -> None:
        self._resources = MappingProxyType(dict(resources))

    @property
    def resources(self) -> Mapping[Key, VersionedResource]:
        """Every resource by its key."""
        return self._resources

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

    def dangling(self) -> tuple[Key, ...]:
        """Return the keys that resources of the set refer to and that the set lacks."""
        return dangling_references(self._resources.values(), self._resources)


EMPTY_CONFIGURATION = ConfigurationSet({})


def dangling_references(
    resources: Iterable[VersionedResource], held: Mapping[Key, VersionedResource]
) -> tuple[Key, ...]:
    """Return the keys that ``resources`` refer to and that ``held`` lacks, sorted."""
    missing = {
        reference
        for versioned in resources
        for reference in references_of(versioned.resource)
        if reference not in held
    }
    return tuple(sorted(missing))
