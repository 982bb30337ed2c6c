"""Steps for the disk: data folders that crash, are damaged, full or in use."""

from __future__ import annotations

import errno
import itertools
import os
import stat
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import AppendLog, Recovered, ReplaceFile, ResetLog, TruncateLog
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import LOG_NAME, FolderDisk
from limelever.storage.memory import MemoryDisk
from limelever.storage.records import encode_record, scan_records

RECORDS = st.lists(st.binary(min_size=1, max_size=40), min_size=1, max_size=6)
EXAMPLES = 200
for_examples = property_settings(derandomize=True, max_examples=EXAMPLES, deadline=None)


def _open(context):
    disk = open_folder(context.folder)
    assert isinstance(disk, FolderDisk), disk
    context.add_cleanup(disk.close)
    return disk


def _reopened(context):
    disk = _open(context)
    disk.close()
    return disk.recovered


@given("a data folder with {count:d} records and a file")
def _(context, count):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.folder = Path(temporary.name) / "data"
    disk = _open(context)
    context.records = tuple(f"record {n}".encode() for n in range(count))
    writes = [AppendLog(n, (record,)) for n, record in enumerate(context.records)]
    assert disk.perform([*writes, ReplaceFile(count, "vote", b"first")]) is None
    context.disk = disk


@given("a data folder's process is gone")
@when("a data folder's process is gone")
def _(context):
    context.disk.close()


@then(
    "a data folder opens with its {synced:d} records whichever of {count:d} later writes is lost "
    "before its sync"
)
def _(context, synced, count):
    log = context.folder / LOG_NAME
    sound = log.read_bytes()
    later = [encode_record(f"later {number}".encode() * 100) for number in range(count)]
    refused = []
    for kept in itertools.product((False, True), repeat=count):
        parts = [
            part if is_kept else bytes(len(part)) for part, is_kept in zip(later, kept, strict=True)
        ]
        log.write_bytes(sound + b"".join(parts))
        disk = open_folder(context.folder)
        if isinstance(disk, Failure):
            refused.append((kept, disk.reason))
            continue
        disk.close()
        whole = kept.index(False) if False in kept else count
        assert len(disk.recovered.records) == synced + whole, kept
    assert not refused, refused


@when("a data folder's log is cut by {count:d} bytes")
def _(context, count):
    log = context.folder / LOG_NAME
    log.write_bytes(log.read_bytes()[:-count])


@when("a data folder's {name} has one bit flipped in the middle")
def _(context, name):
    path = context.folder / name
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)


@when("a data folder's log grew by zeros that were never written")
def _(context):
    log = context.folder / LOG_NAME
    log.write_bytes(log.read_bytes() + bytes(4096))


@when("a data folder's log is removed")
def _(context):
    (context.folder / LOG_NAME).unlink()


@then("a data folder gives back {count:d} records and the file")
def _(context, count):
    recovered = _reopened(context)
    assert recovered.records == context.records[:count], recovered
    assert recovered.files == {"vote": b"first"}, recovered


@then("a data folder refuses to open as {kind}")
def _(context, kind):
    opened = open_folder(context.folder)
    assert isinstance(opened, Failure) and opened.kind is ErrorKind(kind), opened


@then("a data folder refuses a second process as {kind}")
def _(context, kind):
    program = (
        "import sys; from limelever.storage.folder import open_folder;"
        "print(open_folder(sys.argv[1]).kind)"
    )
    command = [sys.executable, "-c", program, str(context.folder)]
    result = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    assert result.stdout.strip() == kind, result


@when("a data folder's disk is full after {limit:d} more bytes")
def _(context, limit):
    real, left = os.pwrite, [limit]

    def pwrite(descriptor, data, offset):
        if left[0] == 0:
            raise OSError(errno.ENOSPC, "no space")
        part = bytes(data[: left[0]])
        left[0] -= len(part)
        return real(descriptor, part, offset)

    with mock.patch("os.pwrite", pwrite):
        context.refusal = context.disk.perform([AppendLog(99, (b"x" * 50, b"y" * 50))])


def full_after(limit):
    """Return a stand-in for ``os.pwrite`` on a disk with room for ``limit`` bytes."""
    real, left = os.pwrite, [limit]

    def pwrite(descriptor, data, offset):
        if left[0] == 0:
            raise OSError(errno.ENOSPC, "no space")
        part = bytes(data[: left[0]])
        left[0] -= len(part)
        return real(descriptor, part, offset)

    return mock.patch("os.pwrite", pwrite)


@when("a data folder's disk is full after {limit:d} more bytes of several writes")
def _(context, limit):
    context.rest = [
        AppendLog(90, (b"a" * 20,)),
        ReplaceFile(91, "vote", b"newer"),
        AppendLog(92, (b"b" * 50, b"c" * 50)),
    ]
    with full_after(limit):
        context.refusal = context.disk.perform(context.rest)
    context.rest = context.rest[context.disk.carried_out :]


@when("a data folder's disk is full all the time and gets the rest again")
def _(context):
    with full_after(0):
        context.refusal = context.disk.perform(context.rest)
    assert context.disk.carried_out == 0
    assert context.rest


