"""Identifies a run of an instance, and remembers what it has stated, whichever agent is beside it.

An agent that restarts is a new endpoint beside the same run. What the run has stated holds on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Struct

from limelever.protocol.endpoints_pb2 import Endpoint

ValueT = TypeVar("ValueT")

MAX_RUNS = 4096
"""Runs that are remembered; the oldest statements are dropped first."""

START_TIME_UNKNOWN = 0


class InstanceRun(Struct, frozen=True):
    """A run of an instance; its start in Unix milliseconds tells runs of one identifier apart."""

    service: str
    instance: str
    started_at_ms: int = START_TIME_UNKNOWN

    @classmethod
    def of(cls, endpoint: Endpoint) -> InstanceRun:
        """Return the run beside an endpoint; without an identifier, each endpoint is one."""
        instance = endpoint.run or endpoint.instance
        return cls(endpoint.service, instance, endpoint.run_started_ms)

    def is_same(self, other: InstanceRun) -> bool:
        """Return whether these are one run; an unknown start matches any run of the identifier."""
        if (self.service, self.instance) != (other.service, other.instance):
            return False
        starts = (self.started_at_ms, other.started_at_ms)
        return starts[0] == starts[1] or START_TIME_UNKNOWN in starts


class _Entry(Struct, Generic[ValueT], frozen=True):
    run: InstanceRun
    value: ValueT


class RunMemory(Generic[ValueT]):
    """The latest value of each run, for the latest run of each identifier."""

    def __init__(self) -> None:
        self._by_name: OrderedDict[tuple[str, str], _Entry[ValueT]] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def get(self, run: InstanceRun) -> ValueT | None:
        """Return the value of a run, ``None`` if there is none."""
        entry = self._by_name.get((run.service, run.instance))
        return entry.value if entry is not None and entry.run.is_same(run) else None

    def put(self, run: InstanceRun, value: ValueT) -> None:
        """Set the value of a run, unless a later run of its identifier has one."""
        name = (run.service, run.instance)
        entry = self._by_name.get(name)
        if entry is not None and 0 < run.started_at_ms < entry.run.started_at_ms:
            return
        if entry is not None and run.started_at_ms == START_TIME_UNKNOWN:
            run = entry.run
        self._by_name[name] = _Entry(run, value)
        self._by_name.move_to_end(name)
        if len(self._by_name) > MAX_RUNS:
            self._by_name.popitem(last=False)

    def drop(self, is_unused: Callable[[ValueT], bool]) -> None:
        """Remove the values that are unused."""
        for name in [name for name, entry in self._by_name.items() if is_unused(entry.value)]:
            del self._by_name[name]

    def remove(self, run: InstanceRun) -> None:
        """Remove the value of a run, if there is one."""
        if self.get(run) is not None:
            del self._by_name[run.service, run.instance]
