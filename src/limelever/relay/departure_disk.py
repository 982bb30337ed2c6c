"""Keeps a relay's departed runs in a folder of their own, so that no other write waits for it.

The relay works on without the folder if it can't be used. It keeps the runs in memory then, and
reports no write as done: other relays have to store them.
"""

from __future__ import annotations

from pathlib import Path

import trio
from google.protobuf.message import DecodeError
from msgspec import Struct

from limelever.common.departed_runs import DepartedRun
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ReplaceFile, WriteCompleted
from limelever.protocol.departures import departures_of
from limelever.protocol.endpoints_pb2 import RunsDeparted
from limelever.relay.events import DEPARTURES_NOT_KEPT
from limelever.relay.interface import DeparturesRecovered, DeparturesWritten, WriteDepartures
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk
from limelever.transport.data_folder import report_opening
from limelever.transport.disk_writer import DiskWriter
from limelever.transport.log import write_event
from limelever.transport.runner import CoreRunner

FILE_NAME = "departed-runs"


FULL_RETRY_SECONDS = 1.0
"""Between attempts to open the folder on a full disk."""


class DepartureDisk:
    """Reads and writes departed runs for a relay's core.

    Without a ``folder`` it keeps none, and reports each write as done at once.
    """

    def __init__(self, folder: Path | None, runner: CoreRunner) -> None:
        self._folder = folder
        self._runner = runner
        self._writer: DiskWriter | None = None

    async def run(self) -> None:
        """Open the folder, give the core what it holds, and write until cancelled."""
        opened = await self._open_when_there_is_room()
        recovered: tuple[DepartedRun, ...] = ()
        if isinstance(opened, _OpenFolder):
            recovered = opened.runs
            self._writer = DiskWriter(opened.disk, self._completed, self._failed)
        elif opened is not None:
            write_event(DEPARTURES_NOT_KEPT, {"reason": str(opened)})
        self._runner.post(DeparturesRecovered(recovered, self._folder is not None))
        if self._writer is not None:
            await self._writer.run()

    def write(self, output: WriteDepartures) -> None:
        """Write the departed runs; answered by ``DeparturesWritten`` once they are on disk."""
        if self._folder is None:
            self._runner.post(DeparturesWritten(output.token))
        elif self._writer is not None:
            self._writer.queue(ReplaceFile(output.token, FILE_NAME, output.content))

    async def _open_when_there_is_room(self) -> _OpenFolder | Failure | None:
        opened = await self._open()
        if isinstance(opened, Failure) and opened.kind is ErrorKind.DISK_FULL:
            write_event(DEPARTURES_NOT_KEPT, {"reason": str(opened)})
        while isinstance(opened, Failure) and opened.kind is ErrorKind.DISK_FULL:
            await trio.sleep(FULL_RETRY_SECONDS)
            opened = await self._open()
        return opened

    async def _open(self) -> _OpenFolder | Failure | None:
        """Open the folder in a worker thread, as its disk may hang."""
        if self._folder is None:
            return None
        return await trio.to_thread.run_sync(_open, self._folder, abandon_on_cancel=True)

    def _completed(self, completed: WriteCompleted) -> None:
        self._runner.post(DeparturesWritten(completed.token))

    def _failed(self, failure: Failure) -> None:
        write_event(DEPARTURES_NOT_KEPT, {"reason": str(failure)})
        self._writer = None


class _OpenFolder(Struct, frozen=True):
    disk: FolderDisk
    runs: tuple[DepartedRun, ...]


def _open(folder: Path) -> _OpenFolder | Failure:
    """Open the folder and read the departed runs; blocks."""
    disk = open_folder(folder)
    report_opening(folder, disk)
    if isinstance(disk, Failure):
        return disk
    message = RunsDeparted()
    try:
        message.ParseFromString(disk.recovered.files.get(FILE_NAME, b""))
    except DecodeError as error:
        disk.close()
        return Failure(ErrorKind.DATA_DAMAGED, f"{FILE_NAME} can't be read: {error}")
    return _OpenFolder(disk, tuple(departures_of(message)))
