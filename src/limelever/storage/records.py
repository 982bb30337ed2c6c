"""Format of a checksummed record, and the scan of a log that a crash may have torn.

A record is a 4-byte big-endian payload length, the CRC-32C of those four bytes, the CRC-32C
of the payload, and the payload. The length has a checksum of its own so that a damaged length
in the middle of a log can't pass for a record that a crash cut short: that mistake would
silently drop every acknowledged record behind it.

A loss of power may leave any part of the writes since the last sync, so that a record that does not
check out is damage only where something proves that it was synced.
"""

from __future__ import annotations

import struct

import google_crc32c
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.storage.sync_marks import marked_records, without_mark

_LENGTH = struct.Struct(">I")
_CHECKSUMS = struct.Struct(">II")
HEADER_SIZE = _LENGTH.size + _CHECKSUMS.size
SECTOR_SIZE = 512


class Scan(Struct, frozen=True):
    """Whole records of a log, the byte offset at which each begins, and where they end."""

    records: tuple[bytes, ...]
    offsets: tuple[int, ...]
    end: int


def encode_record(payload: bytes) -> bytes:
    """Return the bytes of one record around ``payload``."""
    length = _LENGTH.pack(len(payload))
    checksums = _CHECKSUMS.pack(google_crc32c.value(length), google_crc32c.value(payload))
    return length + checksums + payload


def scan_records(data: bytes, synced_length: int | None = None) -> Scan | Failure:
    """Return the whole records of ``data`` up to what was not synced, or a failure for damage.

    ``synced_length`` is how many bytes are stated to be synced. ``None`` is for a log written by
    builds without marks. There a tail is torn when it is shorter than a sound header promises, or
    when it reads as zeros from a sector boundary to the end, and everything else is damage.
    """
    records: list[bytes] = []
    offsets: list[int] = []
    position = 0
    while position < len(data):
        payload = _payload_at(data, position)
        if payload is None:
            proof = _proof_of_sync(data, position, synced_length)
            if proof is None:
                break
            reason = f"record {len(records)} at byte {position} of {len(data)} is damaged: {proof}"
            return Failure(ErrorKind.DATA_DAMAGED, reason)
        records.append(without_mark(payload, position))
        offsets.append(position)
        position += HEADER_SIZE + len(payload)
    return Scan(tuple(records), tuple(offsets), position)


def _proof_of_sync(data: bytes, position: int, synced_length: int | None) -> str | None:
    """Return what proves that the bytes at ``position`` were synced, if anything does."""
    for begin, end in marked_records(data, position + 1):
        payload = _payload_at(data, begin)
        if payload is not None and begin + HEADER_SIZE + len(payload) == end:
            return f"it was synced before byte {begin} was written"
    if synced_length is None:
        return None if _is_torn(data, position) else "it is neither cut short nor zeros"
    if position < synced_length <= len(data):
        return f"{synced_length} bytes were synced"
    return None


def _sound_length(data: bytes, position: int) -> int | None:
    """Return the payload length in the header at ``position`` when its checksum holds."""
    if len(data) - position < HEADER_SIZE:
        return None
    length_bytes = data[position : position + _LENGTH.size]
    header_checksum, _ = _CHECKSUMS.unpack_from(data, position + _LENGTH.size)
    if google_crc32c.value(length_bytes) != header_checksum:
        return None
    (length,) = _LENGTH.unpack(length_bytes)
    return int(length)


def _payload_at(data: bytes, position: int) -> bytes | None:
    length = _sound_length(data, position)
    if length is None:
        return None
    begin = position + HEADER_SIZE
    if begin + length > len(data):
        return None
    payload = data[begin : begin + length]
    _, checksum = _CHECKSUMS.unpack_from(data, position + _LENGTH.size)
    return payload if google_crc32c.value(payload) == checksum else None


def _is_torn(data: bytes, position: int) -> bool:
    if len(data) - position < HEADER_SIZE:
        return True
    length = _sound_length(data, position)
    if length is not None and position + HEADER_SIZE + length > len(data):
        return True
    return _ends_in_zero_sector(data, position)


def _ends_in_zero_sector(data: bytes, position: int) -> bool:
    """Return whether ``data`` is zeros from ``position`` or a later sector boundary on."""
    last_byte = len(data.rstrip(b"\0"))
    if last_byte <= position:
        return True
    boundary = -(-last_byte // SECTOR_SIZE) * SECTOR_SIZE
    return boundary < len(data)
