"""The publisher's resources with their indexes, and the window of recent versions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping

from msgspec import Struct

from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ROLLOUT,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SHARE,
    RESOURCE_KIND_TENANT,
    RESOURCE_KIND_ZONE_DRAIN,
    VersionedResource,
)
from limelever.protocol.digest import SetDigest, resource_hash
from limelever.protocol.keys import Key, secret_key

Overlay = Mapping[Key, VersionedResource | None]
"""Resources at an earlier version: ``None`` means absent, a missing key unchanged since."""


UNLIMITED_BYTES = 1 << 62

_VALUE_OVERHEAD_BYTES = 1024
"""Memory of a kept value in addition to its content: message objects, key and dictionary entry."""


class Step(Struct, frozen=True):
    """One change of the table, with the former values of the changed resources.

    ``size`` is an estimate of the memory of these values, in bytes.
    """

    from_version: int
    to_version: int
    before: Overlay
    size: int = 0


class ResourceTable:
    """Every resource at the current version, and the changes since earlier versions.

    The window keeps the former values of changed resources, from which the earlier closure of any
    scope is computed. It holds at most ``window`` versions and ``window_bytes`` of values, but
    always the last version. A subscriber at a version before the window gets a snapshot, or is
    asked for its inventory.
    """

    def __init__(self, window: int, window_bytes: int = UNLIMITED_BYTES) -> None:
        self.version = 0
        self.window_size = 0
        self._window = window
        self._window_bytes = window_bytes
        self.digest = SetDigest()
        self._resources: dict[Key, VersionedResource] = {}
        self._steps: deque[Step] = deque()
        self._by_service: dict[str, dict[Key, None]] = {}
        self._by_secret: dict[str, dict[Key, None]] = {}
        self._tenants: dict[Key, None] = {}
        self._zone_drains: dict[Key, None] = {}

    @property
    def resources(self) -> Mapping[Key, VersionedResource]:
        """Every resource by its key."""
        return self._resources

    def get(self, key: Key) -> VersionedResource | None:
        """Return the resource with ``key``, or ``None``."""
        return self._resources.get(key)

    def dependents_of_service(self, service: str) -> Iterable[Key]:
        """Return the keys of the routes to ``service``, its shares and its rollout."""
        return self._by_service.get(service, ())

    def routes_with_secret(self, secret: str) -> Iterable[Key]:
        """Return the keys of the routes that use ``secret``."""
        return self._by_secret.get(secret, ())

    def tenants(self) -> Iterable[Key]:
        """Return the keys of all tenants."""
        return self._tenants

    def zone_drains(self) -> Iterable[Key]:
        """Return the keys of all zone drains."""
        return self._zone_drains

    def load(self, version: int, resources: Iterable[VersionedResource]) -> Step:
        """Replace the whole set; the step holds only the differences."""
        incoming = {Key.of(versioned.resource): versioned for versioned in resources}
        removed = [key for key in self._resources if key not in incoming]
        return self.advance(version, incoming.values(), removed)

    def advance(
        self, version: int, put: Iterable[VersionedResource], removed: Iterable[Key]
    ) -> Step:
        """Advance to ``version`` and return the step."""
        before: dict[Key, VersionedResource | None] = {}
        for key in removed:
            self._note(before, key, None)
        for versioned in put:
            self._note(before, Key.of(versioned.resource), versioned)
        step = Step(self.version, version, before, sum(map(_memory_of, before.values())))
        self._steps.append(step)
        self.window_size += step.size
        self._shorten_window()
        self.version = version
        return step

    def _shorten_window(self) -> None:
        """Remove the oldest steps beyond the limits."""
        while len(self._steps) > 1 and (
            len(self._steps) > self._window or self.window_size > self._window_bytes
        ):
            self.window_size -= self._steps.popleft().size

    def overlay_at(self, version: int) -> Overlay | None:
        """Return how the resources at ``version`` differ, or ``None`` for one before the window.

        For a version within a step, which a relay may have skipped, the overlay is that of the
        step's start; the caller compares digests before relying on the result.
        """
        if version >= self.version:
            return {}
        overlay: dict[Key, VersionedResource | None] = {}
        for step in reversed(self._steps):
            overlay.update(step.before)
            if step.from_version <= version:
                return overlay
        return None

    def _note(
        self,
        before: dict[Key, VersionedResource | None],
        key: Key,
        versioned: VersionedResource | None,
    ) -> None:
        held = self._resources.get(key)
        if held == versioned:
            return
        before.setdefault(key, held)
        if held is not None:
            self.digest.remove(resource_hash(held))
            self._unindex(key, held)
            del self._resources[key]
        if versioned is not None:
            self.digest.add(resource_hash(versioned))
            self._resources[key] = versioned
            self._index(key, versioned)

    def _index(self, key: Key, versioned: VersionedResource) -> None:
        service = service_of(versioned)
        if service is not None:
            self._by_service.setdefault(service, {})[key] = None
        for secret in secrets_of(versioned):
            self._by_secret.setdefault(secret.name, {})[key] = None
        if key.kind == RESOURCE_KIND_TENANT:
            self._tenants[key] = None
        elif key.kind == RESOURCE_KIND_ZONE_DRAIN:
            self._zone_drains[key] = None

    def _unindex(self, key: Key, versioned: VersionedResource) -> None:
        service = service_of(versioned)
        if service is not None:
            _discard(self._by_service, service, key)
        for secret in secrets_of(versioned):
            _discard(self._by_secret, secret.name, key)
        self._tenants.pop(key, None)
        self._zone_drains.pop(key, None)


def _memory_of(versioned: VersionedResource | None) -> int:
    content = 0 if versioned is None else versioned.ByteSize()
    return content + _VALUE_OVERHEAD_BYTES


def service_of(versioned: VersionedResource) -> str | None:
    """Return the service of a route, share or rollout; ``None`` for other kinds."""
    kind = Key.of(versioned.resource).kind
    if kind == RESOURCE_KIND_ROUTE:
        return versioned.resource.route.service
    if kind == RESOURCE_KIND_SHARE:
        return versioned.resource.share.service
    if kind == RESOURCE_KIND_ROLLOUT:
        return versioned.resource.rollout.service
    return None


def secrets_of(versioned: VersionedResource) -> tuple[Key, ...]:
    """Return the keys of the secrets that a route uses; empty for other kinds."""
    return tuple(secret_key(name) for name in dict.fromkeys(versioned.resource.route.secrets))


def _discard(index: dict[str, dict[Key, None]], name: str, key: Key) -> None:
    keys = index.get(name)
    if keys is None:
        return
    keys.pop(key, None)
    if not keys:
        del index[name]
