"""Shared views of scopes: the resources of a scope, and the messages that update subscribers.

All subscribers of the same scope share one view, so that the delta of a version is computed and
built once for all of them.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest, resource_hash, short_hash
from limelever.protocol.distribution_pb2 import ConfigDelta, ConfigSnapshot, Inventory
from limelever.protocol.keys import Key
from limelever.publisher.resources import ResourceTable
from limelever.publisher.scope import (
    Closure,
    Scope,
    ScopeDifference,
    closure_now,
    compare,
    difference,
)


class Refreshed(Struct, frozen=True):
    """Result of a refresh: the ``delta`` for subscribers at ``from_version`` or later.

    Without a delta nothing in scope changed, unless ``changed`` is set: then the window does not
    reach back far enough, and a snapshot is needed.
    """

    from_version: int
    changed: bool
    delta: ConfigDelta | None = None


class ScopeView:
    """One scope at the table's version; while ``dirty``, it is outdated until ``refresh``.

    ``changed_version`` is the version of the closure's last change (for a new view the version at
    its creation). ``unchanged_through`` is, while dirty, the last version known to have the same
    closure.
    """

    def __init__(self, scope: Scope, table: ResourceTable) -> None:
        self.scope = scope
        self.dirty = False
        self.changed_version = table.version
        self.unchanged_through = table.version
        self._table = table
        self._members: Closure = closure_now(scope, table)
        self._digest = self._whole_digest()
        self._messages_version = table.version
        self._deltas: dict[int, ConfigDelta | None] = {}
        self._snapshot: ConfigSnapshot | None = None

    @property
    def digest(self) -> bytes:
        """Digest of the closure."""
        return self._digest.to_bytes()

    def mark_dirty(self, unchanged_through: int) -> None:
        """Record that a version after ``unchanged_through`` may change the closure."""
        if not self.dirty:
            self.dirty = True
            self.unchanged_through = unchanged_through

    def refresh(self) -> Refreshed:
        """Update a dirty view to the table's version."""
        from_version = self.changed_version
        found = self._advance_members()
        self.dirty = False
        if found is not None and not found.put and not found.removed:
            return Refreshed(from_version, changed=False)
        self.changed_version = self._table.version
        self._forget_messages()
        if found is None:
            return Refreshed(from_version, changed=True)
        return Refreshed(from_version, changed=True, delta=self._build(from_version, found))

    def delta_since(self, version: int) -> ConfigDelta | None:
        """Return the merged delta from ``version``, or ``None`` beyond the window."""
        self._expire_messages()
        if version not in self._deltas:
            self._deltas[version] = self._merged(version)
        return self._deltas[version]

    def digest_at(self, version: int) -> bytes | None:
        """Return the digest the scope had at ``version``, or ``None`` beyond the window."""
        overlay = self._table.overlay_at(version)
        if overlay is None:
            return None
        found = difference(self.scope, self._table, self._members, overlay)
        digest = self._digest.copy()
        _exchange(digest, found.put, found.former)
        return digest.to_bytes()

    def snapshot(self) -> ConfigSnapshot:
        """Return the message with the whole closure."""
        self._expire_messages()
        if self._snapshot is None:
            self._snapshot = ConfigSnapshot(
                version=self._table.version,
                resources=self._members.values(),
                digest=self.digest,
            )
        return self._snapshot

    def delta_over(self, inventory: Inventory, held_version: int) -> ConfigDelta:
        """Return a delta of the differences from a subscriber's inventory."""
        held = {Key.from_message(entry.key): entry.hash for entry in inventory.entries}
        put = tuple(
            versioned
            for key, versioned in self._members.items()
            if held.get(key) != short_hash(versioned)
        )
        removed = tuple(key for key in held if key not in self._members)
        return self._build(held_version, ScopeDifference(put, removed, ()))

    def _advance_members(self) -> ScopeDifference | None:
        """Update the closure; return the difference, or ``None`` beyond the window.

        The closure of everything is the table's own mapping, so its earlier state is only
        available from the window.
        """
        if self.scope.is_whole:
            self._digest = self._table.digest.copy()
            overlay = self._table.overlay_at(self.unchanged_through)
            if overlay is None:
                return None
            return difference(self.scope, self._table, self._members, overlay)
        before, self._members = self._members, closure_now(self.scope, self._table)
        found = compare(before, self._members)
        _exchange(self._digest, found.former, found.put)
        return found

    def _merged(self, version: int) -> ConfigDelta | None:
        overlay = self._table.overlay_at(version)
        if overlay is None:
            return None
        return self._build(version, difference(self.scope, self._table, self._members, overlay))

    def _build(self, from_version: int, found: ScopeDifference) -> ConfigDelta:
        return ConfigDelta(
            from_version=from_version,
            to_version=self._table.version,
            put=found.put,
            remove=[key.to_message() for key in found.removed],
            digest=self.digest,
        )

    def _whole_digest(self) -> SetDigest:
        if self.scope.is_whole:
            return self._table.digest.copy()
        return SetDigest.of(self._members.values())

    def _expire_messages(self) -> None:
        if self._messages_version != self._table.version:
            self._forget_messages()

    def _forget_messages(self) -> None:
        self._messages_version = self._table.version
        self._deltas.clear()
        self._snapshot = None


def _exchange(
    digest: SetDigest, leaving: Iterable[VersionedResource], joining: Iterable[VersionedResource]
) -> None:
    for versioned in leaving:
        digest.remove(resource_hash(versioned))
    for versioned in joining:
        digest.add(resource_hash(versioned))
