"""One group's queue and its place in virtual time."""

from __future__ import annotations

import math
from collections import OrderedDict

from msgspec import Struct, field


class QueuedCall(Struct, frozen=True):
    """A call that waits for a slot; times in monotonic seconds, ``size`` in bytes.

    An answer after ``target`` is worth less, one after ``deadline`` nothing.
    """

    call: int
    group: str
    deadline: float
    size: int
    arrived_at: float = math.inf
    target: float = math.inf


class GroupQueue(Struct):
    """Calls of one group in order of arrival.

    ``tag`` is the virtual start time of the group's next call: the slot time charged to the
    group so far, divided by its weight.
    """

    name: str
    weight: int
    tag: float = 0.0
    running: int = 0
    queued_bytes: int = 0
    calls: OrderedDict[int, QueuedCall] = field(default_factory=OrderedDict)

    @property
    def active(self) -> bool:
        """Return whether the group has a call waiting or running."""
        return bool(self.calls) or self.running > 0

    @property
    def oldest(self) -> QueuedCall:
        """Return the call that waited longest; raises ``StopIteration`` without any."""
        return next(iter(self.calls.values()))

    def append(self, call: QueuedCall) -> None:
        """Put a call at the end."""
        self.calls[call.call] = call
        self.queued_bytes += call.size

    def pop_oldest(self) -> QueuedCall:
        """Take the call that waited longest."""
        _, call = self.calls.popitem(last=False)
        self.queued_bytes -= call.size
        return call

    def pop_newest(self) -> QueuedCall:
        """Take the call that arrived last."""
        _, call = self.calls.popitem(last=True)
        self.queued_bytes -= call.size
        return call

    def remove(self, call: int) -> None:
        """Take one call out, wherever it stands."""
        removed = self.calls.pop(call)
        self.queued_bytes -= removed.size

    def charge(self, seconds: float) -> None:
        """Move the tag by slot time used (negative: charged too much before)."""
        self.tag += seconds / self.weight

    def change_weight(self, weight: int, virtual_time: float) -> None:
        """Take a new weight; what is owed counts by it from now on."""
        self.tag = virtual_time + (self.tag - virtual_time) * self.weight / weight
        self.weight = weight
