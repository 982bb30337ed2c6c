"""Steps for a relay's folder of departed runs on a disk that is full or fails; virtual time."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import trio
import trio.testing
from behave import then, when
from behave.runner import Context

from limelever.common.errors import ErrorKind, Failure
from limelever.relay import departure_disk
from limelever.relay.departure_disk import FILE_NAME, DepartureDisk
from limelever.relay.interface import DeparturesWritten, WriteDepartures
from limelever.storage.folder import FILES_NAME, FolderDisk

FULL_SECONDS = 3.0
RUN_SECONDS = 10.0


class Reported:
    """Takes the events of the disk in place of the relay's runner."""

    def __init__(self) -> None:
        self.tokens: list[int] = []

    def post(self, event: object) -> None:
        if isinstance(event, DeparturesWritten):
            self.tokens.append(event.token)


async def write_twice(folder: Path, reported: Reported) -> None:
    disk = DepartureDisk(folder, reported)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(disk.run)
        await trio.sleep(FULL_SECONDS + 2)
        for token in (1, 2):
            disk.write(WriteDepartures(token, b"runs"))
            await trio.sleep(1)
        await trio.sleep(RUN_SECONDS)
        nursery.cancel_scope.cancel()


def full_at_first(real):
    """Return ``open_folder`` for a disk that is full for some seconds."""

    def open_folder(folder):
        if open_folder.full and trio.from_thread.run_sync(trio.current_time) < FULL_SECONDS:
            return Failure(ErrorKind.DISK_FULL, "disk: no space left on device")
        return real(folder)

    open_folder.full = True
    return open_folder


def failing_later(real):
    """Return ``FolderDisk.perform`` for a disk that fails at the second write."""
    writes = []

    def perform(disk, outputs):
        writes.append(outputs)
        if len(writes) > 1:
            return Failure(ErrorKind.DISK_FAILED, os.strerror(errno.EIO))
        return real(disk, outputs)

    return perform


@when("departed runs are written to a folder that {state}")
def write(context: Context, state: str) -> None:
    context.reported = Reported()
    opening, performing = departure_disk.open_folder, FolderDisk.perform
    with tempfile.TemporaryDirectory() as parent:
        folder = Path(parent) / "departures"
        if state == "can't be opened":
            folder.write_text("a file in its place")
        if state.startswith("is full"):
            departure_disk.open_folder = full_at_first(opening)
        if state.startswith("fails"):
            FolderDisk.perform = failing_later(performing)
        clock = trio.testing.MockClock(autojump_threshold=0.05)
        try:
            trio.run(write_twice, folder, context.reported, clock=clock)
        finally:
            departure_disk.open_folder, FolderDisk.perform = opening, performing
        context.kept = (folder / FILES_NAME / FILE_NAME).exists()


@then("the writes reported as done are {tokens}")
def are_reported(context: Context, tokens: str) -> None:
    expected = [] if tokens == "none" else [int(token) for token in tokens.split(", ")]
    assert context.reported.tokens == expected, context.reported.tokens
    assert context.kept is bool(expected), context.kept
