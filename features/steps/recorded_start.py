"""Starts a process of the platform on a slow disk, and records what it does to its data folder.

The record outlives a kill: each call is noted before it changes a file, and each sync once the disk
has carried it out. While the file that the environment names exists, the disk is full.
"""

from __future__ import annotations

import errno
import os
import runpy
import sys
import time
from base64 import b64encode
from pathlib import Path

import msgspec

RECORD_FILE, FULL_FILE, SYNC_SECONDS = "DISK_RECORD_FILE", "DISK_FULL_FILE", "DISK_SYNC_SECONDS"
DATA_FOLDER = "DISK_DATA_FOLDER"
START = Path(__file__).resolve().parents[2] / "platform" / "start.py"


class RecordedDisk:
    """Takes the place of the system calls through which a data folder is changed."""

    def __init__(self) -> None:
        self._folder = os.environ[DATA_FOLDER]
        self._full = os.environ[FULL_FILE]
        self._sync_seconds = float(os.environ[SYNC_SECONDS])
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._record = os.open(os.environ[RECORD_FILE], flags, 0o600)
        self._open_files: set[int] = set()
        self._accepts_part = True
        names = ("open", "close", "pwrite", "ftruncate", "fsync", "rename", "unlink")
        self._real = {name: getattr(os, name) for name in names}
        for name in names:
            setattr(os, name, getattr(self, name))

    def _note(self, **call: object) -> None:
        os.write(self._record, msgspec.json.encode(call) + b"\n")

    def open(self, path, flags, mode=0o777, **options):
        is_ours = str(path).startswith(self._folder)
        is_new = is_ours and bool(flags & os.O_CREAT) and not os.path.exists(path)
        descriptor = self._real["open"](path, flags, mode, **options)
        if is_ours:
            self._open_files.add(descriptor)
            cut = bool(flags & os.O_TRUNC)
            self._note(call="open", path=str(path), file=descriptor, is_new=is_new, cut=cut)
        return descriptor

    def close(self, descriptor):
        self._open_files.discard(descriptor)
        self._real["close"](descriptor)

    def pwrite(self, descriptor, data, offset):
        if descriptor not in self._open_files:
            return self._real["pwrite"](descriptor, data, offset)
        data = bytes(data)
        if os.path.exists(self._full):
            self._accepts_part = not self._accepts_part
            if self._accepts_part or len(data) < 2:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            data = data[: len(data) // 2]
        self._note(call="write", file=descriptor, offset=offset, data=b64encode(data).decode())
        return self._real["pwrite"](descriptor, data, offset)

    def ftruncate(self, descriptor, size):
        if descriptor in self._open_files and size != os.fstat(descriptor).st_size:
            self._note(call="truncate", file=descriptor, size=size)
        self._real["ftruncate"](descriptor, size)

    def fsync(self, descriptor):
        time.sleep(self._sync_seconds)
        if descriptor in self._open_files:
            self._note(call="sync", file=descriptor)

    def rename(self, source, target):
        self._note(call="rename", path=str(source), target=str(target))
        self._real["rename"](source, target)

    def unlink(self, path, **options):
        if str(path).startswith(self._folder):
            self._note(call="unlink", path=str(path))
        self._real["unlink"](path, **options)


def main() -> None:
    sys.argv[0] = str(START)
    sys.path[0] = str(START.parent)
    RecordedDisk()
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
