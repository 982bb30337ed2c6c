"""Frames between the system's own processes: a 4-byte big-endian length, then a ``Frame``.

A frame over the compression threshold travels as a zstandard-compressed frame inside a frame.
Sizes are in bytes.
"""

from __future__ import annotations

import struct

from google.protobuf.message import DecodeError, Message
from msgspec import Struct, field

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.link_pb2 import Frame

LENGTH_PREFIX = struct.Struct(">I")
DEFAULT_FRAME_LIMIT = 16 * 1024 * 1024
NO_COMPRESSION = 0
_COMPRESSION_LEVEL = 3

_LENGTH_DELIMITED = 2
"""Protobuf's wire type of a field that holds a message."""

_TAG_BITS = 3
_VARINT_BITS = 7
_VARINT_LIMIT = 1 << _VARINT_BITS


def _varint(number: int) -> bytes:
    """Return a number as protobuf writes it: seven bits a byte, the lowest first."""
    encoded = bytearray()
    while number >= _VARINT_LIMIT:
        encoded.append(number & (_VARINT_LIMIT - 1) | _VARINT_LIMIT)
        number >>= _VARINT_BITS
    encoded.append(number)
    return bytes(encoded)


_BODY_TAG = {
    field.message_type.full_name: _varint(field.number << _TAG_BITS | _LENGTH_DELIMITED)
    for field in Frame.DESCRIPTOR.fields
    if field.message_type is not None
}


def encode_frame(message: Message, compress_from: int = NO_COMPRESSION) -> bytes:
    """Return the bytes of a frame around ``message``.

    ``compress_from`` is the size from which a frame is compressed; ``NO_COMPRESSION`` turns
    compression off. The frame is written around the message's own bytes: to make it as a message
    would copy every field of the body first.
    """
    body = message.SerializeToString()
    payload = _BODY_TAG[message.DESCRIPTOR.full_name] + _varint(len(body)) + body
    if compress_from and len(payload) >= compress_from:
        payload = Frame(compressed=_compress(payload)).SerializeToString()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_payload(payload: bytes, limit: int = DEFAULT_FRAME_LIMIT) -> Message | Failure:
    """Return the message within a frame's payload, or a failure for anything malformed."""
    frame = _parse(payload)
    if isinstance(frame, Failure):
        return frame
    name = frame.WhichOneof("body")
    if name == "compressed":
        inflated = _decompress(frame.compressed, limit)
        if isinstance(inflated, Failure):
            return inflated
        frame = _parse(inflated)
        if isinstance(frame, Failure):
            return frame
        name = frame.WhichOneof("body")
    if name is None or name == "compressed":
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "frame without a known body")
    body: Message = getattr(frame, name)
    return body


def _parse(payload: bytes) -> Frame | Failure:
    try:
        return Frame.FromString(payload)
    except DecodeError as error:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, f"frame does not parse: {error}")


def _compress(payload: bytes) -> bytes:
    # Imported here and below: a process whose links are not compressed need not spend its memory.
    import zstandard

    return zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL).compress(payload)


def _decompress(packed: bytes, limit: int) -> bytes | Failure:
    import zstandard

    try:
        size = zstandard.frame_content_size(packed)
        if size < 0:
            reason = "compressed frame does not state its size"
            return Failure(ErrorKind.PROTOCOL_VIOLATION, reason)
        if size > limit:
            reason = f"compressed frame of {size} bytes, limit {limit}"
            return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)
        return zstandard.ZstdDecompressor().decompress(packed, max_output_size=limit)
    except zstandard.ZstdError as error:
        return Failure(ErrorKind.PROTOCOL_VIOLATION, f"frame does not decompress: {error}")


class FrameReader(Struct):
    """Cuts a byte stream into payloads, one at a time.

    It holds one frame of at most ``limit`` bytes and what was fed with its end. A frame over
    the limit is a failure as soon as its length is read, before its bytes are kept.
    """

    limit: int = DEFAULT_FRAME_LIMIT
    _buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes | bytearray) -> None:
        """Take bytes of the stream."""
        self._buffer += data

    def next_payload(self) -> bytes | Failure | None:
        """Return the next whole payload, ``None`` while bytes are missing, or a failure."""
        buffer = self._buffer
        if len(buffer) < LENGTH_PREFIX.size:
            return None
        (size,) = LENGTH_PREFIX.unpack_from(buffer)
        if size > self.limit:
            reason = f"frame of {size} bytes, limit {self.limit}"
            return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)
        end = LENGTH_PREFIX.size + size
        if len(buffer) < end:
            return None
        payload = bytes(buffer[LENGTH_PREFIX.size : end])
        del buffer[:end]
        return payload
