"""The published gRPC protocol over HTTP/2, as far as unary calls need it."""

from __future__ import annotations

import base64
import re
import struct
from collections.abc import Iterable, Iterator
from typing import Any

from google.protobuf.message import DecodeError, Message
from google.protobuf.unknown_fields import UnknownFieldSet

from limelever.common.errors import ErrorKind, Failure, GrpcStatus

CONTENT_TYPE = b"application/grpc"
RESPONSE_CONTENT_TYPE = b"application/grpc+proto"
IDENTITY_ENCODING = b"identity"
MAX_STATUS_MESSAGE_BYTES = 1024

Headers = list[tuple[bytes, bytes]]

_PREFIX = struct.Struct(">BI")
_TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
_SECONDS_PER_UNIT = {
    b"H": 3600.0,
    b"M": 60.0,
    b"S": 1.0,
    b"m": 1e-3,
    b"u": 1e-6,
    b"n": 1e-9,
}
_FIRST_PRINTABLE = 0x20
_LAST_PRINTABLE = 0x7E
_PERCENT = 0x25


def encode_message(message: Message) -> bytes:
    """Return ``message`` behind its uncompressed 5-byte prefix."""
    payload = message.SerializeToString()
    return _PREFIX.pack(0, len(payload)) + payload


def unwrap_message(body: bytes) -> bytes | Failure:
    """Return the one message within a unary call's body."""
    if len(body) < _PREFIX.size:
        return _violation("body is shorter than a message prefix")
    compressed, size = _PREFIX.unpack_from(body)
    if compressed:
        return Failure(ErrorKind.METHOD_NOT_ALLOWED, "compressed messages are not taken")
    if len(body) != _PREFIX.size + size:
        return _violation("body is not exactly one message")
    return body[_PREFIX.size :]


def parse_message(payload: bytes, kind: type[Message]) -> Message | Failure:
    """Return ``payload`` as a message of ``kind`` without unknown fields."""
    message = kind()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        return _violation(f"message does not parse as {kind.DESCRIPTOR.name}: {error}")
    unknown = sorted(set(unknown_fields(message)))
    if unknown:
        reason = f"unknown fields: {', '.join(unknown)}"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return message


def unknown_fields(message: Message, path: str = "") -> Iterator[str]:
    """Yield the path of every field, at any depth, that the schema does not know."""
    here = path or message.DESCRIPTOR.name
    unknown: Iterable[Any] = UnknownFieldSet(message)  # type: ignore[assignment]
    for field in unknown:
        yield f"{here}.{field.field_number}"
    for descriptor, value in message.ListFields():
        if descriptor.message_type is None:
            continue
        children: Iterable[Message] = value if descriptor.is_repeated else (value,)
        for child in children:
            yield from unknown_fields(child, f"{here}.{descriptor.name}")


def parse_timeout(text: bytes) -> float | Failure:
    """Return a ``grpc-timeout`` header's value in seconds."""
    match = _TIMEOUT.fullmatch(text)
    if match is None:
        return _violation("grpc-timeout is malformed")
    return int(match.group(1)) * _SECONDS_PER_UNIT[match.group(2)]


def status_trailers(status: GrpcStatus, message: str = "", details: bytes = b"") -> Headers:
    """Return the trailers that end a call; ``details`` is a serialized ``google.rpc.Status``."""
    trailers: Headers = [(b"grpc-status", str(int(status)).encode())]
    if message:
        trailers.append((b"grpc-message", percent_encode(message)))
    if details:
        encoded = base64.b64encode(details).rstrip(b"=")
        trailers.append((b"grpc-status-details-bin", encoded))
    return trailers


def percent_encode(message: str) -> bytes:
    """Return a status message in its wire form, cut to ``MAX_STATUS_MESSAGE_BYTES``."""
    encoded = bytearray()
    for character in message:
        piece = b"".join(_percent_byte(byte) for byte in character.encode(errors="replace"))
        if len(encoded) + len(piece) > MAX_STATUS_MESSAGE_BYTES:
            break
        encoded += piece
    return bytes(encoded)


def _percent_byte(byte: int) -> bytes:
    if _FIRST_PRINTABLE <= byte <= _LAST_PRINTABLE and byte != _PERCENT:
        return bytes((byte,))
    return b"%%%02X" % byte


def _violation(reason: str) -> Failure:
    return Failure(ErrorKind.PROTOCOL_VIOLATION, reason)
