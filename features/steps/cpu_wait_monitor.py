"""Tells which processes of a soak stood still, and whether they waited for a core meanwhile.

For traces only: nothing is excused by it. Linux counts for each thread how long it ran and how long
it was ready to run and had no core.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from platform_machines import Machine

LOOK_SECONDS = 0.5
TOLD_SHARE = 0.8
"""Of a look's span: processes that waited longer are printed."""

TOLD_LATE_SECONDS = 0.5
NANOSECONDS = 1_000_000_000
IN_THE_KERNEL = "D"
HARNESS = "the soak itself"


@dataclass(frozen=True, slots=True)
class Look:
    """What the system counts of a process's first thread, in seconds, and its state."""

    ran: float
    waited: float
    state: str

    @classmethod
    def at(cls, process_id: int) -> Look | None:
        """Return what is counted now; nothing if the process has gone."""
        folder = Path(f"/proc/{process_id}")
        try:
            ran, waited, _ = (folder / "schedstat").read_text().split()
            state = (folder / "stat").read_text().rsplit(")", 1)[1].split()[0]
        except (OSError, IndexError, ValueError):
            return None
        return cls(int(ran) / NANOSECONDS, int(waited) / NANOSECONDS, state)


class CpuWaitMonitor:
    """Looks at the machines' processes until it is stopped."""

    def __init__(self, machines: Sequence[Machine]) -> None:
        self._machines = machines
        self._over = threading.Event()
        self._last: dict[int, Look] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def _run(self) -> None:
        looked_at = time.monotonic()
        while not self._over.wait(LOOK_SECONDS):
            now = time.monotonic()
            span, looked_at = now - looked_at, now
            told = (
                [] if span < LOOK_SECONDS + TOLD_LATE_SECONDS else [f"{span:.2f} s between looks"]
            )
            told += self._look(span)
            if told:
                print(f"{now:10.3f}  cores: {'; '.join(told)}", flush=True)

    def _look(self, span: float) -> list[str]:
        """Return which processes waited most of a span, or stand in the kernel."""
        names = {each.process.pid: each.name for each in self._machines if each.running}
        seen = {pid: Look.at(pid) for pid in (*names, os.getpid())}
        told = []
        for pid, look in seen.items():
            last = self._last.get(pid)
            if look is None or last is None:
                continue
            waited, name = look.waited - last.waited, names.get(pid, HARNESS)
            if waited > TOLD_SHARE * span or look.state == IN_THE_KERNEL:
                told.append(
                    f"{name} {look.state} ran {look.ran - last.ran:.2f} waited {waited:.2f}"
                )
        self._last = {pid: look for pid, look in seen.items() if look is not None}
        return told
