"""Instances beside nodes that take as long as a request says, and keep a journal of their work."""

from __future__ import annotations

import threading
import time
import zlib
from collections import defaultdict
from dataclasses import dataclass, replace
from http.server import BaseHTTPRequestHandler

from platform_machines import NodeMachine
from platform_traffic import OK, Instance

MILLISECONDS = 1000
LATE = 504
LONG_ANSWER_PARTS = 20_000
"""Some 700 kB: more than the sockets between node and caller hold while the caller is slow."""

LAST_OF_LONG_ANSWERS = "7f"
"""Last digits of requests whose answers are long: an eighth of all."""


@dataclass(frozen=True, slots=True)
class Work:
    """One run of a request at an instance, in monotonic seconds; it isn't given up half-way."""

    instance: str
    path: str
    begun_at: float
    ends_at: float


class Journal:
    """What all instances worked on, by request."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_request: dict[str, list[Work]] = defaultdict(list)
        self._ends: dict[str, list[float]] = defaultdict(list)

    def note(self, request: str, work: Work) -> None:
        with self._lock:
            self._by_request[request].append(work)

    def instance_ended(self, instance: str) -> None:
        """Note that an instance's process ends now, and its work with it."""
        with self._lock:
            self._ends[instance].append(time.monotonic())

    def of(self, request: str) -> list[Work]:
        with self._lock:
            return [self._until_its_end(work) for work in self._by_request.get(request, ())]

    def _until_its_end(self, work: Work) -> Work:
        ends = [at for at in self._ends[work.instance] if work.begun_at <= at < work.ends_at]
        return replace(work, ends_at=min(ends)) if ends else work


def answer_to(request: str, body: bytes) -> bytes:
    """Return the whole answer to a request: its id, and what arrived of its body; some are long."""
    answer = f"{request} {len(body)} {zlib.crc32(body)} ".encode()
    return answer * LONG_ANSWER_PARTS if request[-1] in LAST_OF_LONG_ANSWERS else answer


class JournalInstance(Instance):
    """An instance that keeps a journal."""

    def __init__(self, machine: NodeMachine, journal: Journal) -> None:
        self.work, self.name = journal, machine.name
        super().__init__(machine, runs=None)
        self.RequestHandlerClass = JournalHandler


class JournalHandler(BaseHTTPRequestHandler):
    """One request; the last part of its path is how many milliseconds it takes.

    It stops at the deadline that it is given, and says so.
    """

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        body = self.read_body()
        asked = int(self.path.rsplit("/", 1)[1])
        left = int(self.headers["Limelever-Deadline-Ms"])
        seconds = min(asked, left) / MILLISECONDS
        begun_at = time.monotonic()
        work = Work(self.server.name, self.path, begun_at, begun_at + seconds)
        self.server.work.note(request, work)
        time.sleep(seconds)
        answer = answer_to(request, body)
        self.send_response(OK if asked < left else LATE)
        self.send_header("Limelever-Attempt-Id", request)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    do_POST = do_GET  # noqa: N815

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def log_message(self, *arguments):
        """Print nothing."""
