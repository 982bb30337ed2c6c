"""What a core's writes need of a disk."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from limelever.common.errors import Failure
from limelever.common.sansio import (
    AppendLog,
    Output,
    Recovered,
    ReplaceFile,
    ResetLog,
    TruncateLog,
)

DiskWrite = AppendLog | TruncateLog | ResetLog | ReplaceFile
DISK_WRITES = (AppendLog, TruncateLog, ResetLog, ReplaceFile)


class Disk(Protocol):
    """A log and named files that survive a crash once written."""

    @property
    def recovered(self) -> Recovered:
        """Return what the disk held when it was opened."""

    def perform(self, outputs: Sequence[Output]) -> Failure | None:
        """Carry out the disk writes among ``outputs`` in order and sync them.

        Returns ``None`` once all of them are synced. After DISK_FULL the writes from number
        ``carried_out`` on are to be given again, in the same order. After any other failure the
        disk takes no further write, because what it holds may differ from what the core believes.
        """

    @property
    def carried_out(self) -> int:
        """Return how many outputs of the last :meth:`perform` are done, from the first on."""

    def mark_synced(self) -> None:
        """Note that all writes are synced; called when none has been given for a while."""
