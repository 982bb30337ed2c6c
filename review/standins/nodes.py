"""Machines with an instance, the instances beside them and clients, as PROTOCOL.md has them."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import threading
import time
import uuid
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from core_machines import CONTROL_PORT, Core, Machine, Operator, Record

READY_PORT, INSTANCE_PORT, INBOUND_PORT, OUTBOUND_PORT = 8141, 8145, 8146, 8147
SERVICE, HOST = "huvo11a", "ficu95.example"
HEARTBEAT_SECONDS = 1.5
SLOTS = 6


class NodeMachine(Machine):
    """A machine with an instance: no disk."""

    def __init__(self, folder: Path, name: str, ip: str, zone: str) -> None:
        super().__init__(folder, "node", name, ip, zone)

    def write(self, seeds: list[str], *, first_start: bool) -> None:
        """Write the settings file."""
        own = {
            "machineClass": "sidecar",
            "serves": "sidecar",
            "listenAddrs.inbound": f"{self.ip}:{INBOUND_PORT}",
            "listenAddrs.outbound": f"{self.ip}:{OUTBOUND_PORT}",
            "listenAddrs.ready": f"{self.ip}:{READY_PORT}",
            "appAddr": f"{self.ip}:{INSTANCE_PORT}",
            "service": SERVICE,
        }
        self.write_settings({**self.common_fields(seeds, first_start), **own})

    def is_ready(self) -> bool:
        """Ask the question of the platform."""
        connection = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1.0)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Instance(ThreadingHTTPServer):
    """An instance beside a node: runs requests, and reports itself by heartbeats."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, machine: NodeMachine, record: Record, work_seconds: float = 0.03) -> None:
        super().__init__((machine.ip, INSTANCE_PORT), InstanceHandler)
        self.machine, self.record, self.work_seconds = machine, record, work_seconds
        self.identifier = f"i-{uuid.uuid4().hex[:8]}"
        self.leaving = self.ended = False
        self.reached: list[tuple[float, str]] = []
        self.spoiled: list[tuple[str, str]] = []
        self.may_spoil: Callable[[], bool] = lambda: True
        self.running = 0
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._quiet = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):  # noqa: ANN001
        """A node that has left is no matter of the instance."""

    def work(self, request: str) -> None:
        """Run a request."""
        with self._lock:
            self.reached.append((time.monotonic(), request))
            self.running += 1
        time.sleep(self.work_seconds)
        with self._lock:
            self.running -= 1

    def begin_heartbeats(self) -> None:
        """Report about every ``heartbeatMs``."""
        threading.Thread(target=self._report, daemon=True).start()

    def _report(self) -> None:
        while not self._quiet.is_set():
            self.send(self.heartbeat())
            self._quiet.wait(HEARTBEAT_SECONDS)

    def heartbeat(self) -> bytes:
        """Return the next heartbeat of an instance that takes work."""
        report = {
            "address": f"{self.machine.ip}:{INSTANCE_PORT}",
            "info": {
                "service": SERVICE,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": SLOTS,
            },
            "status": {"state": "ready", "seq": next(self._numbers), "warmupLeftMs": 0},
        }
        return json.dumps(report).encode()

    def send(self, body: bytes | None, method: str = "PUT") -> int:
        """Call the node; return the status, 0 if there is none."""
        connection = http.client.HTTPConnection(self.machine.ip, CONTROL_PORT, timeout=1.0)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, f"/v1/instances/{self.identifier}", body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def leave(self) -> int:
        """Say that this instance goes, without ``draining`` before; return the status."""
        self._quiet.set()
        self.leaving = True
        return self.send(None, "DELETE")

    def end(self) -> None:
        """End: nothing is answered any more, nor what is at work."""
        self.ended = True
        self._quiet.set()
        self.shutdown()
        self.server_close()


