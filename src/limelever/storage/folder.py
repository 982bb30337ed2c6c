"""Opens a data folder: locks it, checks it, and cuts what was not synced.

All functions block; the shell calls them in a worker thread.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from limelever.common.errors import ErrorKind, Failure
from limelever.storage.atomic import sync_folder
from limelever.storage.folder_disk import FILES_NAME, LOG_NAME, FolderDisk, failure_of
from limelever.storage.records import Scan, scan_records
from limelever.storage.synced_length import read_synced_length

LOCK_NAME = "lock"


def open_folder(path: Path | str) -> FolderDisk | Failure:
    """Lock the data folder at ``path`` (made when missing), check it and return its disk.

    Fails with DATA_FOLDER_IN_USE when another process holds it, with DATA_DAMAGED when bytes that
    are proved to have been synced do not check out, and with DISK_FAILED when the folder can't be
    read or written, which says nothing about its contents; what was not synced is cut.
    """
    folder = Path(path)
    try:
        _make_folders(folder)
        lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        return failure_of(error)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return Failure(ErrorKind.DATA_FOLDER_IN_USE, f"{folder} is held by another process")
    opened = _open_locked(folder, lock)
    if isinstance(opened, Failure):
        os.close(lock)
    return opened


def _make_folders(folder: Path) -> None:
    """Make a data folder and its parents, and sync the names of those that may be new."""
    files = folder / FILES_NAME
    made = [each for each in (files, *files.parents) if not each.exists()]
    files.mkdir(parents=True, exist_ok=True)
    if not (folder / LOG_NAME).exists():
        for parent in {folder.parent, *(each.parent for each in made)}:
            sync_folder(parent)


def _open_locked(folder: Path, lock: int) -> FolderDisk | Failure:
    try:
        files = _read_files(folder / FILES_NAME)
        if isinstance(files, Failure):
            return files
        scan = _read_log(folder, bool(files))
        if isinstance(scan, Failure):
            return scan
        return FolderDisk(folder, lock, scan, files)
    except OSError as error:
        return failure_of(error)


def _read_files(folder: Path) -> dict[str, bytes] | Failure:
    """Return the named files' contents; leftovers of replacements cut short are removed."""
    files: dict[str, bytes] = {}
    for entry in sorted(folder.iterdir()):
        if entry.suffix == ".tmp":
            entry.unlink()
            continue
        data = entry.read_bytes()
        scan = scan_records(data)
        if isinstance(scan, Failure) or len(scan.records) != 1 or scan.end != len(data):
            return Failure(ErrorKind.DATA_DAMAGED, f"file {entry} does not check out")
        files[entry.name] = scan.records[0]
    return files


def _read_log(folder: Path, has_files: bool) -> Scan | Failure:
    log = folder / LOG_NAME
    synced_length = read_synced_length(folder)
    if not log.exists():
        if has_files or synced_length is not None:
            reason = f"{log} is missing beside files that exist"
            return Failure(ErrorKind.DATA_DAMAGED, reason)
        return Scan((), (), 0)
    scan = scan_records(log.read_bytes(), synced_length)
    if isinstance(scan, Failure):
        return Failure(scan.kind, f"{log}: {scan.reason}")
    return scan
