"""What clients send that speak HTTP/2 and break its limits, or use all of them."""

from __future__ import annotations

from hpack import Encoder
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
)
from platform_traffic import HOST_NAME
from socket_crowd import Form

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
STREAMS = 100
FRAME_BYTES = 1 << 14
LARGEST_FRAME_BYTES = (1 << 24) - 1
HEADER_BLOCK_BYTES = 7 << 10
DOWNLOAD_PATH = "/read/100000"
INDEXED_FIELD = b"\x90"
"""``accept-encoding: gzip, deflate`` of HPACK's static table, in one byte."""

SHORT_FIELD = b"\x00\x01a\x00"
"""``a:`` as a literal."""


def _frames(*frames: Frame) -> bytes:
    return b"".join(frame.serialize() for frame in frames)


def _block(path: str = DOWNLOAD_PATH) -> bytes:
    """Return a request's header block that uses no state of its connection."""
    encoder = Encoder()
    encoder.header_table_size = 0
    fields = {
        ":method": "GET",
        ":scheme": "http",
        ":path": path,
        ":authority": HOST_NAME,
        "limelever-deadline-ms": "8000",
    }
    return encoder.encode(fields, huffman=False)


def _headers(stream: int, block: bytes, *flags: str) -> HeadersFrame:
    return HeadersFrame(stream, block, flags=("END_HEADERS", *flags))


def _requests(block: bytes, *flags: str, count: int = STREAMS) -> bytes:
    numbers = range(1, 2 * count, 2)
    return _frames(*(_headers(number, block, *flags) for number in numbers))


def _opening(window: int = (1 << 31) - 1) -> bytes:
    settings = {SettingsFrame.INITIAL_WINDOW_SIZE: window}
    return PREFACE + SettingsFrame(0, settings).serialize()


def _unfinished_frame() -> bytes:
    head = LARGEST_FRAME_BYTES.to_bytes(3, "big") + b"\x00\x00" + (1).to_bytes(4, "big")
    return head + bytes(LARGEST_FRAME_BYTES - 1)


def _resets() -> bytes:
    block = _block()
    frames: list[Frame] = []
    for number in range(1, 200_000, 2):
        frames += [_headers(number, block, "END_STREAM"), RstStreamFrame(number, error_code=8)]
    return _frames(*frames)


def _unfinished_block(frames: int) -> bytes:
    head = HeadersFrame(1, _block()).serialize()
    return head + _frames(*(ContinuationFrame(1, bytes(FRAME_BYTES)) for _ in range(frames)))


def _flood(*frames: Frame) -> Form:
    flood = _frames(*frames)
    return Form(_opening(), flood * (FRAME_BYTES // len(flood)))


def http2_form(name: str) -> Form:
    """Return a form by its name in the feature."""
    return _FORMS[name]()


_FORMS = {
    "idle connections": lambda: Form(_opening(), reads=True),
    "header lists over the limit": lambda: Form(
        _opening(), _headers(1, _block() + SHORT_FIELD * 4000).serialize()
    ),
    "CONTINUATION frames without end": lambda: Form(
        _opening() + _unfinished_block(0), ContinuationFrame(1, bytes(FRAME_BYTES)).serialize()
    ),
    "a header block that does not end": lambda: Form(_opening() + _unfinished_block(62)),
    "a frame over the largest size that does not end": lambda: Form(
        _opening() + _unfinished_frame()
    ),
    "requests of many indexed fields that do not end": lambda: Form(
        _opening() + _requests(_block() + INDEXED_FIELD * 900), reads=True
    ),
    "requests of many short fields that do not end": lambda: Form(
        _opening() + _requests(_block() + SHORT_FIELD * (HEADER_BLOCK_BYTES // 8)), reads=True
    ),
    "requests that do not end": lambda: Form(_opening() + _requests(_block()), reads=True),
    "requests that are reset at once": lambda: Form(_opening() + _resets(), reads=True),
    "SETTINGS whose answers are not read": lambda: _flood(SettingsFrame(0)),
    "PING whose answers are not read": lambda: _flood(PingFrame(0, bytes(8))),
    "PRIORITY of streams that do not exist": lambda: _flood(
        *(PriorityFrame(2 * n + 1, stream_weight=7) for n in range(1000))
    ),
    "empty DATA frames without end": lambda: Form(
        _opening() + _requests(_block(), count=1), DataFrame(1).serialize() * 1024, reads=True
    ),
    "responses that are not read": lambda: Form(_opening(0) + _requests(_block(), "END_STREAM")),
}
