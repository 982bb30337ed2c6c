"""What a replica keeps on disk, and how it is read back at start.

Three files and the log: ``formatted`` (the identity), ``hard-state`` (term and vote),
``snapshot``, and the entries after the snapshot, one record each.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Recovered
from limelever.protocol.feature_level import CURRENT_LEVEL, UNSTATED_LEVEL
from limelever.protocol.replication_pb2 import Formatted, HardState, LogEntry, SourceSnapshot

FORMATTED_FILE = "formatted"
HARD_STATE_FILE = "hard-state"
SNAPSHOT_FILE = "snapshot"


LEVEL_MARK = b"\xfflimelever feature level "
"""Begins the identity file of a disk that has held a record above level 0.

The byte 0xff begins no protobuf message, so that a build which knows of no levels refuses the
disk. Without that it would read such a record as one without content.
"""


class RecoveredReplica(Struct, frozen=True):
    """A replica's durable state; ``formatted`` is ``None`` for an empty disk.

    ``marked_level`` is the feature level that the disk is marked with.

    ``log_is_stale`` says that the disk's log reaches back behind the snapshot, because a crash
    came between the two writes: it has to be reset to ``entries``.
    """

    formatted: Formatted | None
    hard_state: HardState
    snapshot: SourceSnapshot
    entries: tuple[LogEntry, ...]
    log_is_stale: bool
    marked_level: int = UNSTATED_LEVEL


def encode_identity(formatted: Formatted, level: int) -> bytes:
    """Return the content of the identity file of a disk that may hold records of ``level``."""
    content = formatted.SerializeToString()
    if level == UNSTATED_LEVEL:
        return content
    return b"%s%d\n%s" % (LEVEL_MARK, level, content)


def _marked_level(content: bytes) -> int | Failure:
    """Return the level in the mark of an identity file, 0 without one, or DATA_DAMAGED."""
    if not content.startswith(LEVEL_MARK):
        return UNSTATED_LEVEL
    digits = content[len(LEVEL_MARK) :].partition(b"\n")[0]
    if not digits.isdigit():
        return _damaged("the mark of the feature level does not parse")
    level = int(digits)
    if level > CURRENT_LEVEL:
        return _damaged(
            f"records of feature level {level} were written here; this build reads levels up to "
            f"{CURRENT_LEVEL}"
        )
    return level


def _without_mark(content: bytes) -> bytes:
    return content.partition(b"\n")[2] if content.startswith(LEVEL_MARK) else content


def recover_replica(recovered: Recovered) -> RecoveredReplica | Failure:
    """Return the durable state in ``recovered``, or DATA_DAMAGED when parts contradict."""
    try:
        return _recover(recovered)
    except DecodeError as error:
        return _damaged(f"a record does not parse: {error}")


def _recover(recovered: Recovered) -> RecoveredReplica | Failure:
    files = recovered.files
    if FORMATTED_FILE not in files:
        if recovered.records or SNAPSHOT_FILE in files or HARD_STATE_FILE in files:
            return _damaged("the identity is missing beside other state")
        return RecoveredReplica(None, HardState(), SourceSnapshot(), (), False)
    level = _marked_level(files[FORMATTED_FILE])
    if isinstance(level, Failure):
        return level
    formatted = Formatted.FromString(_without_mark(files[FORMATTED_FILE]))
    hard_state = HardState.FromString(files.get(HARD_STATE_FILE, b""))
    snapshot = SourceSnapshot.FromString(files.get(SNAPSHOT_FILE, b""))
    entries = tuple(LogEntry.FromString(record) for record in recovered.records)
    damage = _contradiction(hard_state, snapshot, entries)
    if damage is not None:
        return damage
    kept = _after_snapshot(snapshot, entries)
    is_stale = len(kept) != len(entries)
    return RecoveredReplica(formatted, hard_state, snapshot, kept, is_stale, level)


def _contradiction(
    hard_state: HardState, snapshot: SourceSnapshot, entries: tuple[LogEntry, ...]
) -> Failure | None:
    for earlier, later in zip(entries, entries[1:], strict=False):
        if later.index != earlier.index + 1 or later.term < earlier.term:
            return _damaged(f"entry {later.index} follows entry {earlier.index}")
    if entries and entries[0].index > snapshot.last_index + 1:
        return _damaged(f"entries between {snapshot.last_index} and {entries[0].index} miss")
    newest_term = max(snapshot.last_term, entries[-1].term if entries else 0)
    if hard_state.term < newest_term:
        return _damaged(f"term {hard_state.term} is older than that of the log, {newest_term}")
    return None


def _after_snapshot(
    snapshot: SourceSnapshot, entries: tuple[LogEntry, ...]
) -> tuple[LogEntry, ...]:
    """Return the entries that the snapshot doesn't cover and that agree with it."""
    if not entries or entries[0].index > snapshot.last_index:
        return entries
    for position, entry in enumerate(entries):
        if entry.index == snapshot.last_index and entry.term == snapshot.last_term:
            return entries[position + 1 :]
    return ()


def _damaged(reason: str) -> Failure:
    return Failure(ErrorKind.DATA_DAMAGED, reason)
