"""Writes at a steady pace, each with its fate and duration: how the source's faults show."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

from limelever.common.errors import Failure
from limelever_lab.bench.testbed import Testbed

PACE_SECONDS = 0.1
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class ProbedWrite:
    """A write: when it began (monotonic), how long it took, its version or its failure."""

    began: float
    duration_ms: float
    version: int
    accepted_at: float
    failure: str


class WriteProbe:
    """Makes a change to a common resource every ``PACE_SECONDS``, in a thread of its own.

    A client resends under the same request id until the write is settled, as an operator's does,
    so a fault shows as a long duration first and as a failure only after the client's limit.
    """

    def __init__(self, testbed: Testbed) -> None:
        self._testbed = testbed
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.writes: list[ProbedWrite] = []

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> list[ProbedWrite]:
        """End after the write under way and return all."""
        self._stop.set()
        self._thread.join()
        return self.writes

    def _run(self) -> None:
        while not self._stop.is_set():
            began = time.monotonic()
            answer = self._testbed.try_change_common()
            duration = (time.monotonic() - began) * MILLISECONDS
            if isinstance(answer, Failure):
                write = ProbedWrite(began, duration, 0, 0.0, answer.kind.value)
            else:
                write = ProbedWrite(began, duration, answer.version, answer.accepted_at, "")
            self.writes.append(write)
            self._stop.wait(PACE_SECONDS)
