"""Sets that a subscriber holds; a new one is built separately and validated as a whole."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest, resource_hash, short_hash
from limelever.protocol.distribution_pb2 import (
    ConfigDelta,
    ConfigSnapshot,
    Inventory,
    InventoryEntry,
)
from limelever.protocol.keys import Key, key_texts
from limelever.subscriber.configuration import EMPTY_CONFIGURATION, ConfigurationSet


class HeldSet(Struct, frozen=True):
    """A configuration, the version at which it is valid, and its digest."""

    version: int
    configuration: ConfigurationSet
    digest: SetDigest

    def at(self, version: int) -> HeldSet:
        """Return the same set at a later version at which it is valid too."""
        return replace(self, version=version)


NOTHING_HELD = HeldSet(0, EMPTY_CONFIGURATION, SetDigest())


def from_snapshot(snapshot: ConfigSnapshot) -> HeldSet | Failure:
    """Return the set of a snapshot, or the reason why it is invalid."""
    resources = {Key.of(versioned.resource): versioned for versioned in snapshot.resources}
    digest = SetDigest.of(resources.values())
    return _checked(HeldSet(snapshot.version, ConfigurationSet(resources), digest), snapshot.digest)


def from_delta(held: HeldSet, delta: ConfigDelta) -> HeldSet | Failure:
    """Return the set that ``delta`` makes of ``held``, or the reason why it is invalid."""
    if delta.from_version > held.version:
        reason = f"delta from version {delta.from_version}, held is {held.version}"
        return Failure(ErrorKind.PROTOCOL_VIOLATION, reason)
    removed = tuple(Key.from_message(message) for message in delta.remove)
    configuration = held.configuration.changed(removed, delta.put)
    digest = held.digest.copy()
    for key in touched_keys(delta):
        _exchange(digest, held.configuration.resources.get(key), configuration.resources.get(key))
    built = HeldSet(delta.to_version, configuration, digest)
    return _checked(built, delta.digest)


def touched_keys(delta: ConfigDelta) -> dict[Key, None]:
    """Return the keys that ``delta`` may change, in its order and without duplicates."""
    removed = (Key.from_message(message) for message in delta.remove)
    put = (Key.of(versioned.resource) for versioned in delta.put)
    return dict.fromkeys((*removed, *put))


def inventory_of(held: HeldSet) -> Inventory:
    """Return the keys and hashes of the resources of a set."""
    return Inventory(
        entries=[
            InventoryEntry(key=key.to_message(), hash=short_hash(versioned))
            for key, versioned in held.configuration.resources.items()
        ]
    )


def to_snapshot(held: HeldSet) -> ConfigSnapshot:
    """Return a set as a snapshot message."""
    return ConfigSnapshot(
        version=held.version,
        resources=held.configuration.resources.values(),
        digest=held.digest.to_bytes(),
    )


def _exchange(
    digest: SetDigest, former: VersionedResource | None, current: VersionedResource | None
) -> None:
    if former is current:
        return
    if former is not None:
        digest.remove(resource_hash(former))
    if current is not None:
        digest.add(resource_hash(current))


def _checked(built: HeldSet, digest: bytes) -> HeldSet | Failure:
    if built.digest != SetDigest.from_bytes(digest):
        return Failure(ErrorKind.DATA_DAMAGED, "digest of the set does not match")
    dangling = built.configuration.dangling()
    if dangling:
        return Failure(
            ErrorKind.DANGLING_REFERENCE, "the set refers to what it lacks", key_texts(dangling)
        )
    return built
