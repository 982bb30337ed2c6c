"""An instance that cuts its responses off, or sends what is no response."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import dataclass

from body_instances import BodyHandler, BodyInstance
from platform_machines import NodeMachine

CLOSE, RESET = "close", "reset"
CUT_STEP, NEAR_END = 7, 5
BYTE_SECONDS = 0.0005
BEFORE_END_SECONDS = 0.005
"""Time for the node to read what was sent before a reset discards it."""

_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Broken:
    """What an instance sends, and how it ends the connection; ``""`` leaves that to the node."""

    data: bytes
    end: str = ""
    byte_by_byte: bool = False


def line(status: str, *fields: str) -> bytes:
    return "\r\n".join([status, "Limelever-Attempt-Id: ID", *fields, "", ""]).encode()


OK_LINE = "HTTP/1.1 200 OK"
LENGTH = line(OK_LINE, "Content-Length: 12")
CHUNKED = line(OK_LINE, "Transfer-Encoding: chunked")
WITHOUT_LENGTH = line(OK_LINE, "Connection: close")
CONTINUE = b"HTTP/1.1 100 Continue\r\n"
SOUND = line(OK_LINE, "Content-Length: 2") + b"hi"
HEADS = (LENGTH, CHUNKED, WITHOUT_LENGTH, CONTINUE + b"\r\n" + LENGTH)
TWO = "Content-Length: 2"

RESPONSES = {
    "a body shorter than its length, then a close": Broken(LENGTH + b"short", CLOSE),
    "a body shorter than its length, then a reset": Broken(LENGTH + b"short", RESET),
    "chunks without the last, then a close": Broken(CHUNKED + b"2\r\nab\r\n", CLOSE),
    "chunks without the last, then a reset": Broken(CHUNKED + b"2\r\nab\r\n", RESET),
    "a body without length, then a reset": Broken(WITHOUT_LENGTH + b"short", RESET),
    "status 000 and a body": Broken(line("HTTP/1.1 000 X", TWO) + b"ok"),
    "status 000 and a body, then a sound response": Broken(
        line("HTTP/1.1 000 X", TWO) + b"ok" + SOUND
    ),
    "status 099 and a body": Broken(line("HTTP/1.1 099 X", TWO) + b"ok"),
    "status 600 and a body": Broken(line("HTTP/1.1 600 X", TWO) + b"ok"),
    "version 0.9": Broken(line("HTTP/0.9 200 OK", TWO) + b"ok"),
    "another protocol": Broken(line("RTSP/1.0 200 OK", TWO) + b"ok"),
    "100 Continue whose body is a sound response": Broken(
        CONTINUE + b"Content-Length: %d\r\n\r\n" % len(SOUND) + SOUND
    ),
    "status 101": Broken(line("HTTP/1.1 101 Switching Protocols") + SOUND),
}


def cut_heads(end: str, *, byte_by_byte: bool) -> dict[str, Broken]:
    """Return the cut heads by a name for each; none of them is whole."""
    cuts = {}
    for number, head in enumerate(HEADS):
        sizes = {*range(1, len(head), CUT_STEP), *range(len(head) - NEAR_END, len(head))}
        for size in sorted(sizes):
            cuts[f"head-{number}-{size}"] = Broken(head[:size], end, byte_by_byte)
    return cuts


class BreakingInstance(BodyInstance):
    """Sends what ``broken`` holds for a request, and sound answers to the others."""

    def __init__(self, machine: NodeMachine) -> None:
        self.broken: dict[str, Broken] = {}
        self.arrived: list[str] = []
        super().__init__(machine)
        self.RequestHandlerClass = BreakingHandler


class BreakingHandler(BodyHandler):
    """Breaks the responses that its instance names."""

    def do_POST(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        self.server.arrived.append(request)
        broken = self.server.broken.get(request)
        if broken is None:
            super().do_POST()
            return
        self.rfile.read(int(self.headers["Content-Length"]))
        self._send(broken, request.encode())

    def _send(self, broken: Broken, request: bytes) -> None:
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = broken.data.replace(b"ID", request)
        size = 1 if broken.byte_by_byte else len(data)
        for start in range(0, len(data), size):
            self.connection.sendall(data[start : start + size])
            if broken.byte_by_byte:
                time.sleep(BYTE_SECONDS)
        if not broken.end:
            self.connection.recv(1)
            return
        time.sleep(BEFORE_END_SECONDS)
        self.close_connection = True
        if broken.end == RESET:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            self.connection.close()
