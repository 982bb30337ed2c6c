"""Instances whose process ends under some requests, and is started again after some seconds."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from journal_instances import Journal
from platform_machines import CONTROL_PORT, INSTANCE_PORT, OUTBOUND_PORT, NodeMachine
from platform_traffic import (
    HEARTBEAT_SECONDS,
    HOST_NAME,
    OK,
    SLOTS,
    WORK_SECONDS,
    Runs,
    ask,
    heartbeat,
)

DEADLY = "deadly"
"""A path that holds it ends each instance that begins to run it."""

CALLING = "calling"
"""A path that holds it makes the instance send a deadly call of its own."""

FAILED = 500
CRASH_SECONDS = 0.03
DOWN_SECONDS = 2.0
POLL_SECONDS = 0.02
CONNECTION_BACKLOG = 128


@dataclass(frozen=True, slots=True)
class Arrival:
    """A deadly request that an instance began; ``identity`` is its method, path and body."""

    at: float
    identity: tuple[str, str, bytes]
    instance: str
    request: str


@dataclass
class CrashJournal:
    """What all instances of a fleet saw; times are monotonic seconds."""

    arrivals: list[Arrival] = field(default_factory=list)
    crashes: list[Arrival] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def arrived(self, arrival: Arrival) -> None:
        with self.lock:
            self.arrivals.append(arrival)

    def crashed(self, arrival: Arrival) -> None:
        with self.lock:
            self.crashes.append(arrival)

    def ran(self, request: str) -> None:
        with self.lock:
            self.runs[request] = self.runs.get(request, 0) + 1


class CrashingInstance:
    """The instance beside one node: one process after the other, each with an id of its own."""

    def __init__(
        self,
        machine: NodeMachine,
        journal: CrashJournal,
        handler: type[BaseHTTPRequestHandler] | None = None,
        work: Journal | None = None,
        runs: Runs | None = None,
    ) -> None:
        self.work, self.runs = work, runs
        self.machine, self.journal = machine, journal
        self.handler = handler or _Handler
        self._lock = threading.Lock()
        self._lives = itertools.count(1)
        self._over = threading.Event()
        self.started()
        self._life = _Life(self, next(self._lives))

    def crash(self, life: _Life | None = None) -> bool:
        """End the process of now, or just ``life``; return whether it was still running."""
        with self._lock:
            ending, current = life or self._life, self._life
            if current is None or ending is not current:
                return False
            self._life = None
        current.end()
        if not self._over.is_set():
            threading.Thread(target=self._start_again, daemon=True).start()
        return True

    def end(self) -> None:
        self._over.set()
        self.crash()

    def warm_up_left_ms(self) -> int:
        """Return what reports tell of the warm-up."""
        return 0

    def started(self) -> None:
        """Take note that a process starts."""

    def _start_again(self) -> None:
        if self._over.wait(DOWN_SECONDS):
            return
        with self._lock:
            self.started()
            self._life = _Life(self, next(self._lives))


class _Life(ThreadingHTTPServer):
    """One process of an instance."""

    daemon_threads = True
    request_queue_size = CONNECTION_BACKLOG

    def __init__(self, owner: CrashingInstance, number: int) -> None:
        self.owner, self.name = owner, owner.machine.name
        self.work, self.runs = owner.work, owner.runs
        self.id = f"i-{owner.machine.name}-{number}"
        self._sockets: set[socket.socket] = set()
        self._ended = threading.Event()
        super().__init__((owner.machine.ip, INSTANCE_PORT), owner.handler)
        threading.Thread(target=self.serve_forever, args=(POLL_SECONDS,), daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    def process_request(self, request, client_address):
        self._sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """A connection that ends is no matter of the instance."""

    def end(self) -> None:
        """Close the listener and all connections, as the end of a process does."""
        self._ended.set()
        self.socket.shutdown(socket.SHUT_RDWR)
        for each in tuple(self._sockets):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._close, daemon=True).start()

    def _close(self) -> None:
        self.shutdown()
        self.server_close()

    def _report(self) -> None:
        machine = self.owner.machine
        for number in itertools.count(1):
            body = heartbeat(machine, SLOTS, number, self.owner.warm_up_left_ms())
            path = f"/v1/instances/{self.id}"
            ask(machine.ip, CONTROL_PORT, "PUT", path, body, limit=1.0)
            if self._ended.wait(HEARTBEAT_SECONDS):
                return


class _Handler(BaseHTTPRequestHandler):
    """One request; a deadly one ends the process a moment after it was begun."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        journal = self.server.owner.journal
        request = self.headers.get("Limelever-Attempt-Id", "")
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        journal.ran(request)
        if DEADLY in self.path:
            crash_under(self, body)
            return
        called = self._call_another(request) if CALLING in self.path else OK
        time.sleep(WORK_SECONDS)
        self.send_response(OK if called == OK else FAILED)
        self.send_header("Limelever-Attempt-Id", request)
        self.send_header("Content-Length", str(len(request)))
        self.end_headers()
        self.wfile.write(request.encode())

    do_POST = do_GET  # noqa: N815

    def _call_another(self, request: str) -> int:
        """Make a deadly call by way of the node beside this instance."""
        headers = {
            "Host": HOST_NAME,
            "Limelever-Attempt-Id": f"{request}.1",
            "Limelever-Deadline-Ms": self.headers["Limelever-Deadline-Ms"],
        }
        node = self.server.owner.machine
        return ask(node.ip, OUTBOUND_PORT, "GET", f"/read/{DEADLY}-call", None, headers).status

    def log_message(self, *arguments):
        """Print nothing."""


def crash_under(handler: BaseHTTPRequestHandler, body: bytes) -> None:
    """End the process of an instance a moment after it began a request."""
    life, owner = handler.server, handler.server.owner
    request = handler.headers.get("Limelever-Attempt-Id", "")
    identity = (handler.command, handler.path, body)
    arrival = Arrival(time.monotonic(), identity, life.id, request)
    owner.journal.arrived(arrival)
    time.sleep(CRASH_SECONDS)
    handler.close_connection = True
    if owner.crash(life):
        owner.journal.crashed(arrival)
