"""Reports which processes of a soak test waited for a CPU, from the scheduler statistics of Linux.

The output is for diagnosis only; it does not affect the result of the test.
"""

from __future__ import annotations

import os
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from background_thread import BackgroundThread
from platform_machines import Machine

SAMPLE_INTERVAL_SECONDS = 0.5
REPORTED_WAIT_FRACTION = 0.8
"""Fraction of a sampling interval; processes that waited for longer are reported."""

REPORTED_DELAY_SECONDS = 0.5
NANOSECONDS = 1_000_000_000
UNINTERRUPTIBLE = "D"
TEST_PROCESS = "test process"


@dataclass(frozen=True, slots=True)
class CpuSample:
    """Run and wait times of a process's first thread, in seconds, and its state."""

    ran: float
    waited: float
    state: str

    @classmethod
    def at(cls, process_id: int) -> CpuSample | None:
        """Return the current sample, or ``None`` if the process has exited."""
        folder = Path(f"/proc/{process_id}")
        try:
            ran, waited, _ = (folder / "schedstat").read_text().split()
            state = (folder / "stat").read_text().rsplit(")", 1)[1].split()[0]
        except (OSError, IndexError, ValueError):
            return None
        return cls(int(ran) / NANOSECONDS, int(waited) / NANOSECONDS, state)


class CpuWaitMonitor(BackgroundThread):
    """Samples the processes of all machines until it is stopped."""

    def __init__(self, machines: Sequence[Machine]) -> None:
        super().__init__()
        self._machines = machines
        self._last: dict[int, CpuSample] = {}

    def _run(self) -> None:
        sampled_at = time.monotonic()
        while not self._stopped.wait(SAMPLE_INTERVAL_SECONDS):
            now = time.monotonic()
            span, sampled_at = now - sampled_at, now
            lines = (
                []
                if span < SAMPLE_INTERVAL_SECONDS + REPORTED_DELAY_SECONDS
                else [f"{span:.2f} s between samples"]
            )
            lines += self._sample(span)
            if lines:
                print(f"{now:10.3f}  cores: {'; '.join(lines)}", flush=True)

    def _sample(self, span: float) -> list[str]:
        """Return a line per process that waited most of ``span`` or is blocked in the kernel."""
        names = {each.process.pid: each.name for each in self._machines if each.running}
        samples = {pid: CpuSample.at(pid) for pid in (*names, os.getpid())}
        lines = []
        for pid, sample in samples.items():
            last = self._last.get(pid)
            if sample is None or last is None:
                continue
            waited, name = sample.waited - last.waited, names.get(pid, TEST_PROCESS)
            if waited > REPORTED_WAIT_FRACTION * span or sample.state == UNINTERRUPTIBLE:
                lines.append(
                    f"{name} {sample.state} ran {sample.ran - last.ran:.2f} waited {waited:.2f}"
                )
        self._last = {pid: sample for pid, sample in samples.items() if sample is not None}
        return lines
