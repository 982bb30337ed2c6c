"""The queue of one group and its position in virtual time."""

from __future__ import annotations

import math
from collections import OrderedDict

from msgspec import Struct, field

from limelever.agent.tenant_scheduler import TenantRates, TenantScheduler


class QueuedCall(Struct, frozen=True):
    """A call waiting for a slot; times in monotonic seconds, ``size`` in bytes.

    ``target`` is the soft deadline after which the response loses value, ``deadline`` the hard one.
    """

    number: int
    group: str
    deadline: float
    size: int
    arrived_at: float = math.inf
    target: float = math.inf
    tenant: str = ""


def _default_scheduler() -> TenantScheduler:
    return TenantScheduler(TenantRates())


class GroupQueue(Struct):
    """Waiting calls of one group in arrival order, with the scheduler of their tenants.

    ``start_tag`` is the virtual start time of the group's next call: the slot time charged to the
    group so far, divided by its weight.
    """

    name: str
    weight: int
    start_tag: float = 0.0
    running: int = 0
    queued_bytes: int = 0
    calls: OrderedDict[int, QueuedCall] = field(default_factory=OrderedDict)
    tenants: TenantScheduler = field(default_factory=_default_scheduler)

    @property
    def active(self) -> bool:
        """Return whether the group has a call waiting or running."""
        return bool(self.calls) or self.running > 0

    @property
    def next_call(self) -> QueuedCall:
        """Return the call to start next; raises ``ValueError`` if there is none."""
        return self.calls[self.tenants.next_call]

    def append(self, call: QueuedCall) -> None:
        """Add a call at the end of the queue."""
        self.calls[call.number] = call
        self.tenants.add(call.number, call.tenant)
        self.queued_bytes += call.size

    def pop_next(self) -> QueuedCall:
        """Remove and return the call to start next."""
        call = self.calls.pop(self.tenants.next_call)
        self.tenants.mark_started(call.number, call.tenant)
        self.queued_bytes -= call.size
        return call

    def pop_newest(self) -> QueuedCall:
        """Remove and return the call that arrived last."""
        call = next(reversed(self.calls.values()))
        self.remove(call.number)
        return call

    def remove(self, call: int) -> None:
        """Remove a call from any position."""
        removed = self.calls.pop(call)
        self.tenants.remove(call, removed.tenant)
        self.queued_bytes -= removed.size

    def charge(self, seconds: float) -> None:
        """Advance the tag by used slot time; a negative value corrects an overcharge."""
        self.start_tag += seconds / self.weight

    def change_weight(self, weight: int, virtual_time: float) -> None:
        """Set a new weight and rescale outstanding charges to it."""
        self.start_tag = virtual_time + (self.start_tag - virtual_time) * self.weight / weight
        self.weight = weight
