"""Opens a process's data folders, and writes an event on what was found there."""

from __future__ import annotations

from pathlib import Path

from limelever.common import events
from limelever.common.errors import Failure
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk
from limelever.transport.log import write_event


def open_data_folder(path: Path | str) -> FolderDisk | Failure:
    """Open the folder as :func:`open_folder` does; blocks."""
    opened = open_folder(path)
    report_opening(path, opened)
    return opened


def report_opening(path: Path | str, opened: FolderDisk | Failure) -> None:
    """Write the event of a folder that was opened or refused."""
    if isinstance(opened, Failure):
        fields = {"kind": opened.kind.value, "folder": str(path), "reason": opened.reason}
        write_event(events.DATA_FOLDER_REFUSED, dict(fields))
        return
    found: dict[str, object] = {
        "cut_bytes": opened.cut_bytes,
        "records": len(opened.recovered.records),
        "log_bytes": opened.log_bytes,
        "files": sorted(opened.recovered.files),
        "folder": str(path),
    }
    write_event(events.DATA_FOLDER_OPENED, found)
