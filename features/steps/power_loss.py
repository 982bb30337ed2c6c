"""What a loss of power may leave of a folder: records the system calls that change it.

Of the writes to a file since its last sync each is there, missing, cut after a prefix, or lacks
some of its sectors. A name that was made, renamed or removed since the last sync of its folder is
kept or lost, each for itself; a new file lasts through its own sync.
"""

from __future__ import annotations

import contextlib
import os
import shutil
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from unittest import mock

from limelever.storage.torn_writes import FileWrite, applied, drawn_parts, sector_parts


@dataclass
class RecordedFile:
    synced: bytes = b""
    pending: list[FileWrite] = field(default_factory=list)
    is_durable: bool = False


@dataclass
class NameChange:
    """A name that now stands for ``inode``, or for no file; those of one call share a number."""

    path: Path
    inode: int | None
    call: int
    is_creation: bool


def outcomes(write: FileWrite) -> Iterator[list[FileWrite]]:
    """Yield what may be left of a write: each cut of it, and each subset of its sectors."""
    yield []
    yield [write]
    if write.data is None:
        return
    for size in range(1, len(write.data)):
        yield [FileWrite(write.offset, write.data[:size])]
    parts = sector_parts(write)
    for chosen in range(1, (1 << len(parts)) - 1):
        yield [part for number, part in enumerate(parts) if chosen >> number & 1]


class FolderRecorder:
    """The state of a folder on disk, followed through the calls of :meth:`recording`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files: dict[int, RecordedFile] = {}
        self.names: dict[Path, int] = {}
        self.changes: list[NameChange] = []
        self.on_change: Callable[[], None] = lambda: None
        self._calls = 0
        for path in sorted(folder.rglob("*")):
            if path.is_file():
                inode = path.stat().st_ino
                self.files[inode] = RecordedFile(path.read_bytes(), is_durable=True)
                self.names[path] = inode

    @property
    def unsynced(self) -> list[FileWrite]:
        """Return all writes that no sync has covered."""
        return [write for file in self.files.values() for write in file.pending]

    def images(self, random: Random) -> dict[Path, bytes]:
        """Draw a state that a loss of power may leave at this moment."""
        contents = {}
        for inode, file in self.files.items():
            kept = [part for write in file.pending for part in drawn_parts(write, random)]
            contents[inode] = applied(file.synced, kept)
        return self._named(contents, random)

    def every_image(self) -> Iterator[dict[Path, bytes]]:
        """Yield states in which one write is torn in each way, and the others are there or not."""
        random = Random(0)
        pending = [(inode, write) for inode, file in self.files.items() for write in file.pending]
        for torn in range(len(pending)):
            for others in range(1 << len(pending)):
                for left in outcomes(pending[torn][1]):
                    kept: dict[int, list[FileWrite]] = {}
                    for number, (inode, write) in enumerate(pending):
                        is_there = others >> number & 1
                        parts = left if number == torn else [write] * is_there
                        kept.setdefault(inode, []).extend(parts)
                    contents = {
                        inode: applied(file.synced, kept.get(inode, []))
                        for inode, file in self.files.items()
                    }
                    yield self._named(contents, random)

    def _named(self, contents: dict[int, bytes], random: Random) -> dict[Path, bytes]:
        names = dict(self.names)
        kept_calls = {change.call: random.random() < 0.5 for change in self.changes}
        for change in self.changes:
            if not kept_calls[change.call]:
                continue
            if change.inode is None:
                names.pop(change.path, None)
            else:
                names[change.path] = change.inode
        return {path: contents[inode] for path, inode in names.items()}

    @contextlib.contextmanager
    def recording(self) -> Iterator[None]:
        """Follow what this process does to the folder; syncs reach the record only."""
        calls = ("open", "pwrite", "ftruncate", "fsync", "rename", "unlink")
        real = {name: getattr(os, name) for name in calls}
        with contextlib.ExitStack() as stack:
            for name in calls:
                function = getattr(self, f"_{name}")

                def call(*arguments, _function=function, _real=real[name], **options):
                    result = _function(_real, *arguments, **options)
                    self.on_change()
                    return result

                stack.enter_context(mock.patch(f"os.{name}", call))
            yield

    def _open(self, real, path, flags, mode=0o777, **options):
        path = Path(path)
        is_new = bool(flags & os.O_CREAT) and not path.exists()
        descriptor = real(path, flags, mode, **options)
        if self.folder not in path.parents or path.is_dir():
            return descriptor
        inode = os.fstat(descriptor).st_ino
        if is_new:
            self.files[inode] = RecordedFile()
            self._change(True, (path, inode))
        elif flags & os.O_TRUNC:
            self.files[inode].pending.append(FileWrite(0, None))
        return descriptor

    def _pwrite(self, real, descriptor, data, offset):
        written = real(descriptor, data, offset)
        file = self.files[os.fstat(descriptor).st_ino]
        file.pending.append(FileWrite(offset, bytes(data[:written])))
        return written

    def _ftruncate(self, real, descriptor, size):
        before = os.fstat(descriptor).st_size
        real(descriptor, size)
        if size != before:
            self.files[os.fstat(descriptor).st_ino].pending.append(FileWrite(size, None))

    def _fsync(self, _real, descriptor):
        inode = os.fstat(descriptor).st_ino
        file = self.files.get(inode)
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            self._settle(lambda change: change.path.parent == path)
        elif file is not None:
            file.synced, file.pending = applied(file.synced, file.pending), []
            if not file.is_durable:
                file.is_durable = True
                self._settle(lambda change: change.inode == inode and change.is_creation)

    def _rename(self, real, source, target):
        inode = Path(source).stat().st_ino
        real(source, target)
        self._change(False, (Path(target), inode), (Path(source), None))

    def _unlink(self, real, path, **options):
        real(path, **options)
        self._change(False, (Path(path), None))

    def _change(self, is_creation: bool, *names: tuple[Path, int | None]) -> None:
        self._calls += 1
        for path, inode in names:
            self.changes.append(NameChange(path, inode, self._calls, is_creation))

    def _settle(self, is_synced: Callable[[NameChange], bool]) -> None:
        for change in [each for each in self.changes if is_synced(each)]:
            self.changes.remove(change)
            if change.inode is None:
                self.names.pop(change.path, None)
            else:
                self.names[change.path] = change.inode


def lay_out(folder: Path, image: dict[Path, bytes], former: Path) -> None:
    """Make ``folder`` hold what a loss of power left of the folder ``former``."""
    shutil.rmtree(folder, ignore_errors=True)
    (folder / "files").mkdir(parents=True)
    for path, content in image.items():
        (folder / path.relative_to(former)).write_bytes(content)
