"""How long calls take and will have to wait, from the calls that have ended."""

from __future__ import annotations

from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.service_time import ServiceTime

LONGEST_WAIT_PART = 0.5
"""Part of a call's spare time that it may be expected to wait.

Calls that would use all of it are answered as late as they can be under overload, and those
that were estimated too well start too late to finish.
"""

LONGEST_WAIT_PART_OF_TARGET = 0.5
"""Part of the time to spare before its target that a call may be expected to wait.

A call that would be late takes a slot from one that would not.
"""

SHORT_CALL_PART = 0.5
"""Part of the usual service time below which a call counts as short.

To refuse a short call saves little, and other calls often wait for its answer: it may be late.
"""

LONGEST_WAIT_PART_OF_SHORT_CALLS = 0.9
"""Part of its spare time that a short call may be expected to wait."""

MINIMUM_RETRY_AFTER = 0.1
"""Least advice in seconds to a refused caller."""


class WaitEstimate:
    """Estimates for one back end; all times in seconds."""

    def __init__(self, slots: int, groups: GroupTable) -> None:
        self._slots = slots
        self._groups = groups
        self._service_time = ServiceTime()

    def observe(self, group: GroupQueue, seconds: float) -> None:
        """Take how long a call of a group held its slot."""
        group.service_time.observe(seconds)
        self._service_time.observe(seconds)

    @property
    def overall(self) -> float:
        """Return how long a call of any group takes; 0 while nothing is known."""
        return self._service_time.mean or 0.0

    def service_time(self, group: GroupQueue) -> float:
        """Return how long a call of the group takes; 0 while nothing is known."""
        return group.service_time.mean or self._service_time.mean or 0.0

    def wait(self, group: GroupQueue) -> float:
        """Return how long a further call of the group would wait for a slot."""
        ahead = self._groups.calls_ahead_of_next(group)
        return ahead * (self._service_time.mean or 0.0) / self._slots

    def is_too_long(self, group: GroupQueue, call: QueuedCall, now: float) -> bool:
        """Return whether a call that would have to wait is better refused at once."""
        service_time = self.service_time(group)
        finished = now + service_time
        if service_time < self.overall * SHORT_CALL_PART:
            return self.wait(group) > (call.deadline - finished) * LONGEST_WAIT_PART_OF_SHORT_CALLS
        longest = (call.deadline - finished) * LONGEST_WAIT_PART
        in_target = (call.target - finished) * LONGEST_WAIT_PART_OF_TARGET
        return self.wait(group) > min(longest, in_target)

    def is_hopeless(self, group: GroupQueue, call: QueuedCall, now: float) -> bool:
        """Return whether a call waited so long that it can no longer finish in time.

        A call that did not wait is never hopeless: it is what puts an estimate right that has
        become too high.
        """
        waited = now > call.arrived_at
        return waited and now + self.service_time(group) > call.deadline

    def advice(self, name: str) -> float:
        """Return after how many seconds a refused caller of a group may find room."""
        group = self._groups.find(name)
        wait = 0.0 if group is None else self.wait(group)
        return max(wait, MINIMUM_RETRY_AFTER)
