"""A file beside the log that states how many of the log's first bytes are synced.

The marks in the log prove all batches but the last one. This file covers what was there as the log
was opened, and later the last batch, unless power is lost: then it is written without a sync, after
the log was synced. What it states is withdrawn with a sync before the log is cut or replaced. A
build without this file may cut the log below what it states; the next opening replaces that.
"""

from __future__ import annotations

import contextlib
import os
import struct
from pathlib import Path

import google_crc32c

from limelever.storage.atomic import sync, sync_folder, write_all

FILE_NAME = "synced"
_LENGTH = struct.Struct(">Q")
_CHECKSUM = struct.Struct(">I")
_NONE = 0


def read_synced_length(folder: Path) -> int | None:
    """Return the bytes stated to be synced, or ``None`` if only builds without marks wrote here.

    Raises ``OSError`` as the system reports it.
    """
    path = folder / FILE_NAME
    if not path.exists():
        return None
    data = path.read_bytes()
    length, checksum = data[: _LENGTH.size], data[_LENGTH.size :]
    if checksum != _CHECKSUM.pack(google_crc32c.value(length)):
        return _NONE
    return int(_LENGTH.unpack(length)[0])


class SyncedLength:
    """Writes the file; its existence says that the log's batches have marks from now on."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._descriptor: int | None = None
        self._is_stated = True

    def make(self, length: int) -> None:
        """Make the file unless it is made, and state with a sync that ``length`` bytes are synced.

        What an earlier process stated is replaced. Raises ``OSError``.
        """
        if self._descriptor is not None:
            return
        path = self._folder / FILE_NAME
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            write_all(descriptor, 0, _encoded(length))
            sync(descriptor)
            sync_folder(self._folder)
        except OSError:
            os.close(descriptor)
            raise
        self._descriptor = descriptor

    def state(self, length: int) -> None:
        """State that ``length`` bytes of the log are synced; without effect on a full disk."""
        if self._descriptor is None:
            return
        self._is_stated = True
        with contextlib.suppress(OSError):
            write_all(self._descriptor, 0, _encoded(length))

    def withdraw(self) -> None:
        """State nothing, before synced bytes of the log are given up; raises ``OSError``."""
        if self._descriptor is None or not self._is_stated:
            return
        os.ftruncate(self._descriptor, 0)
        sync(self._descriptor)
        self._is_stated = False

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def _encoded(length: int) -> bytes:
    data = _LENGTH.pack(length)
    return data + _CHECKSUM.pack(google_crc32c.value(data))
