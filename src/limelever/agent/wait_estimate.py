"""How long calls take and will have to wait, from the calls that have ended."""

from __future__ import annotations

import math
from collections import OrderedDict

from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.service_time import ServiceTime

MINIMUM_CHARGE = 0.0005
"""Least slot time of a call in seconds: calls that end at once must still move the tag."""

FIRST_CHARGE = 0.01
"""Slot time charged before any call was observed, in seconds; put right when it ends."""

FIRST_SERVICE_TIME = 0.2
"""Seconds that a call is taken to hold a slot before any was observed, for advice to callers."""

BLIND_QUEUE_PART = 0.5
"""Calls that may wait before any call was observed, as a part of the slots.

A choice: with targets of two service times or more, that many calls still start in time.
"""

GROUPS_REMEMBERED = 256
"""Groups whose service time is kept; the one observed longest ago is forgotten first."""

LONGEST_WAIT_PART = 0.5
"""Part of a call's spare time that it may be expected to wait.

Calls that would use all of it are answered as late as they can be under overload, and those
that were estimated too well start too late to finish.
"""

LONGEST_WAIT_PART_OF_TARGET = 0.5
"""Part of the time to spare before its target that a call may be expected to wait.

A call that would be late takes a slot from one that would not.
"""

LONGEST_WAIT_OF_LATE_CALLS = 0.25
"""Part of the usual service time for which a call may wait that is past its target anyway.

It takes the room that calls leave which can still be answered in time.
"""

COUNTED_LINK_PART = 0.25
"""Part of the usual service time below which the time of a body on the link decides nothing.

A choice: as long as calls may wait that are past their target anyway.
"""

SHORT_CALL_PART = 0.5
"""Part of the typical service time below which a call counts as short.

To refuse a short call saves little, and other calls often wait for its answer: it may be late.
"""

LONGEST_WAIT_PART_OF_SHORT_CALLS = 0.9
"""Part of its spare time that a short call may be expected to wait."""

LEAST_SLOTS = 1.0
"""Slots that are counted on for any call, however many more urgent calls hold: see ``slot_use``."""


class WaitEstimate:
    """Estimates for one back end; all times in seconds.

    How long a group's calls take is remembered while the group is idle: a rare short call would
    otherwise be judged by the long ones of others.
    """

    def __init__(self, slots: int, groups: GroupTable) -> None:
        self._slots = slots
        self._groups = groups
        self._service_time = ServiceTime()
        self._weighted = ServiceTime()
        self._by_group: OrderedDict[str, ServiceTime] = OrderedDict()

    def observe(self, name: str, seconds: float) -> None:
        """Take how long a call of the group ``name`` held its slot."""
        own = self._by_group.setdefault(name, ServiceTime())
        own.observe(seconds)
        self._service_time.observe(seconds)
        self._weighted.observe(seconds * (own.mean or seconds))
        self._by_group.move_to_end(name)
        if len(self._by_group) > GROUPS_REMEMBERED:
            self._by_group.popitem(last=False)

    @property
    def overall(self) -> float:
        """Return how long a call of any group takes; 0 while nothing is known."""
        return self._service_time.mean or 0.0

    @property
    def typical(self) -> float:
        """Return how long the call that holds a slot takes at a moment drawn at random.

        A mean over calls would follow the many short ones, which hold few slots.
        """
        return (self._weighted.mean or 0.0) / (self.overall or 1.0)

    def service_time(self, group: GroupQueue) -> float:
        """Return how long a call of the group takes; 0 while nothing is known."""
        return self.service_time_of(group.name)

    def service_time_of(self, name: str) -> float:
        """Return how long a call of the group ``name`` takes; 0 while nothing is known."""
        own = self._by_group.get(name)
        return (own.mean if own is not None else None) or self.overall

    def charge(self, group: GroupQueue) -> float:
        """Return the slot time to charge for a call of the group when it starts."""
        return max(self.service_time(group) or FIRST_CHARGE, MINIMUM_CHARGE)

    def wait(
        self, group: GroupQueue, virtual_time: float, urgent_slots: float = 0.0, tenant: str = ""
    ) -> float:
        """Return how long a further call of a tenant in the group would wait for a slot.

        That is the slot time of the calls which fair queueing starts before it, and the time until
        the next of the running calls ends. ``urgent_slots`` is how many slots more urgent calls
        hold on average: those that come while it waits are started before it.
        """
        step = self.charge(group) / group.weight
        ahead = group.turns.ahead(tenant)
        start = max(group.tag, virtual_time) + ahead * step
        work = ahead * self.service_time(group)
        for other in self._groups:
            if other is not group and other.calls:
                work += self._started_before(other, start) * self.service_time(other)
        slots = max(self._slots - urgent_slots, LEAST_SLOTS)
        return (work + self._until_one_ends()) / slots

    def _started_before(self, other: GroupQueue, start: float) -> int:
        """Return how many queued calls of a group have a tag before ``start``."""
        turns = math.ceil((start - other.tag) * other.weight / self.charge(other))
        return min(len(other.calls), max(0, turns))

    def _until_one_ends(self) -> float:
        """Return the mean slot time of the running calls: one of all slots ends in a part of it."""
        running = sum(group.running for group in self._groups)
        if not running:
            return 0.0
        held = sum(group.running * self.service_time(group) for group in self._groups)
        return held / running

    def is_too_long(self, group: GroupQueue, call: QueuedCall, now: float, wait: float) -> bool:
        """Return whether a call that would wait for ``wait`` seconds is better refused at once."""
        service_time = self.service_time(group)
        finished = now + service_time
        if service_time < self.typical * SHORT_CALL_PART:
            return wait > (call.deadline - finished) * LONGEST_WAIT_PART_OF_SHORT_CALLS
        longest = (call.deadline - finished) * LONGEST_WAIT_PART
        in_target = (call.target - finished) * LONGEST_WAIT_PART_OF_TARGET
        if in_target <= 0:
            in_target = service_time * LONGEST_WAIT_OF_LATE_CALLS
        return wait > min(longest, in_target)

    def is_held_up_by_link(
        self, group: GroupQueue, call: QueuedCall, now: float, whole_after: float
    ) -> bool:
        """Return whether a call is better refused for the time of its body on the link.

        A time that is short against the call's own decides nothing: an estimate of the back end
        that is too high would refuse calls that find a free slot, and never be put right.
        """
        counts = whole_after > self.service_time(group) * COUNTED_LINK_PART
        return counts and self.is_too_long(group, call, now, whole_after)

    def is_blind(self, call: QueuedCall, queued: int) -> bool:
        """Return whether a call with a target is refused as nothing tells how long it would wait.

        After a restart of everything all callers come at once, to back ends that are cold.
        """
        if self.overall or math.isinf(call.target):
            return False
        return queued >= self._slots * BLIND_QUEUE_PART

    def is_hopeless(self, group: GroupQueue, call: QueuedCall, now: float) -> bool:
        """Return whether a call waited so long that it can no longer finish in time.

        A call that did not wait is never hopeless: it is what puts an estimate right that has
        become too high.
        """
        waited = now > call.arrived_at
        return waited and now + self.service_time(group) > call.deadline
