"""Steps for processes that are killed while they write, and start again before power is lost."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from unittest import mock

from behave import then
from power_loss import FolderRecorder, lay_out
from power_loss_trial import BATCHES, PowerLossTrial, held_by

from limelever.common.sansio import AppendLog, Output, ReplaceFile, ResetLog
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk

MOST_CALLS, DRAWS = 12, 8
RECORDS = tuple(f"record {number}".encode() for number in range(5))
KILLED_IN = {
    **BATCHES,
    "a file": [ReplaceFile(9, "vote", b"second")],
    "a file, then a reset": [ReplaceFile(9, "vote", b"second"), ResetLog(10, (b"record 4",))],
}


class KilledError(Exception):
    """Ends a process in the middle of a write."""


def _killed_at(call: int) -> Callable[[], None]:
    calls = 0

    def count() -> None:
        nonlocal calls
        calls += 1
        if calls > call:
            raise KilledError

    return count


def _written_folder(scratch: Path) -> PowerLossTrial:
    trial = PowerLossTrial(scratch)
    for number, record in enumerate(RECORDS):
        trial.write([AppendLog(number, (record,))])
    trial.write([ReplaceFile(len(RECORDS), "vote", b"first")])
    return trial


def _end(disk: FolderDisk) -> None:
    """Close a disk without a further write, as the end of its process does."""
    with mock.patch.object(disk, "mark_synced"):
        disk.close()


def _lost_after_kill(trial: PowerLossTrial, batch: list[Output], call: int) -> list[object]:
    """Return each state that differs from what the second process has read."""
    recorder = FolderRecorder(trial.folder)
    recorder.on_change = _killed_at(call)
    try:
        with recorder.recording():
            trial.disk.perform(batch)
    except KilledError:
        pass
    _end(trial.disk)
    recorder.on_change = lambda: None
    with recorder.recording():
        disk = open_folder(trial.folder)
    assert isinstance(disk, FolderDisk), disk
    read, wrong = held_by(disk), []
    for seed in range(DRAWS):
        lay_out(trial.left, recorder.images(Random(seed)), trial.folder)
        found = trial.reopened()
        if found != read:
            wrong.append((call, found, read))
    _end(disk)
    return wrong


@then("what is read after a kill at any call of {batch} is there after a loss of power")
def then_still_there(context, batch):
    wrong = []
    for call in range(MOST_CALLS):
        with tempfile.TemporaryDirectory() as scratch:
            wrong += _lost_after_kill(_written_folder(Path(scratch)), KILLED_IN[batch], call)
    assert not wrong, f"{len(wrong)} states, such as {wrong[0]}"
