"""Remembers the runs of instances that have left: these take no new calls as long as they live.

A run leaves by a report, a response or its end. Whichever it was, and whichever agent is beside it
now, it holds on. Runs are told apart by the identifier of their instance and their start time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from msgspec import Struct

START_TIME_UNKNOWN = 0
"""Start time of a run that is not known; it matches any run of its identifier."""

MAX_RUNS = 4096
"""Runs that are remembered; the ones that left first are forgotten first."""

RETENTION_SECONDS = 600.0
"""How long a run is remembered. Instances end seconds after their leave, and reports are late by
seconds."""


class DepartedRun(Struct, frozen=True):
    """A run that has left; its start is in Unix milliseconds."""

    instance: str
    started_at_ms: int = START_TIME_UNKNOWN


class _Entry(Struct, frozen=True):
    started_at_ms: int
    added_at: float


class DepartedRuns:
    """The latest run of each instance that has left; times in seconds, monotonic."""

    def __init__(self, max_runs: int = MAX_RUNS) -> None:
        self._max_runs = max_runs
        self._by_instance: OrderedDict[str, _Entry] = OrderedDict()

    def __iter__(self) -> Iterator[DepartedRun]:
        """Iterate over the remembered runs, in the order in which they left."""
        for instance, entry in self._by_instance.items():
            yield DepartedRun(instance, entry.started_at_ms)

    def add(self, run: DepartedRun, now: float = 0.0) -> bool:
        """Remember a run that has left; return whether that was not known before."""
        if self.has(run.instance, run.started_at_ms):
            return False
        self._by_instance[run.instance] = _Entry(run.started_at_ms, now)
        self._by_instance.move_to_end(run.instance)
        if len(self._by_instance) > self._max_runs:
            self._by_instance.popitem(last=False)
        return True

    def has(self, instance: str, started_at_ms: int = START_TIME_UNKNOWN) -> bool:
        """Return whether this run has left, or a later one of its identifier."""
        entry = self._by_instance.get(instance)
        if entry is None:
            return False
        return not START_TIME_UNKNOWN < entry.started_at_ms < started_at_ms

    def expire(self, now: float) -> None:
        """Forget the runs that left longer ago than the retention period."""
        while self._by_instance:
            oldest = next(iter(self._by_instance.values()))
            if now < oldest.added_at + RETENTION_SECONDS:
                return
            self._by_instance.popitem(last=False)
