"""What clients send to a listener for links between nodes that never say a whole hello."""

from __future__ import annotations

from socket_crowd import Form

HELLO_LIMIT_BYTES = 16 * 1024
HUGE_FRAME_BYTES = 64 << 20


def _length(size: int) -> bytes:
    return size.to_bytes(4, "big")


LINK_FORMS = {
    "nothing": Form(b""),
    "a hello whose last byte is missing": Form(
        _length(HELLO_LIMIT_BYTES) + bytes(HELLO_LIMIT_BYTES - 1)
    ),
    "a hello byte by byte": Form(_length(HELLO_LIMIT_BYTES), bytes(64), dribbles=True),
    "a hello over its limit": Form(_length(HUGE_FRAME_BYTES), bytes(1 << 16)),
    "frames that are no hello": Form(b"", (_length(2) + b"\x0a\x00") * 4096),
}
