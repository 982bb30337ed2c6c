"""Steps for a relay's folder of departed runs on a disk that is full or fails."""

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
from limelever.relay.interface import (
    DeparturesRecovered,
    DeparturesWritten,
    WriteDepartures,
)
from limelever.storage.folder_disk import FILES_NAME, FolderDisk

FULL_ATTEMPTS = 3
SHORT_RETRY_SECONDS = 0.02
LIMIT_SECONDS = 60.0


class Reported:
    """Takes the events of the disk in place of the relay's runner."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.recovered = trio.Event()
        self.written = trio.Event()

    def post(self, event: object) -> None:
        if isinstance(event, DeparturesRecovered):
            self.recovered.set()
        elif isinstance(event, DeparturesWritten):
            self.tokens.append(event.token)
            self.written.set()


async def write_twice(folder: Path, reported: Reported) -> None:
    """Write twice, one after the other, until both are reported or the disk has failed."""
    disk = DepartureDisk(folder, reported)
    ended = trio.Event()

    async def run_disk() -> None:
        await disk.run()
        ended.set()

    async def write(token: int) -> None:
        reported.written = trio.Event()
        disk.write(WriteDepartures(token, b"runs"))
        await reported.written.wait()

    async def write_all() -> None:
        for token in (1, 2):
            await write(token)
        ended.set()

    with trio.fail_after(LIMIT_SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_disk)
            await reported.recovered.wait()
            nursery.start_soon(write_all)
            await ended.wait()
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()


def full_at_first(real):
    """Return ``open_folder`` for a disk that is full at the first attempts."""
    attempts = []

    def open_folder(folder):
        attempts.append(folder)
        if len(attempts) <= FULL_ATTEMPTS:
            return Failure(ErrorKind.DISK_FULL, "disk: no space left on device")
        return real(folder)

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
    retry = departure_disk.FULL_RETRY_SECONDS
    with tempfile.TemporaryDirectory() as parent:
        folder = Path(parent) / "departures"
        if state == "can't be opened":
            folder.write_text("a file in its place")
        if state.startswith("is full"):
            departure_disk.open_folder = full_at_first(opening)
            departure_disk.FULL_RETRY_SECONDS = SHORT_RETRY_SECONDS
        if state.startswith("fails"):
            FolderDisk.perform = failing_later(performing)
        try:
            trio.run(write_twice, folder, context.reported)
        finally:
            departure_disk.open_folder, FolderDisk.perform = opening, performing
            departure_disk.FULL_RETRY_SECONDS = retry
        context.kept = (folder / FILES_NAME / FILE_NAME).exists()


@then("the writes reported as done are {tokens}")
def are_reported(context: Context, tokens: str) -> None:
    expected = [] if tokens == "none" else [int(token) for token in tokens.split(", ")]
    assert context.reported.tokens == expected, context.reported.tokens
    assert context.kept is bool(expected), context.kept
