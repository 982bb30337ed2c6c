"""What a loss of power may leave of writes that were not synced, drawn for tests and simulation.

Each write is there, missing, cut after a prefix, or lacks some of its sectors.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from msgspec import Struct

from limelever.storage.records import SECTOR_SIZE


class FileWrite(Struct, frozen=True):
    """Bytes written at an offset of a file; without ``data`` the file is cut to ``offset``."""

    offset: int
    data: bytes | None


def applied(content: bytes, writes: Iterable[FileWrite]) -> bytes:
    """Return the content of a file after writes; a gap reads as zeros."""
    image = bytearray(content)
    for write in writes:
        if write.data is None:
            del image[write.offset :]
            image.extend(bytes(write.offset - len(image)))
            continue
        end = write.offset + len(write.data)
        image.extend(bytes(max(0, end - len(image))))
        image[write.offset : end] = write.data
    return bytes(image)


def sector_parts(write: FileWrite) -> list[FileWrite]:
    """Return the parts of a write in each sector of the file."""
    parts, offset, data = [], write.offset, write.data or b""
    while data:
        size = SECTOR_SIZE - offset % SECTOR_SIZE
        parts.append(FileWrite(offset, data[:size]))
        offset, data = offset + size, data[size:]
    return parts


def drawn_parts(write: FileWrite, random: Random) -> list[FileWrite]:
    """Draw what is left of a write."""
    way = random.randrange(4)
    if way < 2 or write.data is None:
        return [write] if way % 2 else []
    if way == 2:
        return [FileWrite(write.offset, write.data[: random.randrange(len(write.data) + 1)])]
    return [part for part in sector_parts(write) if random.random() < 0.5]
