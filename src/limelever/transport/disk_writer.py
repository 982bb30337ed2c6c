"""Carries out a core's disk writes in a worker thread, in order, with one sync for many."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

import trio

from limelever.common import events
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    AppendLog,
    Output,
    ReplaceFile,
    ResetLog,
    TruncateLog,
    WriteCompleted,
)
from limelever.transport.log import write_event

DiskWrite = AppendLog | TruncateLog | ResetLog | ReplaceFile


class Disk(Protocol):
    """What the writer needs of ``limelever.storage``; its calls block."""

    def perform(self, outputs: Sequence[Output]) -> Failure | None:
        """Carry out the writes in order and sync them, or say why not."""

    @property
    def carried_out(self) -> int:
        """Return how many outputs of the last :meth:`perform` are done, from the first on."""

    def mark_synced(self) -> None:
        """Note that all writes are synced; called when none has been given for a while."""


IDLE_SECONDS = 1.0
"""Time without writes after which the disk notes that all of them are synced."""

FULL_RETRY_SECONDS = 0.25
"""Between attempts to write to a full disk."""


class DiskWriter:
    """Writes what is queued while the last writes are synced, all with the next sync.

    ``on_completed`` is called for each write once it is synced. A full disk is tried again until it
    has room: meanwhile nothing is reported, and the core goes on with what needs no write. After
    any other failure nothing more is written: what the disk holds may differ from what the core
    believes.
    """

    def __init__(
        self,
        disk: Disk,
        on_completed: Callable[[WriteCompleted], None],
        on_failure: Callable[[Failure], None],
    ) -> None:
        self._disk = disk
        self._on_completed = on_completed
        self._on_failure = on_failure
        self._queue: list[DiskWrite] = []
        self._wake = trio.Event()
        self._has_written = False

    def queue(self, write: DiskWrite) -> None:
        """Let a write follow those that are queued already."""
        self._queue.append(write)
        self._wake.set()

    async def run(self) -> None:
        """Write until cancelled, or until the disk fails."""
        while True:
            await self._wait_for_writes()
            self._wake = trio.Event()
            writes, self._queue = self._queue, []
            failure = await self._write(writes)
            if failure is not None:
                fields: dict[str, object] = {"kind": failure.kind.value, "reason": failure.reason}
                write_event(events.DISK_FAILED, fields)
                self._on_failure(failure)
                return

    async def _wait_for_writes(self) -> None:
        if self._has_written:
            with trio.move_on_after(IDLE_SECONDS):
                await self._wake.wait()
                return
            self._has_written = False
            await trio.to_thread.run_sync(self._disk.mark_synced, abandon_on_cancel=True)
        await self._wake.wait()

    async def _write(self, writes: list[DiskWrite]) -> Failure | None:
        """Carry writes out in order, waiting for room; return a failure that is final."""
        full = False
        self._has_written = True
        while writes:
            # A stop doesn't wait for a disk that hangs: nothing was acknowledged of these writes.
            perform = partial(self._disk.perform, writes)
            failure = await trio.to_thread.run_sync(perform, abandon_on_cancel=True)
            if failure is not None and failure.kind is not ErrorKind.DISK_FULL:
                return failure
            done = len(writes) if failure is None else self._disk.carried_out
            for write in writes[:done]:
                self._on_completed(WriteCompleted(write.token))
            writes = writes[done:]
            if (failure is not None) != full:
                full = failure is not None
                write_event(events.DISK_FULL if full else events.DISK_HAS_ROOM, {})
            if full:
                await trio.sleep(FULL_RETRY_SECONDS)
        return None
