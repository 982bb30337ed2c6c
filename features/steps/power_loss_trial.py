"""A data folder that is written to, and what it may hold after a loss of power."""

from __future__ import annotations

from pathlib import Path
from random import Random

from limelever.common.errors import Failure
from limelever.common.sansio import AppendLog, Output, ReplaceFile, ResetLog, TruncateLog
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk

Held = tuple[tuple[bytes, ...], tuple[tuple[str, bytes], ...]]

LATER = tuple(f"later {number} ".encode() * 15 for number in range(3))
LONG = b"a long record " * 120
BATCHES = {
    "one append": [AppendLog(9, (LONG,))],
    "one append of several records": [AppendLog(9, LATER)],
    "three appends": [AppendLog(9, (record,)) for record in LATER],
    "a truncation, then an append": [TruncateLog(9, 3), AppendLog(10, (b"record X",))],
    "an append, a file, an append": [
        AppendLog(9, LATER[:1]),
        ReplaceFile(10, "vote", b"second"),
        AppendLog(11, LATER[1:]),
    ],
    "a reset, then an append": [ResetLog(9, LATER[:2]), AppendLog(10, LATER[2:])],
    "a truncation, then a long append": [TruncateLog(9, 3), AppendLog(10, (LONG[:300],))],
    "a reset, then a long append": [ResetLog(9, LATER[:1]), AppendLog(10, (LONG[:300],))],
}


def held_by(disk: FolderDisk) -> Held:
    return disk.recovered.records, tuple(sorted(disk.recovered.files.items()))


def after(held: Held, write: Output) -> Held:
    records, files = held
    match write:
        case AppendLog():
            return (*records, *write.records), files
        case TruncateLog():
            return records[: write.keep_records], files
        case ResetLog():
            return tuple(write.records), files
        case ReplaceFile():
            return records, tuple(sorted({**dict(files), write.name: write.content}.items()))
    raise TypeError(write)


def allowed_after(held: Held, batch: list[Output]) -> set[Held]:
    """Return what a disk may hold once power was lost in a batch: what it did up to a point."""
    allowed = {held}
    for write in batch:
        if isinstance(write, AppendLog):
            for count in range(len(write.records)):
                allowed.add(((*held[0], *write.records[:count]), held[1]))
        held = after(held, write)
        allowed.add(held)
    return allowed


def drawn_batch(random: Random, held: Held, number: int) -> list[Output]:
    """Draw writes that are given to a disk together."""
    batch: list[Output] = []
    for _ in range(random.randrange(1, 5)):
        count = len(held[0])
        sizes = [random.choice((1, 20, 300, 1300)) for _ in range(random.randrange(1, 4))]
        records = tuple(random.randbytes(size) for size in sizes)
        ways = [AppendLog(number, records)] * 4 + [ReplaceFile(number, "vote", records[0])]
        if count:
            keep = random.randrange(count)
            ways += [TruncateLog(number, keep), ResetLog(number, held[0][keep:])]
        write = random.choice(ways)
        batch.append(write)
        held = after(held, write)
    return batch


class PowerLossTrial:
    """A folder that is written to, and a second one that holds what a loss of power left of it."""

    def __init__(self, scratch: Path) -> None:
        self.folder = scratch / "data"
        self.left = scratch / "left"
        opened = open_folder(self.folder)
        assert isinstance(opened, FolderDisk)
        self.disk = opened
        self.held: Held = ((), ())

    def write(self, batch: list[Output]) -> None:
        assert self.disk.perform(batch) is None
        for write in batch:
            self.held = after(self.held, write)

    def reopened(self) -> Held | Failure:
        disk = open_folder(self.left)
        if isinstance(disk, Failure):
            return disk
        disk.close()
        return held_by(disk)
