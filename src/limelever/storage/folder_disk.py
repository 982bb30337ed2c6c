"""The writes to a data folder: one checksummed log, and files replaced atomically.

All functions block; the shell calls them in a worker thread.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Sequence
from pathlib import Path

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    AppendLog,
    Output,
    Recovered,
    ReplaceFile,
    ResetLog,
    TruncateLog,
)
from limelever.storage.atomic import replace_file, sync, sync_folder, write_all
from limelever.storage.disk import DISK_WRITES, DiskWrite
from limelever.storage.records import Scan, encode_record
from limelever.storage.sync_marks import with_mark
from limelever.storage.synced_length import SyncedLength

LOG_NAME = "log"
FILES_NAME = "files"
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


def failure_of(error: OSError) -> Failure:
    """Return the failure for an error of the disk, DISK_FULL or DISK_FAILED."""
    kind = ErrorKind.DISK_FULL if error.errno in FULL_ERRORS else ErrorKind.DISK_FAILED
    return Failure(kind, f"disk: {error.strerror or error}")


class FolderDisk:
    """A :class:`~limelever.storage.disk.Disk` in a locked folder; made by ``open_folder``.

    ``log_bytes`` is the size of the log as opened, ``cut_bytes`` that of what was cut from it.
    """

    def __init__(self, folder: Path, lock: int, scan: Scan, files: dict[str, bytes]) -> None:
        self._folder = folder
        self._lock = lock
        self._recovered = Recovered(scan.records, files)
        self._offsets = list(scan.offsets)
        self._end = scan.end
        self._dirty = False
        self._closed = False
        self._failure: Failure | None = None
        self._carried_out = 0
        self._performing = False
        self.log_bytes = scan.end
        self._synced_length = SyncedLength(folder)
        self._log = self._open_log()
        try:
            self.cut_bytes = os.fstat(self._log).st_size - self._end
            self._cut_and_sync()
        except OSError:
            os.close(self._log)
            self._synced_length.close()
            raise

    def _cut_and_sync(self) -> None:
        """Cut what was not synced, and sync all that was read."""
        os.ftruncate(self._log, self._end)
        sync(self._log)
        # What a killed process renamed and didn't sync was read: it must not be taken back.
        sync_folder(self._folder / FILES_NAME)
        sync_folder(self._folder)
        try:
            self._synced_length.make(self._end)
        except OSError as error:
            if error.errno not in FULL_ERRORS:
                raise
            # The first write makes it.

    @property
    def recovered(self) -> Recovered:
        """Return the records and files that the folder held when it was opened."""
        return self._recovered

    def close(self) -> None:
        """Release the folder; the disk takes no write afterwards."""
        if self._closed:
            return
        self.mark_synced()
        self._closed = True
        self._synced_length.close()
        os.close(self._log)
        os.close(self._lock)

    def perform(self, outputs: Sequence[Output]) -> Failure | None:
        """Carry out the disk writes among ``outputs`` in order, with one sync for all appends.

        A write that fails is undone; those before it in the batch stay and are synced. A full
        disk may be tried again with the writes from the refused one on; any other failure is
        final.
        """
        self._carried_out = 0
        if self._failure is not None:
            return self._failure
        self._performing = True
        failure = self._carry_out_all(outputs)
        self._performing = False
        return failure

    def _carry_out_all(self, outputs: Sequence[Output]) -> Failure | None:
        try:
            self._synced_length.make(self._end)
            for write in outputs:
                if isinstance(write, DISK_WRITES):
                    self._carry_out(write)
                self._carried_out += 1
            self._sync_log()
        except OSError as error:
            failure = failure_of(error)
            if failure.kind is not ErrorKind.DISK_FULL or not self._keep_those_before():
                self._failure = failure
            return failure
        return None

    @property
    def carried_out(self) -> int:
        """Return how many outputs of the last :meth:`perform` are done, from the first on."""
        return self._carried_out

    def mark_synced(self) -> None:
        """State that the whole log is synced, so that damage to its last batch is noticed."""
        if self._failure is None and not self._dirty and not self._performing:
            self._synced_length.state(self._end)

    def _keep_those_before(self) -> bool:
        """Sync the writes before a refused one; return whether that went well."""
        try:
            self._sync_log()
        except OSError as error:
            self._failure = failure_of(error)
            return False
        return True

    def _carry_out(self, write: DiskWrite) -> None:
        match write:
            case AppendLog():
                self._append(write.records)
            case TruncateLog():
                self._truncate(write.keep_records)
            case ResetLog():
                self._reset(write.records)
            case ReplaceFile():
                self._sync_log()  # a later write must not survive an earlier one
                replace_file(self._folder / FILES_NAME, write.name, encode_record(write.content))

    def _append(self, records: Sequence[bytes]) -> None:
        if not records:
            return
        first = records[0] if self._dirty else with_mark(records[0], self._end)
        encoded = [encode_record(record) for record in (first, *records[1:])]
        try:
            write_all(self._log, self._end, b"".join(encoded))
        except OSError:
            os.ftruncate(self._log, self._end)
            self._sync_log()
            raise
        self._note(encoded)
        self._dirty = True

    def _truncate(self, keep_records: int) -> None:
        if keep_records >= len(self._offsets):
            return
        self._synced_length.withdraw()
        end = self._offsets[keep_records]
        os.ftruncate(self._log, end)
        self._end = end
        del self._offsets[keep_records:]
        self._dirty = True
        self._sync_log()  # without it, records that were cut could follow those written next

    def _reset(self, records: Sequence[bytes]) -> None:
        self._sync_log()
        self._synced_length.withdraw()
        encoded = [encode_record(record) for record in records]
        replace_file(self._folder, LOG_NAME, b"".join(encoded))
        os.close(self._log)
        self._log = self._open_log()
        self._offsets.clear()
        self._end = 0
        self._note(encoded)
        self._synced_length.state(self._end)

    def _note(self, encoded: Sequence[bytes]) -> None:
        for record in encoded:
            self._offsets.append(self._end)
            self._end += len(record)

    def _sync_log(self) -> None:
        if self._dirty:
            sync(self._log)
            self._dirty = False

    def _open_log(self) -> int:
        return os.open(self._folder / LOG_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
