"""Direct requests to nodes for the routes that changes have just added, dropped or lost."""

from __future__ import annotations

import itertools
import random
import threading
import time

from platform_machines import OUTBOUND_PORT, NodeMachine
from platform_traffic import APPLY_SECONDS, HOST_NAME, OK, ask
from quick_changes import QuickChanges
from strike_log import StrikeLog

CONTACT_SECONDS = 3.0
STRETCH_SECONDS = 5.0
"""As much longer a change may take beside a disrupted control machine; a bound of the platform."""

PAUSE_SECONDS = 0.1
MISSING = 404
DEADLINE_MS = 1500


class RouteProber:
    """Asks nodes drawn at random; calm ones must answer by what was taken."""

    def __init__(
        self, nodes: list[NodeMachine], changes: QuickChanges, strikes: StrikeLog, seed: int
    ) -> None:
        self._nodes, self._changes, self._strikes = nodes, changes, strikes
        self._draw = random.Random(f"questions-{seed}")
        self._count = itertools.count(1)
        self.broken: list[str] = []
        self.judged = 0

    def start(self) -> None:
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._over.wait(PAUSE_SECONDS):
            self._ask_added(self._draw.choice(self._nodes))
            self._ask_missing(self._draw.choice(self._nodes))

    def _ask_added(self, node: NodeMachine) -> None:
        """Ask for the newest route that must be there: it isn't missing."""
        begun = time.monotonic()
        route = _newest(self._changes.news().taken_at, begun - self._bound(begun))
        if not route:
            return
        status = self._status(node, route)
        if not self._was_calm(node, begun) or route in self._changes.news().drop_sent_at:
            return
        self.judged += 1
        if status == MISSING:
            self._break(node, route, "taken", begun, status)

    def _ask_missing(self, node: NodeMachine) -> None:
        """Ask for the newest route that was dropped, or never taken: it isn't served."""
        begun = time.monotonic()
        news = self._changes.news()
        dropped = _newest(news.dropped_at, begun - self._bound(begun))
        lost = _newest(news.lost_at, begun)
        route = self._draw.choice((dropped, lost)) or dropped or lost
        if not route:
            return
        status = self._status(node, route)
        if not self._was_calm(node, begun) and route != lost:
            return
        self.judged += 1
        if status == OK:
            self._break(node, route, "dropped or lost", begun, status)

    def _bound(self, now: float) -> float:
        """Return how long a change may take now, in seconds."""
        struck = self._strikes.control_disrupted(now - CONTACT_SECONDS, now)
        return APPLY_SECONDS + (STRETCH_SECONDS if struck else 0.0)

    def _was_calm(self, node: NodeMachine, begun: float) -> bool:
        now = time.monotonic()
        if self._strikes.had_unplanned(begun - CONTACT_SECONDS, now):
            return False
        return not self._strikes.disrupted(node.name, begun - CONTACT_SECONDS, now)

    def _status(self, node: NodeMachine, route: str) -> int:
        request = f"ff{next(self._count):014x}"
        headers = {
            "Host": HOST_NAME,
            "Limelever-Attempt-Id": request,
            "Limelever-Deadline-Ms": str(DEADLINE_MS),
        }
        path = f"/{route}/{request}/0"
        return ask(node.ip, OUTBOUND_PORT, "GET", path, headers=headers).status

    def _break(self, node: NodeMachine, route: str, what: str, begun: float, status: int) -> None:
        news = self._changes.news()
        times = {**news.lost_at, **news.taken_at, **news.dropped_at}
        self.broken.append(
            f"{node.name} answered {status} for {route}, {what} "
            f"{begun - times[route]:.3f} s before, at {begun:.3f}"
        )


def _newest(times: dict[str, float], before: float) -> str:
    """Return the route that something happened to last, ``before`` or earlier."""
    known = [(at, route) for route, at in times.items() if at <= before]
    return max(known)[1] if known else ""
