"""Asks nodes whether they are ready, some seconds after they were asked to stop."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from platform_machines import NodeMachine
from platform_traffic import is_ready
from strike_log import StrikeLog

AFTER_SECONDS = 4.0
LARGEST_SHARE_READY = 0.25
"""Of the nodes that were sent SIGTERM in one round."""


class StoppedReadiness:
    """Watches stops; of those of a round no more than a quarter may show a node that is ready.

    A node whose process has ended isn't ready. One that something unplanned came to isn't counted.
    """

    def __init__(
        self,
        strikes: StrikeLog,
        ask: Callable[[NodeMachine], bool] = is_ready,
        after: float = AFTER_SECONDS,
    ) -> None:
        self._strikes, self._ask, self._after = strikes, ask, after
        self._waiting: list[threading.Timer] = []
        self._ready_by_stop: list[tuple[str, bool]] = []
        self.broken: list[str] = []
        self.asked = self.ready = 0

    def watch(self, node: NodeMachine) -> None:
        """Ask a node that has been sent its first SIGTERM, when the time has come."""
        given = (node, node.process, time.monotonic())
        timer = threading.Timer(self._after, self._look, given)
        self._waiting.append(timer)
        timer.start()

    def judge(self) -> None:
        """Wait for the last answers of a round, and judge them all."""
        while self._waiting:
            self._waiting.pop().join()
        stops, self._ready_by_stop = self._ready_by_stop, []
        ready = [name for name, was_ready in stops if was_ready]
        self.asked += len(stops)
        self.ready += len(ready)
        if len(ready) > LARGEST_SHARE_READY * len(stops):
            self.broken.append(
                f"of {len(stops)} nodes that were asked to stop these were ready "
                f"{self._after} s later: {ready}"
            )

    def _look(self, node: NodeMachine, process, stopped_at: float) -> None:
        was_ready = self._runs(node, process) and self._ask(node) and self._runs(node, process)
        now = time.monotonic()
        if self._strikes.is_out(node) or self._strikes.unplanned_of(node.name, stopped_at, now):
            return
        if was_ready:
            told = f"{node.name} is ready {now - stopped_at:.3f} s after SIGTERM"
            print(f"{now:10.3f}  {told}", flush=True)
        self._ready_by_stop.append((node.name, was_ready))

    def _runs(self, node: NodeMachine, process) -> bool:
        return node.process is process and process.poll() is None
