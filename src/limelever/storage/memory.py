"""A disk in memory for simulation: it can lose what is not synced, tear writes, or be lost."""

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
from limelever.storage.records import SECTOR_SIZE, encode_record, scan_records
from limelever.storage.sync_marks import with_mark
from limelever.storage.torn_writes import FileWrite, applied, drawn_parts

_KEPT_RENAMES = 0.5
"""Probability that a change of names which was not synced survives."""


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
        """Drop what is not synced; with ``torn``, what a loss of power leaves of it survives.

        The loss comes after some of the writes were issued. Those that are no appends sync what
        comes before them.
        """
        issued = random.randrange(len(self._unsynced) + 1) if torn else 0
        appends: list[AppendLog] = []
        for position, write in enumerate(self._unsynced[:issued]):
            if isinstance(write, AppendLog):
                appends.append(write)
                continue
            for append in appends:
                self._apply(append)
            appends.clear()
            if position < issued - 1 or random.random() < _KEPT_RENAMES:
                self._apply(write)
        self._records.extend(_left_of(appends, random))
        self._unsynced.clear()

    def lose(self) -> None:
        """Empty the disk, as when the machine gets a new one."""
        self._records.clear()
        self._files.clear()
        self._unsynced.clear()

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


def _left_of(appends: Sequence[AppendLog], random: Random) -> tuple[bytes, ...]:
    """Return the records that are read back from appends of which some bytes are missing."""
    begin = random.randrange(SECTOR_SIZE)
    end = begin
    left: list[FileWrite] = [FileWrite(0, bytes(begin))]
    for append in appends:
        payloads = list(append.records)
        if payloads and end == begin:
            payloads[0] = with_mark(payloads[0], 0)
        data = b"".join(map(encode_record, payloads))
        left.extend(drawn_parts(FileWrite(end, data), random))
        end += len(data)
    scan = scan_records(applied(b"", left)[begin:], synced_length=0)
    if isinstance(scan, Failure):
        raise ValueError(f"a disk that lost power is refused: {scan}")
    return scan.records
