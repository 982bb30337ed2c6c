"""Instances, callers and an operator beside the platform's processes, and what they saw."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from platform_machines import (
    CONTROL_PORT,
    INSTANCE_PORT,
    OUTBOUND_PORT,
    READY_PORT,
    SERVICE,
    ControlMachine,
    NodeMachine,
)

HOST_NAME = "one.example"
SLOTS = 4
WORK_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.5
ASK_SECONDS = 5.0
DEADLINE_MS = 1500
CALLER_PAUSE_SECONDS = 0.05
APPLY_SECONDS = 2.0
ORDER_LIMIT_SECONDS = 60.0
READ, WRITE, DOWNLOAD = "read", "write", "download"
DOWNLOAD_PARTS = 6000
"""Some 100 kB: what an instance hands out for a download."""

NOT_RUN = frozenset({408, 421, 429, 503})
OK = 200


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back; status 0 says that nothing whole did."""

    status: int
    body: bytes = b""
    location: str = ""


def ask(host, port, method, path, body=None, headers=None, limit=ASK_SECONDS) -> Answer:
    connection = http.client.HTTPConnection(host, port, timeout=limit)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.read(), response.headers.get("Location", ""))
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


class Runs:
    """How often each request ran, at all instances."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.by_id: Counter[str] = Counter()

    def note(self, request: str) -> None:
        with self._lock:
            self.by_id[request] += 1


def body_of(request: str, kind: str) -> bytes:
    """Return the whole answer to a request."""
    return request.encode() * (DOWNLOAD_PARTS if kind == DOWNLOAD else 1)


def heartbeat(
    machine: NodeMachine, slots: int, number: int, warm_up_left_ms: int = 0, state: str = "ready"
) -> bytes:
    """Return the body of an instance's report of this number, by default as it takes work."""
    report = {
        "address": f"{machine.ip}:{INSTANCE_PORT}",
        "info": {"service": SERVICE, "slots": slots, "zone": machine.zone, "version": "v1"},
        "status": {"state": state, "seq": number, "warmupLeftMs": warm_up_left_ms},
    }
    return json.dumps(report).encode()


