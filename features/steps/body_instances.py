"""Instances that take uploads of any size, and answer with as many bytes as a path names."""

from __future__ import annotations

import contextlib
import threading
import time

from endless_parts import AFTER_HEAD, WITHOUT_HEAD, endless
from platform_machines import NodeMachine
from platform_traffic import OK, Instance, InstanceHandler, Runs

HEALTH_PATH = "/health"
PART_BYTES = 1 << 20
WORK_SECONDS = 0.05
ENDLESS = {f"endless-{n}": part for n, part in enumerate((*AFTER_HEAD, *WITHOUT_HEAD))}
"""The part of an answer that does not end, by the last segment of a path."""


class BodyInstance(Instance):
    """The instance beside a node."""

    def __init__(self, machine: NodeMachine) -> None:
        self.name = machine.name
        self.arrivals: list[str] = []
        self.uploads: list[str] = []
        self.byte_pause = 0.0
        self._lock = threading.Lock()
        super().__init__(machine, Runs())
        self.RequestHandlerClass = BodyHandler


class BodyHandler(InstanceHandler):
    """Serves ``/read/SIZE`` and uploads."""

    def do_GET(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        part = ENDLESS.get(self.path.rpartition("/")[2])
        if part is not None:
            self.send_endless(part, request)
            return
        if self.path != HEALTH_PATH:
            self.server.arrivals.append(request)
            time.sleep(WORK_SECONDS)
        self.answer(request, bytes(self._wanted_bytes()))

    def do_POST(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        left = int(self.headers["Content-Length"])
        while left:
            left -= len(self.rfile.read(min(left, PART_BYTES)))
        self.server.uploads.append(request)
        time.sleep(WORK_SECONDS)
        self.answer(request, b"taken")

    def send_endless(self, part: str, request: str) -> None:
        """Send an answer that doesn't end, until the node closes the connection."""
        head = f"HTTP/1.1 200 OK\r\nLimelever-Attempt-Id: {request}\r\n".encode()
        self.close_connection = True
        with contextlib.suppress(OSError):
            for data in endless(part, head):
                self._write(data)

    def _write(self, data: bytes) -> None:
        """Send bytes, each for itself if the instance has a pause between them."""
        pause = self.server.byte_pause
        if not pause:
            self.wfile.write(data)
            return
        for number in range(len(data)):
            self.wfile.write(data[number : number + 1])
            time.sleep(pause)

    def _wanted_bytes(self) -> int:
        name = self.path.rpartition("/")[2]
        return int(name) if name.isdigit() else 0

    def answer(self, request: str, body: bytes) -> None:
        """Send a whole answer."""
        self.send_response(OK)
        self.send_header("Limelever-Attempt-Id", request)
        self.send_header("Limelever-Instance-Id", f"i-{self.server.name}")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
