"""Marks in the records of a log that prove which of its bytes were synced.

The first record of each batch ends in a mark that holds the record's own offset. A batch is
written once everything before it is synced, so a sound record with a mark proves that the bytes
before it were, and the proof lasts as long as the batch does.

A mark is a field of a protobuf message, with a number that no schema uses: a build without marks
skips it as an unknown field.
"""

from __future__ import annotations

import struct

_FIELD_NUMBER = 2047
_LENGTH_DELIMITED = 2
_MAGIC = b"\x9dlimelvr"
_OFFSET = struct.Struct(">Q")


def _varint(value: int) -> bytes:
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


_PREFIX = (
    _varint(_FIELD_NUMBER << 3 | _LENGTH_DELIMITED) + _varint(len(_MAGIC) + _OFFSET.size) + _MAGIC
)


def _mark(offset: int) -> bytes:
    return _PREFIX + _OFFSET.pack(offset)


def with_mark(payload: bytes, offset: int) -> bytes:
    """Return the payload of a batch's first record, which begins at byte ``offset`` of the log."""
    return payload + _mark(offset)


def without_mark(payload: bytes, offset: int) -> bytes:
    """Return a payload without the mark of the record at byte ``offset``, if it has one."""
    return payload.removesuffix(_mark(offset))


def marked_records(data: bytes, position: int) -> list[tuple[int, int]]:
    """Return begin and end of what may be records with a mark, from ``position`` on.

    Only the offset in the mark is checked: the caller has to verify the checksums of the records.
    """
    found: list[tuple[int, int]] = []
    begin = data.find(_PREFIX, position)
    while begin >= 0:
        end = begin + len(_PREFIX) + _OFFSET.size
        if end <= len(data):
            (offset,) = _OFFSET.unpack_from(data, begin + len(_PREFIX))
            if position <= offset < begin:
                found.append((offset, end))
        begin = data.find(_PREFIX, begin + 1)
    return found
