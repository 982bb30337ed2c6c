"""What a loss of power may leave of the data folder of a process started by ``recorded_start``."""

from __future__ import annotations

import json
from base64 import b64decode
from pathlib import Path

from power_loss import FileWrite, FolderRecorder, RecordedFile, applied

NOTED_AFTER = ("open", "sync")
"""Calls that are noted once they are done."""


class RecordedFolder(FolderRecorder):
    """The state of a folder on disk, followed through the calls that a process has recorded."""

    def __init__(self, folder: Path) -> None:
        """Take all that the folder holds now as synced."""
        super().__init__(folder)
        self._path_of_folder: dict[int, Path] = {}
        self._file_of: dict[int, int] = {}
        self._number = 0
        self._current: dict[Path, int] = {}
        contents = [(path, self.files[inode].synced) for path, inode in self.names.items()]
        self.files.clear()
        self.names.clear()
        for path, content in contents:
            number = self._add(RecordedFile(content, is_durable=True))
            self.names[path] = self._current[path] = number

    def follow(self, record: Path) -> None:
        """Repeat the calls of a record; its last line may be cut, its last change not be made."""
        lines = record.read_bytes().splitlines(keepends=True)
        calls = [json.loads(line) for line in lines if line.endswith(b"\n")]
        for call in calls[:-1]:
            self._follow_call(call)
        if calls and (calls[-1]["call"] in NOTED_AFTER or self.present() != self._actual()):
            self._follow_call(calls[-1])

    def _follow_call(self, call: dict) -> None:
        getattr(self, f"_follow_{call['call']}")(call)

    def _actual(self) -> dict[Path, bytes]:
        return {path: path.read_bytes() for path in self.folder.rglob("*") if path.is_file()}

    def present(self) -> dict[Path, bytes]:
        """Return what the folder holds while there is power."""
        return {path: self._content(number) for path, number in self._current.items()}

    def file_at(self, path: Path) -> RecordedFile:
        """Return the file that has this name while there is power."""
        return self.files[self._current[path]]

    def _add(self, file: RecordedFile) -> int:
        self._number += 1
        self.files[self._number] = file
        return self._number

    def _follow_open(self, call: dict) -> None:
        path, descriptor = Path(call["path"]), call["file"]
        self._path_of_folder.pop(descriptor, None)
        if path.is_dir():
            self._path_of_folder[descriptor] = path
            return
        if call["is_new"]:
            number = self._add(RecordedFile())
            self._change(True, (path, number))
            self._current[path] = number
        self._file_of[descriptor] = self._current[path]
        if call["cut"] and not call["is_new"]:
            self.files[self._current[path]].pending.append(FileWrite(0, None))

    def _follow_write(self, call: dict) -> None:
        write = FileWrite(call["offset"], b64decode(call["data"]))
        self.files[self._file_of[call["file"]]].pending.append(write)

    def _follow_truncate(self, call: dict) -> None:
        self.files[self._file_of[call["file"]]].pending.append(FileWrite(call["size"], None))

    def _follow_sync(self, call: dict) -> None:
        folder = self._path_of_folder.get(call["file"])
        if folder is not None:
            self._settle(lambda change: change.path.parent == folder)
            return
        number = self._file_of[call["file"]]
        file = self.files[number]
        file.synced, file.pending = self._content(number), []
        if not file.is_durable:
            file.is_durable = True
            self._settle(lambda change: change.inode == number and change.is_creation)

    def _follow_rename(self, call: dict) -> None:
        source, target = Path(call["path"]), Path(call["target"])
        number = self._current.pop(source)
        self._current[target] = number
        self._change(False, (target, number), (source, None))

    def _follow_unlink(self, call: dict) -> None:
        path = Path(call["path"])
        if self._current.pop(path, None) is not None:
            self._change(False, (path, None))

    def _content(self, number: int) -> bytes:
        return applied(self.files[number].synced, self.files[number].pending)


def lay_out_folders(folder: Path, image: dict[Path, bytes]) -> None:
    """Make the files below ``folder`` those of ``image``; its folders stay."""
    for path in folder.rglob("*"):
        if path.is_file():
            path.unlink()
    for path, content in image.items():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(content)
