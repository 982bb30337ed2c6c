"""Who refers to whom among the resources: the index behind the checks of a batch."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from limelever.protocol.config_pb2 import Resource
from limelever.protocol.keys import Key, references_of

Edge = tuple[Key, Key]


class ReferenceIndex:
    """For each key, the keys of the resources that refer to it."""

    def __init__(self) -> None:
        self._referrers: dict[Key, set[Key]] = {}

    def referrers(self, key: Key) -> frozenset[Key]:
        """Return the keys of the resources that refer to ``key``."""
        return frozenset(self._referrers.get(key, ()))

    def add(self, resource: Resource) -> None:
        """Take in the references of ``resource``."""
        referrer = Key.of(resource)
        for target in references_of(resource):
            self._referrers.setdefault(target, set()).add(referrer)

    def remove(self, resource: Resource) -> None:
        """Take out the references of ``resource``."""
        referrer = Key.of(resource)
        for target in references_of(resource):
            referrers = self._referrers.get(target, set())
            referrers.discard(referrer)
            if not referrers:
                self._referrers.pop(target, None)


def dangling(put: Mapping[Key, Resource], present: Iterable[Key]) -> list[Edge]:
    """Return (referrer, missing target) for resources in ``put``; ``present`` is a container."""
    held = present if isinstance(present, set | frozenset) else frozenset(present)
    return sorted(
        (key, target)
        for key, resource in put.items()
        for target in references_of(resource)
        if target not in held
    )


def still_referenced(
    deleted: Iterable[Key], put: Mapping[Key, Resource], index: ReferenceIndex
) -> list[Edge]:
    """Return (referrer, deleted key) for what stays behind and refers to a deleted key.

    A referrer that the batch itself puts or deletes is judged by its new form, which
    :func:`dangling` does.
    """
    gone = frozenset(deleted)
    return sorted(
        (referrer, key)
        for key in gone
        for referrer in index.referrers(key)
        if referrer not in gone and referrer not in put
    )
