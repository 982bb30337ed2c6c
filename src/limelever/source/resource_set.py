"""The resources of the state machine, with indexes of references, prefixes and keys."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set

from limelever.protocol.config_pb2 import Resource, Route, Secret, Tenant, VersionedResource
from limelever.protocol.keys import Key, secret_key
from limelever.source.overlaps import (
    Overlap,
    RoutePlace,
    header_overlaps,
    key_overlaps,
    route_overlaps,
)
from limelever.source.references import ReferenceIndex


class ResourceSet:
    """Resources by key."""

    def __init__(self, resources: Iterable[VersionedResource] = ()) -> None:
        self._resources: dict[Key, VersionedResource] = {}
        self._routes: dict[RoutePlace, set[Key]] = {}
        self._key_holders: dict[bytes, Key] = {}
        self.references = ReferenceIndex()
        for item in resources:
            self.put(item)

    def get(self, key: Key) -> VersionedResource | None:
        """Return the resource with ``key``."""
        return self._resources.get(key)

    def __contains__(self, key: Key) -> bool:
        """Return whether ``key`` is held."""
        return key in self._resources

    def keys(self) -> Set[Key]:
        """Return the keys of all resources."""
        return self._resources.keys()

    def in_order(self) -> list[VersionedResource]:
        """Return all resources in the order of their keys."""
        return [self._resources[key] for key in sorted(self._resources)]

    def holds(self, key: Key, resource: Resource) -> bool:
        """Return whether ``key`` is held with just this content."""
        held = self._resources.get(key)
        return held is not None and held.resource == resource

    def put(self, item: VersionedResource) -> None:
        """Add a resource, or replace the one of its key."""
        key = Key.of(item.resource)
        self.remove(key)
        self._resources[key] = item
        self.references.add(item.resource)
        if item.resource.HasField("route"):
            self._routes.setdefault(RoutePlace.of(item.resource.route), set()).add(key)
        for digest in _key_digests(item):
            self._key_holders[digest] = key

    def remove(self, key: Key) -> None:
        """Drop the resource of ``key``, if there is one."""
        item = self._resources.pop(key, None)
        if item is None:
            return
        self.references.remove(item.resource)
        if item.resource.HasField("route"):
            place = RoutePlace.of(item.resource.route)
            self._routes[place].discard(key)
            if not self._routes[place]:
                del self._routes[place]
        for digest in _key_digests(item):
            if self._key_holders.get(digest) == key:
                del self._key_holders[digest]

    def overlaps(self, put: Mapping[Key, Resource], deleted: Iterable[Key]) -> Iterator[Overlap]:
        """Yield what would overlap after ``put`` and ``deleted``, where a put resource is in it."""
        gone = put.keys() | set(deleted)
        routes = [resource.route for resource in put.values() if resource.HasField("route")]
        neighbours = [self._route(key) for key in self._neighbours(routes) - gone]
        for overlap in route_overlaps([*routes, *sorted(neighbours, key=lambda r: r.name)]):
            if not put.keys().isdisjoint(overlap.keys):
                yield overlap
        users = [self._route(key) for key in self._users_of_secrets(put) - gone]
        for route in [*routes, *sorted(users, key=lambda r: r.name)]:
            yield from header_overlaps(route, self._secrets_of(route, put))
        tenants = [resource.tenant for resource in put.values() if resource.HasField("tenant")]
        others = [self._tenant(key) for key in sorted(self._holders_of_keys(tenants) - gone)]
        yield from key_overlaps([*others, *tenants])

    def _route(self, key: Key) -> Route:
        return self._resources[key].resource.route

    def _tenant(self, key: Key) -> Tenant:
        return self._resources[key].resource.tenant

    def _holders_of_keys(self, tenants: Iterable[Tenant]) -> set[Key]:
        """Return the keys of the held tenants that have a key of one of ``tenants``."""
        digests = (digest for tenant in tenants for digest in tenant.key_digests)
        holders = self._key_holders
        return {holders[digest] for digest in digests if digest in holders}

    def _neighbours(self, routes: Iterable[Route]) -> set[Key]:
        """Return the keys of the held routes that share a place with one of ``routes``."""
        places = {RoutePlace.of(route) for route in routes}
        return {key for place in places for key in self._routes.get(place, ())}

    def _users_of_secrets(self, put: Mapping[Key, Resource]) -> set[Key]:
        """Return the keys of the held routes that use a secret in ``put``."""
        secrets = [key for key, resource in put.items() if resource.HasField("secret")]
        return {user for key in secrets for user in self.references.referrers(key)}

    def _secrets_of(self, route: Route, put: Mapping[Key, Resource]) -> dict[str, Secret]:
        secrets: dict[str, Secret] = {}
        for name in route.secrets:
            key = secret_key(name)
            held = self._resources.get(key)
            if key in put:
                secrets[name] = put[key].secret
            elif held is not None:
                secrets[name] = held.resource.secret
        return secrets


def _key_digests(item: VersionedResource) -> Iterable[bytes]:
    """Return the digests of a tenant's keys; other resources have none."""
    return item.resource.tenant.key_digests if item.resource.HasField("tenant") else ()
