"""Checks the frames of an HTTP/2 client before the library keeps or parses them.

h2 keeps a frame over the largest size until it is whole, up to 16 MiB, and a header block of up to
65 frames before it is decoded. Frames that ask for work without serving a request, such as PING
and resets, are limited to an allowance that requests, sent bytes and time restore.
"""

from __future__ import annotations

from collections.abc import Iterator

MAX_FRAME_BYTES = 1 << 14
"""Largest frame that a client may send, as no other size is announced (RFC 9113, section 4.2)."""

_HEAD_BYTES = 9
_PREFACE_BYTES = 24
_DATA, _HEADERS, _RST_STREAM, _CONTINUATION = 0, 1, 3, 9
_END_STREAM = 1

_FRAMES_AT_ONCE = 32
"""h2 makes events of some kilobytes of all frames that it is given before the first is handled."""

_FIRST_ALLOWANCE = 1000.0
_LARGEST_ALLOWANCE = 10_000.0
_PER_SECOND = 100.0
_PER_REQUEST = 2.0
"""A client may answer each response with an update of its window and a PING."""

_PER_BYTE_SENT = 1 / 1024
"""Clients update their windows as they read, each of two windows for each frame at most."""

_PRICE_OF_RESET = 10.0
"""More than its request restores: requests that are only reset use the allowance up."""


class FrameGuard:
    """Reads the heads of the frames that one client sends; the times are in seconds."""

    def __init__(self, max_block_bytes: int, now: float) -> None:
        self._max_block_bytes = max_block_bytes
        self._head = bytearray()
        self._skip = _PREFACE_BYTES
        self._block_bytes = 0
        self.reason: str | None = None
        self._allowance = _FIRST_ALLOWANCE
        self._restored_at = now

    def sent(self, size: int) -> None:
        """Count bytes that were sent to the client."""
        self._add(size * _PER_BYTE_SENT)

    def parts(self, data: bytes, now: float) -> Iterator[bytes]:
        """Yield received bytes in parts of few frames each.

        It ends before a frame for which the connection is to be closed; ``reason`` says why.
        """
        self._add((now - self._restored_at) * _PER_SECOND)
        self._restored_at = now
        start = position = frames = 0
        while position < len(data):
            if self._skip:
                skipped = min(self._skip, len(data) - position)
                self._skip -= skipped
                position += skipped
                continue
            if frames == _FRAMES_AT_ONCE:
                yield data[start:position]
                start, frames = position, 0
            part = data[position : position + _HEAD_BYTES - len(self._head)]
            self._head += part
            position += len(part)
            if len(self._head) == _HEAD_BYTES:
                frames += 1
                self.reason = self._check_head()
                if self.reason is not None:
                    return
                self._head.clear()
        yield data[start:position]

    def _check_head(self) -> str | None:
        head = self._head
        size = int.from_bytes(head[:3], "big")
        kind, flags = head[3], head[4]
        if size > MAX_FRAME_BYTES:
            return f"frame of {size} bytes, limit {MAX_FRAME_BYTES}"
        self._skip = size
        if kind in (_HEADERS, _CONTINUATION):
            self._block_bytes = size + (self._block_bytes if kind == _CONTINUATION else 0)
            if self._block_bytes > self._max_block_bytes:
                return f"header block is over {self._max_block_bytes} bytes"
        self._add(_change_of(kind, flags, size))
        return "too many frames that serve no request" if self._allowance < 0 else None

    def _add(self, change: float) -> None:
        self._allowance = min(_LARGEST_ALLOWANCE, self._allowance + change)


def _change_of(kind: int, flags: int, size: int) -> float:
    """Return by how much a frame changes the allowance."""
    if kind == _HEADERS:
        return _PER_REQUEST
    if kind == _DATA and (size or flags & _END_STREAM):
        return 0.0
    return -_PRICE_OF_RESET if kind == _RST_STREAM else -1.0