class Instance(ThreadingHTTPServer):
    """An instance beside a node: runs requests, and reports itself by heartbeats."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, machine: NodeMachine, runs: Runs) -> None:
        super().__init__((machine.ip, INSTANCE_PORT), InstanceHandler)
        self.runs = runs
        self._machine = machine
        self._over = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()
        threading.Thread(target=self._report, daemon=True).start()

    def handle_error(self, request, client_address):
        """A node that has left is no matter of the instance."""

    def end(self) -> None:
        self._over.set()
        self.shutdown()
        self.server_close()

    def _report(self) -> None:
        for number in itertools.count(1):
            body = heartbeat(self._machine, SLOTS, number)
            path = f"/v1/instances/i-{self._machine.name}"
            ask(self._machine.ip, CONTROL_PORT, "PUT", path, body, limit=1.0)
            if self._over.wait(HEARTBEAT_SECONDS):
                return


class InstanceHandler(BaseHTTPRequestHandler):
    """One request at an instance; the answer holds its id."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.runs.note(request)
        time.sleep(WORK_SECONDS)
        body = body_of(request, self.path.split("/")[1])
        self.send_response(OK)
        self.send_header("Limelever-Attempt-Id", request)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_POST = do_GET  # noqa: N815

    def log_message(self, *arguments):
        """Print nothing."""


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and how it ended."""

    request: str
    kind: str
    node: str
    answer: Answer


def send(node: NodeMachine, request: str, kind: str, path: str, more=None) -> Answer:
    """Send a request to a node, with the headers ``more`` besides the usual ones."""
    headers = {
        **(more or {}),
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": request,
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
    }
    method, body = ("POST", b"{}") if kind == WRITE else ("GET", None)
    return ask(node.ip, OUTBOUND_PORT, method, path, body, headers)


class Callers:
    """Threads that send requests to nodes drawn at random, until they are stopped."""

    def __init__(self, nodes: list[NodeMachine], count: int, seed: int) -> None:
        self.sent: list[Sent] = []
        self._nodes = nodes
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(seed, number)) for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _call(self, seed: int, number: int) -> None:
        draw = random.Random(f"{seed}-{number}")
        for count in itertools.count():
            request = f"{number:02x}{count:014x}"
            node, kind = draw.choice(self._nodes), draw.choice((READ, WRITE))
            self.sent.append(self.send(node, request, kind))
            if self._over.wait(CALLER_PAUSE_SECONDS):
                return

    def send(self, node: NodeMachine, request: str, kind: str) -> Sent:
        """Send one request, and return how it ended."""
        answer = send(node, request, kind, f"/{kind}/{request}")
        return Sent(request, kind, node.name, answer)


def broken_by_calls(sent: list[Sent], runs: Counter[str]) -> list[str]:
    """Return each promise to callers that a request shows to be broken."""
    broken = []
    for each in sent:
        ran = runs[each.request]
        status = each.answer.status
        if each.kind == WRITE and ran > 1:
            broken.append(f"{each} ran {ran} times")
        if status in NOT_RUN and each.kind == WRITE and ran:
            broken.append(f"{each} was refused as not run, and ran")
        whole = body_of(each.request, each.kind)
        if status == OK and (not ran or each.answer.body != whole):
            broken.append(f"{each} has another's answer, or ran {ran} times")
        if status // 100 in (3, 4) and status not in NOT_RUN:
            broken.append(f"{each} was denied")
    return broken


@dataclass
class Operator:
    """Puts one configuration after the other, and reads them back, at machines drawn at random."""

    machines: list[ControlMachine]
    draw: random.Random
    newest: int = 0
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def change(self) -> None:
        """Put the next version until it is taken, as an operator does."""
        number = self.newest + 1
        body = self.document(number)
        end = time.monotonic() + ORDER_LIMIT_SECONDS
        while time.monotonic() < end:
            answer = self._ask("PUT", body)
            if answer.status == OK:
                self.newest = number
                self.acknowledged.append((time.monotonic(), number))
                return
            if answer.status // 100 == 4:
                self.broken.append(f"change r{number} was refused: {answer}")
                return
            time.sleep(0.1)
        self.broken.append(f"change r{number} was not taken within {ORDER_LIMIT_SECONDS} s")

    def document(self, number: int) -> bytes:
        """Return the next configuration."""
        return document(number, self.newest)

    def read(self) -> None:
        """Read at some machine: never older than what was acknowledged ``APPLY_SECONDS`` ago."""
        before = time.monotonic() - APPLY_SECONDS
        least = max((number for at, number in self.acknowledged if at < before), default=0)
        answer = self._ask("GET")
        if answer.status == OK and version_of(answer.body) < least:
            self.broken.append(f"a read gave r{version_of(answer.body)}, r{least} was taken")

    def _ask(self, method: str, body: bytes | None = None) -> Answer:
        return ask_control(self.draw.choice(self.machines), method, body)


def ask_control(
    machine: ControlMachine, method: str, body: bytes | None = None, path: str = "/v1/config"
) -> Answer:
    """Give an operator's call to a machine, and follow to the one that it names."""
    host = machine.ip
    for _ in range(3):
        answer = ask(host, CONTROL_PORT, method, path, body, limit=2.0)
        if answer.status != 307:
            return answer
        host = answer.location.removeprefix("http://").split(":")[0]
    return Answer(0)


def version_of(body: bytes) -> int:
    return int(json.loads(body)["version"].removeprefix("r"))


def document(number: int, base: int, timeout_ms: int = DEADLINE_MS) -> bytes:
    """Return a configuration whose only changing route is that of its own number."""
    kinds = {READ: "safe", WRITE: "unsafe", f"v{number}": "safe"}
    return document_of(number, base, kinds, timeout_ms)


def document_of(number: int, base: int, kinds: dict[str, str], timeout_ms: int) -> bytes:
    """Return a configuration with a route for each name, of the kind given."""
    routes = [
        {
            "name": f"r-{name}",
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": SERVICE,
            "retryAttempts": 2,
        }
        for name, kind in kinds.items()
    ]
    value = {
        "version": f"r{number}",
        "baseVersion": f"r{base}",
        "services": [{"name": SERVICE, "healthPath": "/health"}],
        "virtualHosts": [{"host": HOST_NAME, "pathRoutes": routes}],
    }
    return json.dumps(value).encode()


def is_ready(node: NodeMachine) -> bool:
    return ask(node.ip, READY_PORT, "GET", "/v1/ready", limit=1.0).status == OK
