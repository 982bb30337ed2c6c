"""Files replaced whole: temporary file, sync, rename, folder sync."""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

TEMPORARY_SUFFIX = ".tmp"


def write_all(descriptor: int, offset: int, data: bytes) -> None:
    """Write all of ``data`` at byte ``offset``; raises ``OSError`` as the system reports it."""
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        offset += written
        view = view[written:]


def sync(descriptor: int) -> None:
    """Sync a file or folder whose former state can't be restored.

    Raises ``OSError`` with EIO, also if the system reports a full disk: what was not written may be
    dropped by then, and a second sync would succeed without it.
    """
    try:
        os.fsync(descriptor)
    except OSError as error:
        raise OSError(errno.EIO, f"sync failed: {error.strerror or error}") from error


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that files made or renamed in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(folder: Path, name: str, content: bytes) -> None:
    """Replace the file ``name`` in ``folder`` by ``content``, whole or not at all.

    Raises ``OSError`` and leaves the old file in place when the disk refuses the new one. An
    ``OSError`` of :func:`sync` leaves either.
    """
    if Path(name).name != name or name.endswith(TEMPORARY_SUFFIX):
        raise ValueError(f"not a plain file name: {name!r}")
    temporary = folder / (name + TEMPORARY_SUFFIX)
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_all(descriptor, 0, content)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, folder / name)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    sync_folder(folder)
