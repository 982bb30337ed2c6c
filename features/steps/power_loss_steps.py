"""Steps for data folders that lose power between two syncs."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from behave import given, then, when
from power_loss import FolderRecorder, lay_out
from power_loss_trial import (
    BATCHES,
    LONG,
    PowerLossTrial,
    after,
    allowed_after,
    drawn_batch,
    held_by,
)

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    AppendLog,
    ReplaceFile,
)
from limelever.protocol.keeper_pb2 import KeeperRecord
from limelever.protocol.replication_pb2 import LogEntry
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import LOG_NAME, FolderDisk
from limelever.storage.records import encode_record
from limelever.storage.sync_marks import with_mark


def new_trial(context) -> PowerLossTrial:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    trial = PowerLossTrial(Path(temporary.name))
    context.add_cleanup(trial.disk.close)
    return trial


@given("a data folder that has synced {count:d} records, each by itself, and a file")
def given_folder(context, count):
    context.trial = new_trial(context)
    for number in range(count):
        context.trial.write([AppendLog(number, (f"record {number}".encode(),))])
    context.trial.write([ReplaceFile(count, "vote", b"first")])


@given("the data folder states that all its records are synced")
def given_statement(context):
    context.trial.disk.mark_synced()


@then("whatever a loss of power leaves of {batch}, all that was synced is given back")
def then_all_states(context, batch):
    trial, writes = context.trial, BATCHES[batch]
    recorder = FolderRecorder(trial.folder)
    allowed = allowed_after(trial.held, writes)
    images: set[tuple] = set()

    def note_images() -> None:
        images.update(tuple(sorted(image.items())) for image in recorder.every_image())

    recorder.on_change = note_images
    with recorder.recording():
        assert trial.disk.perform(writes) is None
    wrong = []
    for image in sorted(images):
        lay_out(trial.left, dict(image), trial.folder)
        found = trial.reopened()
        if found not in allowed:
            wrong.append(found)
    assert len(images) > 10, len(images)
    assert not wrong, f"{len(wrong)} of {len(images)} states, such as {wrong[0]}"


@then(
    "drawn writes are given back up to a point after two losses of power, for seeds 0 to {last:d}"
)
def then_drawn(context, last):
    wrong = {}
    for seed in range(last + 1):
        found = _lose_power_twice(new_trial(context), Random(seed))
        if found is not None:
            wrong[seed] = found
    assert not wrong, f"{len(wrong)} of {last + 1} seeds: {wrong}"


def _lose_power_twice(trial: PowerLossTrial, random: Random) -> str | None:
    """Lose power in a drawn batch and in the recovery; return what was wrong then."""
    for number in range(random.randrange(4)):
        trial.write(drawn_batch(random, trial.held, number))
    batch = drawn_batch(random, trial.held, 9)
    allowed = allowed_after(trial.held, batch)
    image = _drawn_image(trial.folder, random, lambda: trial.disk.perform(batch))
    trial.disk.close()
    lay_out(trial.left, image, trial.folder)
    second = trial.folder.parent / "second"
    lay_out(second, image, trial.folder)
    image = _drawn_image(second, random, lambda: open_folder(second))
    lay_out(trial.left, image, second)
    disk = open_folder(trial.left)
    if isinstance(disk, Failure):
        return disk.reason
    if held_by(disk) not in allowed:
        return f"holds {held_by(disk)}"
    expected = held_by(disk)
    assert disk.perform(batch) is None
    for write in batch:
        expected = after(expected, write)
    disk.close()
    found = trial.reopened()
    return None if found == expected else f"after further writes: {found}"


def _drawn_image(folder: Path, random: Random, act) -> dict[Path, bytes]:
    """Return a state that a loss of power leaves at one of the calls of ``act``."""
    recorder = FolderRecorder(folder)
    images = [recorder.images(random)]
    recorder.on_change = lambda: images.append(recorder.images(random))
    with recorder.recording():
        result = act()
    assert not isinstance(result, Failure), result
    if isinstance(result, FolderDisk):
        result.close()
    return random.choice(images)


@when("power is lost while a further record is written")
def when_lost(context):
    trial, random = context.trial, Random(1)
    batch = [AppendLog(99, (LONG,))]
    recorder = FolderRecorder(trial.folder)
    images = []
    recorder.on_change = lambda: images.append(recorder.images(random))
    with recorder.recording():
        assert trial.disk.perform(batch) is None
    lay_out(trial.left, images[0], trial.folder)


@when("a data folder's process is killed after its last record was marked as synced")
def when_killed(context):
    trial = context.trial
    trial.disk.mark_synced()
    image = {path: path.read_bytes() for path in trial.folder.rglob("*") if path.is_file()}
    lay_out(trial.left, image, trial.folder)


@then("a flipped byte in any of its first {count:d} records is refused as damage")
def then_flipped(context, count):
    trial = context.trial
    log = trial.left / LOG_NAME
    sound = log.read_bytes()
    end = sound.index(trial.held[0][count - 1]) + len(trial.held[0][count - 1])
    for position in range(end):
        log.write_bytes(sound[:position] + bytes([sound[position] ^ 0x55]) + sound[position + 1 :])
        found = trial.reopened()
        is_refused = isinstance(found, Failure) and found.kind is ErrorKind.DATA_DAMAGED
        assert is_refused, (position, found)
    log.write_bytes(sound)
    assert not isinstance(trial.reopened(), Failure)


@then("a record with a mark is read as without it by a build that knows no marks")
def then_read_without_marks(context):
    messages = (LogEntry(index=3, term=2, rules=1), KeeperRecord(expires_unix_ms=7))
    for message in messages:
        for sound in (message, type(message)()):
            read = type(sound).FromString(with_mark(sound.SerializeToString(), 100))
            read.DiscardUnknownFields()
            assert read == sound, (read, sound)


@when("a build without marks writes {count:d} records to the data folder")
def when_earlier_writes(context, count):
    trial = context.trial
    trial.disk.close()
    records = tuple(f"of an earlier build {number}".encode() for number in range(count))
    with (trial.folder / LOG_NAME).open("ab") as log:
        log.write(b"".join(map(encode_record, records)))
    trial.held = (*trial.held[0], *records), trial.held[1]


@then("all {count:d} records are given back, also after a further one")
def then_all_given_back(context, count):
    trial = context.trial
    for expected in (count, count + 1):
        disk = open_folder(trial.folder)
        assert isinstance(disk, FolderDisk), disk
        assert held_by(disk) == trial.held and len(trial.held[0]) == expected
        trial.disk = disk
        trial.write([AppendLog(99, (b"a further one",))])
        disk.close()


@given("a data folder of a build without marks with {count:d} records and a file")
def given_earlier_folder(context, count):
    trial = context.trial = new_trial(context)
    records = tuple(f"record {number}".encode() for number in range(count))
    trial.write([ReplaceFile(0, "vote", b"first")])
    image = {trial.folder / "files" / "vote": (trial.folder / "files" / "vote").read_bytes()}
    image[trial.folder / LOG_NAME] = b"".join(map(encode_record, records))
    lay_out(trial.left, image, trial.folder)
    trial.held = records, trial.held[1]


@given("a folder for data in which {made} is made by a process that ends before it opens it")
def given_base(context, made):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.base = Path(temporary.name)
    if made != "nothing":
        (context.base / made).mkdir(parents=True)


@when("a data folder is opened at {path}")
def when_opened_at(context, path):
    context.synced_with = {}
    real = os.fsync

    def fsync(descriptor):
        folder = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if folder.is_dir():
            context.synced_with[folder] = {entry.name for entry in folder.iterdir()}
        real(descriptor)

    context.opened_at = context.base / path
    with mock.patch("os.fsync", fsync):
        disk = open_folder(context.opened_at)
    assert isinstance(disk, FolderDisk), disk
    disk.close()


@then("each folder from {first} to it was synced once the next one was made")
def then_way_synced(context, first):
    folder = context.opened_at / "files"
    while folder != context.base / first:
        names = context.synced_with.get(folder.parent, set())
        assert folder.name in names, (folder, context.synced_with)
        folder = folder.parent
