"""Steps for data folders amid drawn writes, full disks, kills, losses of power and damage."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from behave import then
from disk_trial import DiskTrial

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import AppendLog, TruncateLog
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import LOG_NAME, FolderDisk
from limelever.storage.synced_length import FILE_NAME

DAMAGES_OF_A_LOG = 20
SECTOR = 512


@then(
    "drawn writes amid full disks, kills and losses of power lose nothing, for seeds 0 to {last:d}"
)
def then_trials(context, last):
    faults = {}
    for seed in range(last + 1):
        with tempfile.TemporaryDirectory() as scratch:
            found = DiskTrial(Path(scratch), seed).run()
        if found:
            faults[seed] = found[0]
    assert not faults, f"{len(faults)} of {last + 1} seeds: {faults}"


@then("a truncation that a full disk refuses is carried out once there is room")
def then_truncation_again(context):
    with tempfile.TemporaryDirectory() as scratch:
        disk = _opened(Path(scratch) / "data")
        records = tuple(f"record {number}".encode() for number in range(7))
        for record in records:
            assert disk.perform([AppendLog(0, (record,))]) is None
        assert disk.perform([TruncateLog(1, 6)]) is None
        writes = [TruncateLog(2, 2), AppendLog(3, (b"record X",))]
        with mock.patch("os.ftruncate", side_effect=OSError(28, "No space left on device")):
            failure = disk.perform(writes)
        assert failure is not None and failure.kind is ErrorKind.DISK_FULL, failure
        assert disk.perform(writes[disk.carried_out :]) is None
        disk.close()
        found = _opened(Path(scratch) / "data")
        found.close()
        assert found.recovered.records == (*records[:2], b"record X"), found.recovered.records


@then("drawn damage to what is proved to have been synced is refused, for seeds 0 to {last:d}")
def then_damage(context, last):
    taken = []
    with mock.patch("os.fsync"):
        for seed in range(last + 1):
            with tempfile.TemporaryDirectory() as scratch:
                taken += _damages_taken(Path(scratch) / "data", Random(seed))
    assert not taken, (len(taken), taken[:3])


def _damages_taken(folder: Path, random: Random) -> list[tuple]:
    """Damage a log of several batches in drawn ways; return those that were not refused."""
    disk = _opened(folder)
    last_batch = 0
    for _ in range(random.randrange(2, 7)):
        last_batch = (folder / LOG_NAME).stat().st_size
        sizes = [random.choice((0, 1, 30, 700, 3000)) for _ in range(random.randrange(1, 4))]
        assert disk.perform([AppendLog(0, (random.randbytes(size),)) for size in sizes]) is None
    is_marked = random.random() < 0.5
    if is_marked:
        disk.mark_synced()
    files = {name: (folder / name).read_bytes() for name in (LOG_NAME, FILE_NAME)}
    with mock.patch.object(disk, "mark_synced"):
        disk.close()
    proved = len(files[LOG_NAME]) if is_marked else last_batch
    taken = []
    for _ in range(DAMAGES_OF_A_LOG):
        damaged, way = _damaged(files[LOG_NAME], proved, random)
        for name, content in {**files, LOG_NAME: damaged}.items():
            (folder / name).write_bytes(content)
        found = open_folder(folder)
        if isinstance(found, FolderDisk):
            found.close()
            taken.append((way, proved, is_marked))
    return taken


def _damaged(log: bytes, proved: int, random: Random) -> tuple[bytes, str]:
    """Return a log that differs from ``log`` somewhere in its first ``proved`` bytes."""
    while True:
        image, position = bytearray(log), random.randrange(proved)
        way = random.choice(("bit", "sector", "bytes"))
        end = min(proved, position + (SECTOR if way == "sector" else 40))
        if way == "bit":
            image[position] ^= 1 << random.randrange(8)
        elif way == "sector":
            image[position:end] = bytes(end - position)
        else:
            image[position:end] = random.randbytes(end - position)
        if bytes(image) != log:
            return bytes(image), way


@then("refused openings of a damaged folder leave no descriptor open")
def then_no_descriptors(context):
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch) / "data"
        disk = _opened(folder)
        assert disk.perform([AppendLog(0, (b"x" * 100,))]) is None
        disk.close()
        with (folder / LOG_NAME).open("ab") as log:
            log.write(b"torn")
        before = len(os.listdir("/proc/self/fd"))
        with mock.patch("os.ftruncate", side_effect=OSError(28, "No space left on device")):
            for _ in range(5):
                assert isinstance(open_folder(folder), Failure)
        assert len(os.listdir("/proc/self/fd")) == before


@then("a log that is missing beside the statement of its length is refused")
def then_missing_log(context):
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch) / "data"
        _opened(folder).close()
        (folder / LOG_NAME).unlink()
        found = open_folder(folder)
        assert isinstance(found, Failure) and found.kind is ErrorKind.DATA_DAMAGED, found


def _opened(folder: Path) -> FolderDisk:
    disk = open_folder(folder)
    assert isinstance(disk, FolderDisk), disk
    return disk
