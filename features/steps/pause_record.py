"""Records when the test process itself stood still, and the reason as far as Linux reports it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from background_thread import BackgroundThread

TICK_SECONDS = 0.02
RECORDED_SECONDS = 0.2
NANOSECONDS = 1_000_000_000
OWN_SCHEDSTAT = Path("/proc/thread-self/schedstat")


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which no thread that wanted to run did; in monotonic seconds.

    ``ran`` is the processor time of the whole process in it: about its length if another thread
    held the interpreter. ``waited`` is how long the recording thread waited for a processor.
    """

    begun_at: float
    ended_at: float
    ran: float
    waited: float

    def __str__(self) -> str:
        seconds = self.ended_at - self.begun_at
        return (
            f"{seconds:.2f} s from {self.begun_at:.2f} (process ran {self.ran:.2f} s, "
            f"waited for a processor {self.waited:.2f} s)"
        )


class PauseRecord(BackgroundThread):
    """Notes each tick of a thread that comes late."""

    def __init__(self) -> None:
        super().__init__()
        self.pauses: list[Pause] = []

    def between(self, begin: float, end: float) -> list[Pause]:
        """Return the pauses that overlap a span."""
        return [each for each in self.pauses if each.begun_at < end and each.ended_at > begin]

    def _run(self) -> None:
        last, ran, waited = time.monotonic(), time.process_time(), waited_seconds()
        while not self._stopped.wait(TICK_SECONDS):
            now = time.monotonic()
            ran_now, waited_now = time.process_time(), waited_seconds()
            if now - last > TICK_SECONDS + RECORDED_SECONDS:
                self.pauses.append(Pause(last, now, ran_now - ran, waited_now - waited))
            last, ran, waited = now, ran_now, waited_now


def waited_seconds() -> float:
    """Return for how long this thread has waited for a processor."""
    return int(OWN_SCHEDSTAT.read_text().split()[1]) / NANOSECONDS
