"""How often each key is referred to in a set, and which of those keys the set lacks."""

from __future__ import annotations

from collections.abc import Container, Mapping

from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.keys import Key, references_of


class ReferenceIndex:
    """Counts references by the key they lead to; a change costs what it touches.

    After ``replace`` of everything that changes, ``settle`` looks only at the keys that came,
    went or are newly referred to, and at those that dangled before: no other can dangle.
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
        """Note that ``key`` stood for ``former`` and now does for ``current``."""
        self._touched[key] = None
        if former is not None:
            self._release(former)
        if current is not None:
            self._refer(current)

    def settle(self, resources: Container[Key]) -> None:
        """Find what dangles once ``resources`` hold everything that was replaced."""
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