@when("a data folder's disk has room again and gets the rest")
def _(context):
    assert context.disk.perform(context.rest) is None


@then("a data folder holds all of those writes once, also after its process is gone")
def _(context):
    context.disk.close()
    context.disk = _open(context)
    recovered = context.disk.recovered
    assert recovered.records[5:] == (b"a" * 20, b"b" * 50, b"c" * 50), recovered.records
    assert recovered.files["vote"] == b"newer"


@when("a data folder's disk is full while a file is replaced")
def _(context):
    with mock.patch("os.pwrite", side_effect=OSError(errno.ENOSPC, "no space")):
        context.refusal = context.disk.perform([ReplaceFile(99, "vote", b"second")])


@when("a data folder's disk fails a sync by {name}")
def _(context, name):
    with mock.patch("os.fsync", side_effect=OSError(getattr(errno, name), name)):
        context.refusal = context.disk.perform([AppendLog(99, (b"x",))])


@when("one sync of a data folder fails by {name}")
def _(context, name):
    real, errors = os.fsync, [OSError(getattr(errno, name), name)]

    def fsync(descriptor):
        if errors:
            raise errors.pop()
        real(descriptor)

    with mock.patch("os.fsync", fsync):
        context.refusal = context.disk.perform([AppendLog(99, (b"x",))])


@when("the sync of a data folder itself fails by {name} as its log is replaced")
def _(context, name):
    real = os.fsync

    def fsync(descriptor):
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            raise OSError(getattr(errno, name), name)
        real(descriptor)

    with mock.patch("os.fsync", fsync):
        context.refusal = context.disk.perform([ResetLog(99, (b"x",))])


@then("a data folder that can't be read for {name} refuses to open as {kind}")
def _(context, name, kind):
    with mock.patch("pathlib.Path.read_bytes", side_effect=OSError(getattr(errno, name), name)):
        opened = open_folder(context.folder)
    assert isinstance(opened, Failure) and opened.kind is ErrorKind(kind), opened


@then("a data folder's write is refused as disk-full")
def _(context):
    assert context.refusal.kind is ErrorKind.DISK_FULL, context.refusal


@then("a data folder's write is refused as {kind} and every later one too")
def _(context, kind):
    assert context.refusal.kind is ErrorKind(kind), context.refusal
    later = context.disk.perform([AppendLog(100, (b"later",))])
    assert later is not None and later.kind is ErrorKind(kind), later


@when("a data folder's log is cut to {count:d} records, appended to and reset")
def _(context, count):
    context.disk.perform([TruncateLog(50, count), AppendLog(51, (b"new",))])
    expected = (*context.records[:count], b"new")
    context.disk.close()
    context.disk = _open(context)
    assert context.disk.recovered.records == expected
    writes = [ResetLog(52, (b"only",)), AppendLog(53, (b"then",)), TruncateLog(54, 1)]
    assert context.disk.perform([*writes, AppendLog(55, (b"last",))]) is None
    context.records = (b"only", b"last")
    context.disk.close()


@then("a log of records cut at any byte gives back the records before the cut")
def _(context):
    @for_examples
    @for_all(RECORDS, st.data())
    def check(records, data):
        encoded = [encode_record(record) for record in records]
        log = b"".join(encoded)
        cut = data.draw(st.integers(0, len(log)))
        scan = scan_records(log[:cut])
        whole = [r for n, r in enumerate(records) if len(b"".join(encoded[: n + 1])) <= cut]
        assert scan.records == tuple(whole)
        assert scan.end == len(b"".join(encoded[: len(whole)]))

    check()


@then("a log of records with any byte flipped is refused")
def _(context):
    @for_examples
    @for_all(RECORDS, st.data())
    def check(records, data):
        log = bytearray(b"".join(encode_record(record) for record in records))
        position = data.draw(st.integers(0, len(log) - 1))
        log[position] ^= data.draw(st.integers(1, 255))
        scan = scan_records(bytes(log))
        assert isinstance(scan, Failure) and scan.kind is ErrorKind.DATA_DAMAGED, scan

    check()


@then("a memory disk that crashes keeps what was synced and a prefix of the rest")
def _(context):
    @for_examples
    @for_all(RECORDS, RECORDS, st.booleans(), st.integers(0, 1000))
    def check(synced, unsynced, torn, seed):
        disk = MemoryDisk()
        disk.perform([AppendLog(1, tuple(synced)), ReplaceFile(2, "vote", b"first")])
        disk.begin([AppendLog(3, tuple(unsynced)), ReplaceFile(4, "vote", b"second")])
        disk.crash(Random(seed), torn)
        records = list(disk.recovered.records)
        assert records[: len(synced)] == synced
        rest = records[len(synced) :]
        assert rest == unsynced[: len(rest)] and (torn or not rest)
        replaced = disk.recovered.files["vote"] == b"second"
        assert not replaced or rest == unsynced
        disk.lose()
        assert disk.recovered == Recovered()

    check()
