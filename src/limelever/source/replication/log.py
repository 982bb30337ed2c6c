"""The replicated log in memory: entries after the last snapshot, and the member sets in it."""

from __future__ import annotations

from collections.abc import Sequence

from limelever.protocol.feature_level import UNSTATED_LEVEL, level_of_batch
from limelever.protocol.replication_pb2 import LogEntry, MemberSet


class ReplicatedLog:
    """Entries from ``base_index + 1`` on; the base is what the last snapshot covers."""

    def __init__(
        self,
        base_index: int,
        base_term: int,
        base_members: MemberSet,
        base_level: int,
        entries: Sequence[LogEntry],
    ) -> None:
        """``base_level`` is the feature level that the records through the base need."""
        self.base_index = base_index
        self.base_term = base_term
        self._base_members = base_members
        self._base_level = base_level
        self._entries = list(entries)
        self._member_indexes = [e.index for e in entries if _has_members(e)]
        self._levels = _levels_of(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> MemberSet:
        """Return the latest member set, committed or not."""
        return self.members_at(self.last_index)

    @property
    def members_index(self) -> int:
        """Return the index of the latest member set's entry, or of the base."""
        return self._member_indexes[-1] if self._member_indexes else self.base_index

    def members_at(self, index: int) -> MemberSet:
        """Return the member set in effect at ``index``."""
        for position in reversed(self._member_indexes):
            if position <= index:
                return self.entry(position).members
        return self._base_members

    @property
    def feature_level(self) -> int:
        """Return the feature level that the log needs, what was compacted included."""
        return self.feature_level_at(self.last_index)

    def feature_level_at(self, index: int) -> int:
        """Return the feature level that the log through ``index`` needs."""
        levels = (level for position, level in self._levels.items() if position <= index)
        return max(self._base_level, *levels, UNSTATED_LEVEL)

    def entry(self, index: int) -> LogEntry:
        """Return the entry at ``index``, which must lie after the base."""
        return self._entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``; ``None`` when it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entry(index).term

    def entries_from(self, index: int, byte_limit: int) -> list[LogEntry]:
        """Return entries from ``index`` on, at least one if there is one, up to the limit."""
        chosen: list[LogEntry] = []
        size = 0
        for entry in self._entries[index - self.base_index - 1 :]:
            size += entry.ByteSize()
            if chosen and size > byte_limit:
                break
            chosen.append(entry)
        return chosen

    def suffix(self, after: int) -> list[LogEntry]:
        """Return all entries after index ``after``."""
        return self._entries[after - self.base_index :]

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Add entries that follow the last one."""
        self._entries.extend(entries)
        self._member_indexes.extend(e.index for e in entries if _has_members(e))
        self._levels.update(_levels_of(entries))

    def cut_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it."""
        del self._entries[index - self.base_index - 1 :]
        self._member_indexes = [i for i in self._member_indexes if i < index]
        self._levels = {i: level for i, level in self._levels.items() if i < index}

    def rebase(self, index: int, term: int, members: MemberSet, level: int) -> None:
        """Let a snapshot that covers ``index`` stand for all up to there.

        Entries after it stay only when the log agrees with the snapshot at ``index``.
        """
        kept = self.suffix(index) if self.term_at(index) == term else []
        self.base_index, self.base_term, self._base_members = index, term, members
        self._base_level = level
        self._entries = kept
        self._member_indexes = [e.index for e in kept if _has_members(e)]
        self._levels = _levels_of(kept)

    def is_behind(self, last_index: int, last_term: int) -> bool:
        """Return whether a log that ends so is at least as up to date as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)


def _levels_of(entries: Sequence[LogEntry]) -> dict[int, int]:
    """Return the feature levels above 0 that entries need, by index."""
    levels = {entry.index: level_of_batch(entry.batch) for entry in entries}
    return {index: level for index, level in levels.items() if level > UNSTATED_LEVEL}


def _has_members(entry: LogEntry) -> bool:
    return entry.WhichOneof("body") == "members"
