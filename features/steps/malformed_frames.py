"""Openings and frames of links that break the rules, by the names the features give them."""

from __future__ import annotations

import struct

import zstandard
from transport_server import FRAME_LIMIT, PROXY_CREDENTIAL, hello

from limelever.common.framing import LENGTH_PREFIX, encode_frame
from limelever.protocol.calls_pb2 import CallBody
from limelever.protocol.link_pb2 import Frame


def framed(payload: bytes) -> bytes:
    return LENGTH_PREFIX.pack(len(payload)) + payload


def compressed(payload: bytes, **options: bool) -> bytes:
    packed = zstandard.ZstdCompressor(**options).compress(payload)
    return framed(Frame(compressed=packed).SerializeToString())


def unstated_bomb() -> bytes:
    compressor = zstandard.ZstdCompressor(write_content_size=False)
    packed = compressor.compress(bytes(4 * FRAME_LIMIT))
    return framed(Frame(compressed=packed).SerializeToString())


def nested_bomb() -> bytes:
    inner = Frame(compressed=b"inner").SerializeToString()
    return compressed(inner)


MALFORMED = {
    "bytes that do not parse": lambda: framed(b"\xff\xff\xff\xff"),
    "a length over the limit": lambda: struct.pack(">I", FRAME_LIMIT + 1),
    "a length over 16 KiB": lambda: struct.pack(">I", 16 * 1024 + 1),
    "an unknown frame body": lambda: framed(b"\xfa\x7f\x01x"),
    "an empty frame": lambda: framed(b""),
    "a compressed bomb": lambda: compressed(bytes(4 * FRAME_LIMIT)),
    "a bomb of unstated size": unstated_bomb,
    "a bomb in a bomb": nested_bomb,
}
OPENINGS = {
    **MALFORMED,
    "another message": lambda: encode_frame(CallBody(stream=1)),
    "an unknown protocol": lambda: encode_frame(hello("x", protocol=99)),
    "an unknown credential": lambda: encode_frame(hello("x", credential="guess")),
    "another role's credential": lambda: encode_frame(hello("x", credential=PROXY_CREDENTIAL)),
    "an unknown role": lambda: encode_frame(hello("x", role="emperor")),
    "a purpose not served": lambda: encode_frame(hello("x", purpose="calls")),
    "an unknown purpose": lambda: encode_frame(hello("x", purpose="mischief")),
    "no hello at all": lambda: b"",
    "half a hello": lambda: encode_frame(hello("x"))[:20],
}
