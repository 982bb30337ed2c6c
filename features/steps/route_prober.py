"""Probes nodes directly for routes that were recently added, removed or rejected by a conflict."""

from __future__ import annotations

import itertools
import random
import threading
import time

from platform_machines import OUTBOUND_PORT, NodeMachine
from platform_traffic import APPLY_SECONDS, HOST_NAME, OK, ask
from quick_changes import QuickChanges
from strike_log import StrikeLog

DISTURBANCE_SECONDS = 3.0
"""How long after a fault a node's answers are not checked."""

CONTROL_DISRUPTED_EXTRA_SECONDS = 5.0
"""Extra time allowed for a change while a control machine is disrupted."""

PROBE_INTERVAL_SECONDS = 0.1
HTTP_NOT_FOUND = 404
DEADLINE_MS = 1500


class RouteProber:
    """Probes random nodes; undisturbed ones must answer by the acknowledged changes."""

    def __init__(
        self, nodes: list[NodeMachine], changes: QuickChanges, strikes: StrikeLog, seed: int
    ) -> None:
        self._nodes, self._changes, self._strikes = nodes, changes, strikes
        self._random = random.Random(f"questions-{seed}")
        self._count = itertools.count(1)
        self.violations: list[str] = []
        self.checked = 0

    def start(self) -> None:
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(PROBE_INTERVAL_SECONDS):
            self._probe_added(self._random.choice(self._nodes))
            self._probe_removed(self._random.choice(self._nodes))

    def _probe_added(self, node: NodeMachine) -> None:
        """Request the newest route that must be applied by now: it must not be missing."""
        started_at = time.monotonic()
        route = _latest_before(
            self._changes.news().taken_at, started_at - self._apply_limit(started_at)
        )
        if not route:
            return
        status = self._status(node, route)
        if (
            not self._was_undisturbed(node, started_at)
            or route in self._changes.news().drop_sent_at
        ):
            return
        self.checked += 1
        if status == HTTP_NOT_FOUND:
            self._record_violation(node, route, "added", started_at, status)

    def _probe_removed(self, node: NodeMachine) -> None:
        """Request the newest route that was removed or rejected: it must not be served."""
        started_at = time.monotonic()
        news = self._changes.news()
        removed = _latest_before(news.dropped_at, started_at - self._apply_limit(started_at))
        rejected = _latest_before(news.lost_at, started_at)
        route = self._random.choice((removed, rejected)) or removed or rejected
        if not route:
            return
        status = self._status(node, route)
        if not self._was_undisturbed(node, started_at) and route != rejected:
            return
        self.checked += 1
        if status == OK:
            self._record_violation(node, route, "removed or rejected", started_at, status)

    def _apply_limit(self, now: float) -> float:
        """Return how long a change may currently take to apply, in seconds."""
        disrupted = self._strikes.control_disrupted(now - DISTURBANCE_SECONDS, now)
        return APPLY_SECONDS + (CONTROL_DISRUPTED_EXTRA_SECONDS if disrupted else 0.0)

    def _was_undisturbed(self, node: NodeMachine, started_at: float) -> bool:
        now = time.monotonic()
        if self._strikes.had_unplanned(started_at - DISTURBANCE_SECONDS, now):
            return False
        return not self._strikes.disrupted(node.name, started_at - DISTURBANCE_SECONDS, now)

    def _status(self, node: NodeMachine, route: str) -> int:
        request = f"ff{next(self._count):014x}"
        headers = {
            "Host": HOST_NAME,
            "Limelever-Attempt-Id": request,
            "Limelever-Deadline-Ms": str(DEADLINE_MS),
        }
        path = f"/{route}/{request}/0"
        return ask(node.ip, OUTBOUND_PORT, "GET", path, headers=headers).status

    def _record_violation(
        self, node: NodeMachine, route: str, what: str, started_at: float, status: int
    ) -> None:
        news = self._changes.news()
        times = {**news.lost_at, **news.taken_at, **news.dropped_at}
        self.violations.append(
            f"{node.name} answered {status} for {route}, {what} "
            f"{started_at - times[route]:.3f} s before, at {started_at:.3f}"
        )


def _latest_before(times: dict[str, float], before: float) -> str:
    """Return the route with the latest time at or before ``before``, or an empty string."""
    known = [(at, route) for route, at in times.items() if at <= before]
    return max(known)[1] if known else ""
