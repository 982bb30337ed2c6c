"""Instances that say that they leave, and serve on; reports may be late, health responses wrong."""

from __future__ import annotations

import threading
import time

from platform_machines import CONTROL_PORT, NodeMachine
from platform_traffic import OK, SLOTS, Instance, InstanceHandler, Runs, ask, heartbeat
from stating_instances import HEALTH_PATH, Arrival

DRAINING, ENDED = "draining", "ended"
ANSWER_SECONDS = 1.0
"""Time after which an instance no longer waits for the answer to a report."""


class LeavingInstance(Instance):
    """The instance beside a node; it reports until it leaves."""

    def __init__(self, machine: NodeMachine) -> None:
        self.name = machine.name
        self.identifier = f"i-{machine.name}"
        self.arrivals: list[Arrival] = []
        self.left = False
        self.health_stays_positive = False
        self._number = 0
        self._lock = threading.Lock()
        super().__init__(machine, Runs())
        self.RequestHandlerClass = LeavingHandler

    @property
    def healthy(self) -> bool:
        return not self.left or self.health_stays_positive

    def leave(self, how: str) -> tuple[int, float]:
        """Say that it leaves; return the status of the answer and how long that took."""
        self.left = True
        begun = time.monotonic()
        status = self.send(self.report(DRAINING)) if how == DRAINING else self.send(None)
        return status, time.monotonic() - begun

    def report(self, state: str = "ready") -> bytes:
        """Return the next report, which may be sent later."""
        with self._lock:
            self._number += 1
            return heartbeat(self._machine, SLOTS, self._number, state=state)

    def send(self, report: bytes | None) -> int:
        """Send a report, or without one the end of the instance; return the status."""
        method = "DELETE" if report is None else "PUT"
        path = f"/v1/instances/{self.identifier}"
        return ask(
            self._machine.ip, CONTROL_PORT, method, path, report, limit=ANSWER_SECONDS
        ).status

    def _report(self) -> None:
        while not self._over.is_set() and not self.left:
            self.send(self.report())
            self._over.wait(0.5)


class LeavingHandler(InstanceHandler):
    """Notes each request that comes, and answers the health path."""

    def do_GET(self):  # noqa: N802
        if self.path == HEALTH_PATH:
            self.answer_health()
            return
        request = self.headers.get("Limelever-Attempt-Id", "")
        self.server.arrivals.append(Arrival(time.monotonic(), request))
        super().do_GET()

    do_POST = do_GET  # noqa: N815

    def answer_health(self):
        self.send_response(OK if self.server.healthy else 503)
        self.send_header("Limelever-Instance-Id", self.server.identifier)
        self.send_header("Content-Length", "0")
        self.end_headers()
