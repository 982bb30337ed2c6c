"""The floor file: the highest version a subscriber has held, as text with a checksum."""

from __future__ import annotations

import zlib

FLOOR_FILE = "floor"


def encode_floor(version: int) -> bytes:
    """Return the content of the floor file."""
    text = str(version).encode()
    return b"%s %08x\n" % (text, zlib.crc32(text))


def decode_floor(content: bytes | None) -> int | None:
    """Return the floor, or ``None`` when there is no file or it is damaged.

    A damaged floor counts as a missing one: the subscriber then accepts its first version only
    from a publisher proved current, which is safe for any floor.
    """
    if content is None:
        return None
    text, _, checksum = content.strip().partition(b" ")
    if not text.isdigit() or checksum != b"%08x" % zlib.crc32(text):
        return None
    return int(text)
