"""One group's queue and its place in virtual time."""

from __future__ import annotations

import math
from collections import OrderedDict

from msgspec import Struct, field

from limelever.agent.tenant_turns import TenantRates, TenantTurns


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
    tenant: str = ""


def _own_turns() -> TenantTurns:
    return TenantTurns(TenantRates())


class GroupQueue(Struct):
    """Calls of one group in order of arrival, with the turns of their tenants.

    ``tag`` is the virtual start time of the group's next call: the slot time charged to the
    group so far, divided by its weight.
    """

    name: str
    weight: int
    tag: float = 0.0
    running: int = 0
    queued_bytes: int = 0
    calls: OrderedDict[int, QueuedCall] = field(default_factory=OrderedDict)
    turns: TenantTurns = field(default_factory=_own_turns)

    @property
    def active(self) -> bool:
        """Return whether the group has a call waiting or running."""
        return bool(self.calls) or self.running > 0

    @property
    def next_call(self) -> QueuedCall:
        """Return the call whose turn it is; raises ``ValueError`` without any."""
        return self.calls[self.turns.next_call]

    def append(self, call: QueuedCall) -> None:
        """Put a call at the end."""
        self.calls[call.call] = call
        self.turns.add(call.call, call.tenant)
        self.queued_bytes += call.size

    def pop_next(self) -> QueuedCall:
        """Take the call whose turn it is."""
        call = self.calls.pop(self.turns.next_call)
        self.turns.served(call.call, call.tenant)
        self.queued_bytes -= call.size
        return call

    def pop_newest(self) -> QueuedCall:
        """Take the call that arrived last."""
        call = next(reversed(self.calls.values()))
        self.remove(call.call)
        return call

    def remove(self, call: int) -> None:
        """Take one call out, wherever it stands."""
        removed = self.calls.pop(call)
        self.turns.remove(call, removed.tenant)
        self.queued_bytes -= removed.size

    def charge(self, seconds: float) -> None:
        """Move the tag by slot time used (negative: charged too much before)."""
        self.tag += seconds / self.weight

    def change_weight(self, weight: int, virtual_time: float) -> None:
        """Take a new weight; what is owed counts by it from now on."""
        self.tag = virtual_time + (self.tag - virtual_time) * self.weight / weight
        self.weight = weight
