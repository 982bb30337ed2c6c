"""A second, plain account of what the configuration ought to be at each version.

Written from the brief: a batch is applied whole; a holder at version V holds exactly what
the accepted batches through V made, restricted to the services of its scope, the routes to
them, the shares at them and the secrets those routes need.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from limelever.protocol.config_pb2 import Batch, Resource, ResourceKey, VersionedResource


@dataclass(frozen=True, slots=True, order=True)
class Key:
    """Kind (``service``, ``route``, ``share``, ``secret``) and name of a resource."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Held:
    """A resource as held: the version that last changed it, and its body."""

    version: int
    body: Resource


ResourceSet = Mapping[Key, Held]

_KINDS = {1: "service", 2: "route", 3: "share", 4: "secret"}


def key_of(resource: Resource) -> Key:
    """Return the key of a resource."""
    kind = resource.WhichOneof("body") or ""
    if kind == "share":
        return Key(kind, f"{resource.share.service}/{resource.share.group}")
    return Key(kind, str(getattr(resource, kind).name))


def key_of_message(key: ResourceKey) -> Key:
    """Return the key that a message names."""
    return Key(_KINDS[int(key.kind)], key.name)


def set_of(resources: Iterable[VersionedResource]) -> dict[Key, Held]:
    """Return a set from the resources of a message or a holder."""
    return {key_of(item.resource): Held(item.version, item.resource) for item in resources}


def dangling_references(resources: ResourceSet) -> list[str]:
    """Return a line for each route or share that points at something not in the set."""
    found = []
    for key, held in sorted(resources.items()):
        if key.kind == "route":
            needs = [Key("service", held.body.route.service)]
            needs += [Key("secret", name) for name in held.body.route.secrets]
        elif key.kind == "share":
            needs = [Key("service", held.body.share.service)]
        else:
            needs = []
        found += [f"{key} needs {need}" for need in needs if need not in resources]
    return found


def restrict(resources: ResourceSet, services: frozenset[str]) -> dict[Key, Held]:
    """Return what a proxy that names ``services`` should hold of a whole set."""
    kept: dict[Key, Held] = {}
    secrets: set[str] = set()
    for key, held in resources.items():
        if key.kind == "service" and key.name in services:
            kept[key] = held
        elif key.kind == "route" and held.body.route.service in services:
            kept[key] = held
            secrets.update(held.body.route.secrets)
        elif key.kind == "share" and held.body.share.service in services:
            kept[key] = held
    for key, held in resources.items():
        if key.kind == "secret" and key.name in secrets:
            kept[key] = held
    return kept


class History:
    """The accepted batches in version order and the whole set after each."""

    def __init__(self) -> None:
        self._batches: dict[int, Batch] = {}

    def accept(self, version: int, batch: Batch) -> str | None:
        """Record that a batch was accepted as a version; return a complaint on a clash."""
        known = self._batches.get(version)
        if known is not None and known.request_id != batch.request_id:
            return f"version {version} given to both {known.request_id} and {batch.request_id}"
        self._batches[version] = batch
        return None

    @property
    def versions(self) -> list[int]:
        """Return the accepted versions in order."""
        return sorted(self._batches)

    @property
    def latest(self) -> int:
        """Return the highest accepted version, 0 when there is none."""
        return max(self._batches, default=0)

    def batch(self, version: int) -> Batch:
        """Return the batch accepted as ``version``."""
        return self._batches[version]

    def states(self) -> dict[int, dict[Key, Held]]:
        """Return the whole set after each accepted version, and at version 0."""
        current: dict[Key, Held] = {}
        found: dict[int, dict[Key, Held]] = {0: {}}
        for version in self.versions:
            current = dict(current)
            _apply(current, self._batches[version], version)
            found[version] = current
        return found


def _apply(current: dict[Key, Held], batch: Batch, version: int) -> None:
    for resource in batch.put:
        key = key_of(resource)
        held = current.get(key)
        if held is None or held.body != resource:
            current[key] = Held(version, resource)
    for message in batch.delete:
        current.pop(key_of_message(message), None)