class InstanceHandler(BaseHTTPRequestHandler):
    """One request at an instance."""

    protocol_version = "HTTP/1.1"
    server: Instance

    def do_GET(self):  # noqa: N802, ANN201
        """Run a request, or answer the health path."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        instance = self.server
        if self.path == "/health":
            self._answer(503 if instance.leaving else 200, b"", health=True)
            return
        request = self.headers.get("Limelever-Attempt-Id", "")
        target = self.headers.get("Limelever-Target-Instance", instance.identifier)
        if target != instance.identifier:
            self._answer(421, b"", not_run=True)
            return
        instance.work(request)
        if instance.ended:
            self.close_connection = True
            return
        self._answer(200, request.encode() + body)

    do_POST = do_GET  # noqa: N815

    def _answer(
        self, status: int, body: bytes, *, health: bool = False, not_run: bool = False
    ) -> None:
        instance = self.server
        self.send_response(status)
        if health:
            self.send_header("Limelever-Instance-Id", instance.identifier)
        else:
            self.send_header("Limelever-Attempt-Id", self.headers.get("Limelever-Attempt-Id", ""))
            self.send_header("Limelever-Response-Seal", f"seal.{instance.identifier}")
            self._spoil()
        if not_run:
            self.send_header("Limelever-Not-Executed", "1")
        if instance.leaving:
            self.send_header("Connection", "close")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _spoil(self) -> None:
        """Put wrong bytes into one answer, if that is wanted."""
        instance = self.server
        if instance.spoiled and instance.may_spoil():
            name, value = instance.spoiled.pop()
            instance.record.note(f"{instance.identifier} spoils the answer to a request")
            self.send_header(name, value)

    def log_message(self, *arguments):  # noqa: ANN002, ANN201
        """Print nothing."""


class Answered:
    """How a client's request ended; status 0 says that its connection closed without an answer."""

    def __init__(self, request: str, sent_at: float, status: int, ended_at: float) -> None:
        self.request, self.sent_at, self.status, self.ended_at = request, sent_at, status, ended_at


class Client:
    """A client on a node's machine that keeps its connection and sends one request at a time."""

    def __init__(self, machine: NodeMachine, record: Record, name: str) -> None:
        self.machine, self._record, self._name = machine, record, name
        self._connection: http.client.HTTPConnection | None = None
        self._numbers = itertools.count(1)
        self.answers: list[Answered] = []

    def ask(
        self, method: str = "POST", path: str = "/write/a", deadline_ms: int = 1500
    ) -> Answered:
        """Send one request and wait for its end."""
        request = f"{self._name}-{next(self._numbers)}"
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self.machine.ip, OUTBOUND_PORT, timeout=deadline_ms / 1000
            )
        sent_at = time.monotonic()
        headers = {
            "Host": HOST,
            "Limelever-Attempt-Id": request,
            "Limelever-Deadline-Ms": str(deadline_ms),
        }
        status = 0
        try:
            body = b"order" if method == "POST" else None
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None
        answered = Answered(request, sent_at, status, time.monotonic())
        self.answers.append(answered)
        self._record.note(
            f"{request} sent at {sent_at - self._record.start:.3f} to {self.machine.name}: {status}"
        )
        return answered

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()


def wait_until(condition, seconds: float) -> bool:  # noqa: ANN001
    """Wait for a condition; return whether it came true."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.05)
    return True


class Deployment:
    """A core, and machines of one service with an instance each."""

    def __init__(self, record: Record, count: int, work_seconds: float) -> None:
        self.record = record
        self.core = Core(record)
        self.operator = Operator(record)
        self.nodes = [
            NodeMachine(self.core.folder, f"side-{n}", f"{self.core.prefix}.{100 + n}", "zone-a")
            for n in range(1, count + 1)
        ]
        self.core.others.extend(self.nodes)
        self.instances = [Instance(node, record, work_seconds) for node in self.nodes]

    def begin(self) -> bool:
        """Start all and have a configuration taken; return whether all nodes are ready."""
        self.core.start()
        for node in self.nodes:
            node.write(self.core.seeds, first_start=True)
            node.start()
        if not self.operator.change(self.core.machines, 25.0):
            return False
        if not wait_until(lambda: all(node.is_ready() for node in self.nodes), 20.0):
            return False
        for instance in self.instances:
            instance.begin_heartbeats()
        time.sleep(4.0)
        return True

    def close(self) -> None:
        """End all processes and instances."""
        self.core.close()
        for instance in self.instances:
            instance.end()


def send_for(clients: list[Client], seconds: float) -> list[threading.Thread]:
    """Let the clients send for some seconds, with a drawn pause after each answer."""
    until = time.monotonic() + seconds

    def send(client: Client) -> None:
        while time.monotonic() < until:
            time.sleep(random.uniform(0.0, 0.2) if client.ask().status else 0.5)

    threads = [threading.Thread(target=send, args=(client,)) for client in clients]
    for thread in threads:
        thread.start()
    return threads
