"""Reference counts of the keys in a set, and the referenced keys that are missing from it."""

from __future__ import annotations

from collections.abc import Container, Mapping

from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.keys import Key, references_of


class ReferenceIndex:
    """Counts references by target key; the cost of an update depends on the size of the change.

    After ``replace`` of each changed resource, ``settle`` examines only the keys that were added,
    removed or newly referenced, and those that dangled before: no other can dangle.
    """

    def __init__(self) -> None:
        self.dangling: tuple[Key, ...] = ()
        self._counts: dict[Key, int] = {}
        self._touched: dict[Key, None] = {}

    @classmethod
    def of(cls, resources: Mapping[Key, VersionedResource]) -> ReferenceIndex:
        """Return the index of a whole set."""
        built = cls()
        for key, versioned in resources.items():
            built.replace(key, None, versioned)
        built.settle(resources)
        return built

    def copy(self) -> ReferenceIndex:
        """Return an independent copy of a settled index."""
        copied = ReferenceIndex()
        copied.dangling = self.dangling
        copied._counts = self._counts.copy()
        return copied

    def replace(
        self, key: Key, former: VersionedResource | None, current: VersionedResource | None
    ) -> None:
        """Record that the resource of ``key`` changes; ``None`` means that there is none."""
        self._touched[key] = None
        if former is not None:
            self._release(former)
        if current is not None:
            self._refer(current)

    def settle(self, resources: Container[Key]) -> None:
        """Update ``dangling`` once ``resources`` contain all replacements."""
        candidates = {**self._touched, **dict.fromkeys(self.dangling)}
        missing = [key for key in candidates if key in self._counts and key not in resources]
        self.dangling = tuple(sorted(missing))
        self._touched = {}

    def _refer(self, versioned: VersionedResource) -> None:
        for target in references_of(versioned.resource):
            self._counts[target] = self._counts.get(target, 0) + 1
            self._touched[target] = None

    def _release(self, versioned: VersionedResource) -> None:
        for target in references_of(versioned.resource):
            left = self._counts[target] - 1
            if left:
                self._counts[target] = left
            else:
                del self._counts[target]
