"""What the processes of one role used over a stretch of time, as a mean of each."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from limelever_lab.fleet.member import Member


@dataclass(frozen=True, slots=True)
class MemberUse:
    """Use of each process over ``seconds``: core seconds, bytes written, size of its folder."""

    seconds: float
    processor: float
    written_bytes: float
    data_folder_bytes: float


class UseMeter:
    """Measures from its making to :meth:`stop`; the processes must live through it."""

    def __init__(self, members: Sequence[Member]) -> None:
        self._members = members
        self._before = self._read()

    def stop(self) -> MemberUse:
        """Return the use since the making; the folders are as they are now."""
        now = self._read()
        then = self._before
        return MemberUse(
            seconds=now.seconds - then.seconds,
            processor=now.processor - then.processor,
            written_bytes=now.written_bytes - then.written_bytes,
            data_folder_bytes=now.data_folder_bytes,
        )

    def _read(self) -> MemberUse:
        count = len(self._members)
        processes = [member.process for member in self._members]
        return MemberUse(
            seconds=time.monotonic(),
            processor=sum(process.processor_seconds() for process in processes) / count,
            written_bytes=sum(process.written_bytes() for process in processes) / count,
            data_folder_bytes=sum(folder_bytes(m.data_folder) for m in self._members) / count,
        )


def folder_bytes(folder: Path) -> int:
    """Return the bytes of all files; one that goes away meanwhile counts as nothing."""
    sizes = 0
    for path in folder.rglob("*"):
        try:
            sizes += path.stat().st_size if path.is_file() else 0
        except FileNotFoundError:
            continue
    return sizes
