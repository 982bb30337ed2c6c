"""What the source spends and sees over a stretch in which its relays may die."""

from __future__ import annotations

import time
from dataclasses import dataclass

from limelever_lab.bench.testbed import wait_for
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.metrics import control_frames

QUIET_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class SourceUse:
    """All replicas together: core seconds, and control bytes and frames both ways."""

    seconds: float
    processor: float
    control_bytes: float
    control_frames: float


class SourceMeter:
    """Measures from its making to :meth:`stop`; the replicas must live through it."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._before = self._read()

    def stop(self) -> SourceUse:
        """Return the use since the making."""
        now = self._read()
        then = self._before
        return SourceUse(
            seconds=now.seconds - then.seconds,
            processor=now.processor - then.processor,
            control_bytes=now.control_bytes - then.control_bytes,
            control_frames=now.control_frames - then.control_frames,
        )

    def _read(self) -> SourceUse:
        sources = self._fleet.sources
        return SourceUse(
            seconds=time.monotonic(),
            processor=sum(member.process.processor_seconds() for member in sources),
            control_bytes=sum(member.control_bytes() for member in sources),
            control_frames=sum(control_frames(member.samples()) for member in sources),
        )


def quiet_use(fleet: Fleet) -> SourceUse:
    """Let the fleet rest for ``QUIET_SECONDS`` and return what the source used."""
    meter = SourceMeter(fleet)
    wait_for(QUIET_SECONDS)
    return meter.stop()
