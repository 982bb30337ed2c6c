"""A disk in memory for simulation: it can lose what is not synced, tear a write, or be lost."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from limelever.common.errors import Failure
from limelever.common.sansio import (
    AppendLog,
    Output,
    Recovered,
    ReplaceFile,
    ResetLog,
    TruncateLog,
)
from limelever.storage.disk import DISK_WRITES, DiskWrite


class MemoryDisk:
    """A :class:`~limelever.storage.disk.Disk` whose crashes are drawn from a seed.

    A simulator that gives writes a duration calls :meth:`begin` when the write starts and
    :meth:`finish` when it is synced; :meth:`perform` does both at once.
    """

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._files: dict[str, bytes] = {}
        self._unsynced: list[DiskWrite] = []
        self._failure: Failure | None = None
        self._carried_out = 0

    @property
    def recovered(self) -> Recovered:
        """Return what would be read back after a crash without a torn write."""
        return Recovered(tuple(self._records), dict(self._files))

    def fail_with(self, failure: Failure | None) -> None:
        """Make every later write fail, or mend the disk with ``None``."""
        self._failure = failure

    def perform(self, outputs: Sequence[Output]) -> Failure | None:
        """Carry out and sync the disk writes among ``outputs``."""
        failure = self.begin(outputs)
        self._carried_out = 0 if failure is not None else len(outputs)
        if failure is None:
            self.finish()
        return failure

    @property
    def carried_out(self) -> int:
        """Return how many outputs of the last :meth:`perform` are done: all or none."""
        return self._carried_out

    def mark_synced(self) -> None:
        """Do nothing: a simulated disk has no damage to notice."""

    def begin(self, outputs: Sequence[Output]) -> Failure | None:
        """Start the disk writes among ``outputs``; a crash before ``finish`` may lose them."""
        if self._failure is not None:
            return self._failure
        self._unsynced.extend(write for write in outputs if isinstance(write, DISK_WRITES))
        return None

    def finish(self) -> None:
        """Sync everything begun."""
        for write in self._unsynced:
            self._apply(write)
        self._unsynced.clear()

    def crash(self, random: Random, torn: bool) -> None:
        """Drop what is not synced; with ``torn``, a prefix of it drawn at random survives."""
        if torn and self._unsynced:
            whole = random.randrange(len(self._unsynced) + 1)
            for write in self._unsynced[:whole]:
                self._apply(write)
            if whole < len(self._unsynced):
                self._tear(self._unsynced[whole], random)
        self._unsynced.clear()

    def lose(self) -> None:
        """Empty the disk, as when the machine gets a new one."""
        self._records.clear()
        self._files.clear()
        self._unsynced.clear()

    def _tear(self, write: DiskWrite, random: Random) -> None:
        """Keep some leading records of an append; the other writes are atomic."""
        if isinstance(write, AppendLog):
            kept = random.randrange(len(write.records) + 1)
            self._records.extend(write.records[:kept])

    def _apply(self, write: DiskWrite) -> None:
        match write:
            case AppendLog():
                self._records.extend(write.records)
            case TruncateLog():
                del self._records[write.keep_records :]
            case ResetLog():
                self._records[:] = write.records
            case ReplaceFile():
                self._files[write.name] = write.content
