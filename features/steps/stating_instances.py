"""Instances that state a limit or that they leave, and callers that note who passed that on."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from dataclasses import dataclass, field

from platform_machines import OUTBOUND_PORT, NodeMachine
from platform_traffic import HOST_NAME, OK, Instance, InstanceHandler, Runs

LIMIT_HEADER, LEAVING_HEADER = "Limelever-Server-Limit", "Limelever-Server-Leaving"
INSTANCE_HEADER = "X-Instance"
HEALTH_PATH = "/health"
WORK_SECONDS = 0.02
ASK_SECONDS = 3.0
DEADLINE_MS = 1000
LONGEST_PAUSE_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class Statement:
    """What an instance states from ``at`` (monotonic seconds) on; no limit is ``None``."""

    at: float
    limit: float | None = None
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that came to an instance; ``at`` in monotonic seconds."""

    at: float
    request: str


class StatingInstance(Instance):
    """The instance beside a node; it goes on reporting that it is ready."""

    def __init__(self, machine: NodeMachine) -> None:
        self.name = machine.name
        self.statements = [Statement(0.0)]
        self.arrivals: list[Arrival] = []
        super().__init__(machine, Runs())
        self.RequestHandlerClass = StatingHandler

    def state(self, limit: float | None = None, *, leaving: bool = False) -> None:
        self.statements.append(Statement(time.monotonic(), limit, leaving))


class StatingHandler(InstanceHandler):
    """Answers with what its instance states at that moment."""

    def do_GET(self):  # noqa: N802
        request = self.headers.get("Limelever-Attempt-Id", "")
        if self.path != HEALTH_PATH:
            self.server.arrivals.append(Arrival(time.monotonic(), request))
        super().do_GET()

    do_POST = do_GET  # noqa: N815

    def end_headers(self):
        stated = self.server.statements[-1]
        self.send_header(INSTANCE_HEADER, self.server.name)
        if stated.limit is not None:
            self.send_header(LIMIT_HEADER, f"{stated.limit:g}")
        if stated.leaving:
            self.send_header(LEAVING_HEADER, "1")
        super().end_headers()


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request to a node and its answer; times are monotonic seconds, status 0 is none."""

    request: str
    node: str
    sent_at: float
    ended_at: float
    status: int = 0
    instance: str = ""
    states_limit: bool = False
    states_leaving: bool = False
    retry_after: float = 0.0


@dataclass
class StatedCallers:
    """Threads that send to their own node one request after the other, until they are stopped."""

    nodes: list[NodeMachine]
    for_each: int
    pause: float
    ended: list[Exchange] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._over = threading.Event()
        self._numbers = itertools.count()
        homes = [node for node in self.nodes for _ in range(self.for_each)]
        self._threads = [threading.Thread(target=self._run, args=(home,)) for home in homes]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, home: NodeMachine) -> None:
        while not self._over.is_set():
            exchange = ask(home, f"{next(self._numbers):016x}")
            self.ended.append(exchange)
            refused = min(exchange.retry_after, LONGEST_PAUSE_SECONDS)
            self._over.wait(max(self.pause, refused))


def ask(node: NodeMachine, request: str) -> Exchange:
    """Send a request that may run again to a node."""
    headers = {
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": request,
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
    }
    sent_at = time.monotonic()
    connection = http.client.HTTPConnection(node.ip, OUTBOUND_PORT, timeout=ASK_SECONDS)
    try:
        connection.request("GET", f"/read/{request}", None, headers)
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return Exchange(request, node.name, sent_at, time.monotonic())
    finally:
        connection.close()
    found = response.headers
    return Exchange(
        request,
        node.name,
        sent_at,
        time.monotonic(),
        response.status,
        found.get(INSTANCE_HEADER, ""),
        LIMIT_HEADER in found,
        LEAVING_HEADER in found,
        float(found.get("Retry-After") or 0) if response.status != OK else 0.0,
    )
