"""Weighted fair queueing of a back end's slots between groups.

Start-time fair queueing: each group has a tag in virtual time, the group with the lowest tag
gets the next free slot, and the tag moves on by the slot time used divided by the weight. The
slot time is charged by estimate at the start and put right at the end, so a group pays for
the time it holds slots and not for the number of its calls. It is work-conserving: a free slot
never waits while any group has a call queued. See docs/design/fair-shares.md.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from limelever.agent.deadlines import DeadlineHeap
from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.service_time import ServiceTime
from limelever.common.errors import ErrorKind, Failure

MINIMUM_CHARGE = 0.0005
"""Least slot time of a call in seconds: calls that end at once must still move the tag."""

FIRST_CHARGE = 0.01
"""Slot time charged before any call was observed, in seconds; put right when it ends."""

MINIMUM_RETRY_AFTER = 0.1
"""Least advice in seconds to a refused caller."""

POOLED_GROUP = ""
"""Queue that groups without a share use together once too many of them are active."""


@dataclass(frozen=True, slots=True)
class QueueLimits:
    """Bounds of the queue: ``group_calls`` waiting calls a group, ``total_bytes`` in all."""

    slots: int = 6
    group_calls: int = 64
    total_bytes: int = 8 * 1024 * 1024
    default_weight: int = 1
    unlisted_groups: int = 32


@dataclass(frozen=True, slots=True)
class Eviction:
    """A queued call refused to make room for a group that is below its part of the bytes."""

    call: int
    failure: Failure


@dataclass(frozen=True, slots=True)
class _RunningCall:
    group: str
    started_at: float
    charged: float


class FairQueue:
    """Divides slots between groups; times are monotonic seconds given by the caller."""

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._weights: dict[str, int] = {}
        self._groups: dict[str, GroupQueue] = {}
        self._group_of: dict[int, str] = {}
        self._running: dict[int, _RunningCall] = {}
        self._deadlines = DeadlineHeap()
        self._service_time = ServiceTime()
        self._virtual_time = 0.0
        self._queued_bytes = 0

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._group_of)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def queued_bytes(self) -> int:
        """Return the bytes held by waiting calls."""
        return self._queued_bytes

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Take the weights of all groups that have a share; others get the default weight."""
        self._weights = dict(weights)
        for group in self._groups.values():
            group.change_weight(self._weight(group.name), self._virtual_time)

    def offer(self, call: QueuedCall, now: float) -> Failure | tuple[Eviction, ...]:
        """Queue a call, or refuse it at once (NOT RUN) when it cannot make its deadline.

        Returns the calls of other groups that lost their place for it.
        """
        group = self._group(call.group)
        failure = self._refusal(group, call, now)
        if failure is None:
            evictions = self._make_room(group, call.size)
            if not isinstance(evictions, Failure):
                self._append(group, call)
                return evictions
            failure = evictions
        self._forget_if_idle(group)
        return failure

    def start_next(self, now: float) -> QueuedCall | None:
        """Give a free slot to the group with the lowest tag; ``None`` when there is no such."""
        if self.running >= self._limits.slots or not self._group_of:
            return None
        group = min(
            (group for group in self._groups.values() if group.calls),
            key=lambda candidate: (candidate.tag, candidate.name),
        )
        call = group.pop_oldest()
        self._dequeued(call)
        self._virtual_time = max(self._virtual_time, group.tag)
        charged = self._expected_cost(group)
        group.charge(charged)
        group.running += 1
        self._running[call.call] = _RunningCall(group.name, now, charged)
        return call

    def finish(self, call: int, now: float, representative: bool) -> None:
        """Free a call's slot and charge what it really took.

        ``representative`` is false for calls that failed or were shed: they are charged, but
        say nothing about how long a call takes.
        """
        running = self._running.pop(call)
        group = self._groups[running.group]
        seconds = max(now - running.started_at, MINIMUM_CHARGE)
        group.running -= 1
        group.charge(seconds - running.charged)
        if representative:
            group.service_time.observe(seconds)
            self._service_time.observe(seconds)
        self._forget_if_idle(group)
        self._restart_virtual_time_when_idle()

    def remove(self, call: int) -> bool:
        """Take a waiting call out; false when it does not wait."""
        name = self._group_of.get(call)
        if name is None:
            return False
        group = self._groups[name]
        queued = group.calls[call]
        group.remove(call)
        self._dequeued(queued)
        self._forget_if_idle(group)
        return True

    def take_expired(self, now: float) -> tuple[int, ...]:
        """Take out the waiting calls whose deadline has passed."""
        expired = self._deadlines.expired(now)
        for call in expired:
            self.remove(call)
        return expired

    def take_all(self) -> tuple[int, ...]:
        """Take out every waiting call."""
        calls = tuple(self._group_of)
        for call in calls:
            self.remove(call)
        return calls

    def advice(self, name: str) -> float:
        """Return after how many seconds a refused caller of a group may find room."""
        group = self._groups.get(name)
        wait = 0.0 if group is None else self._expected_wait(group)
        return max(wait, MINIMUM_RETRY_AFTER)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting call."""
        return self._deadlines.earliest()

    def _refusal(self, group: GroupQueue, call: QueuedCall, now: float) -> Failure | None:
        if call.deadline <= now:
            return Failure(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed")
        if self._starts_at_once():
            return None
        wait = self._expected_wait(group)
        if len(group.calls) >= self._limits.group_calls:
            return self._share_failure(group, "the group's queue is full", wait)
        service_time = self._known_service_time(group)
        if now + wait + service_time > call.deadline:
            return Failure(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"an answer takes about {wait + service_time:.3f} s",
                retry_after=max(wait, MINIMUM_RETRY_AFTER),
            )
        return None

    def _share_failure(self, group: GroupQueue, reason: str, wait: float) -> Failure:
        alone = all(other is group or not other.active for other in self._groups.values())
        kind = ErrorKind.OVERLOADED if alone else ErrorKind.SHARE_EXHAUSTED
        return Failure(kind, reason, retry_after=max(wait, MINIMUM_RETRY_AFTER))

    def _starts_at_once(self) -> bool:
        return not self._group_of and self.running < self._limits.slots

    def _expected_wait(self, group: GroupQueue) -> float:
        position = len(group.calls) + 1
        ahead = position
        for other in self._groups.values():
            if other is not group:
                turns = math.ceil(position * other.weight / group.weight)
                ahead += min(len(other.calls), turns)
        return ahead * (self._service_time.mean or 0.0) / self._limits.slots

    def _make_room(self, group: GroupQueue, size: int) -> Failure | tuple[Eviction, ...]:
        limit = self._limits.total_bytes
        if self._queued_bytes + size <= limit:
            return ()
        if group.queued_bytes + size > self._byte_part(group):
            return self._share_failure(
                group, "the group's part of the queue's bytes is full", self._expected_wait(group)
            )
        evictions: list[Eviction] = []
        while self._queued_bytes + size > limit:
            evictions.append(self._evict())
        return tuple(evictions)

    def _evict(self) -> Eviction:
        victim = max(
            (group for group in self._groups.values() if group.calls),
            key=lambda group: (group.queued_bytes / self._byte_part(group), group.name),
        )
        failure = self._share_failure(
            victim, "gave way to a group below its share", self._expected_wait(victim)
        )
        call = victim.pop_newest()
        self._dequeued(call)
        self._forget_if_idle(victim)
        return Eviction(call.call, failure)

    def _byte_part(self, group: GroupQueue) -> float:
        waiting = {other.name: other.weight for other in self._groups.values() if other.calls}
        waiting[group.name] = group.weight
        return self._limits.total_bytes * group.weight / sum(waiting.values())

    def _append(self, group: GroupQueue, call: QueuedCall) -> None:
        if not group.calls:
            group.tag = max(group.tag, self._virtual_time)
        group.append(call)
        self._group_of[call.call] = group.name
        self._queued_bytes += call.size
        self._deadlines.add(call.call, call.deadline)

    def _dequeued(self, call: QueuedCall) -> None:
        del self._group_of[call.call]
        self._queued_bytes -= call.size
        self._deadlines.remove(call.call)

    def _expected_cost(self, group: GroupQueue) -> float:
        return max(self._known_service_time(group) or FIRST_CHARGE, MINIMUM_CHARGE)

    def _known_service_time(self, group: GroupQueue) -> float:
        return group.service_time.mean or self._service_time.mean or 0.0

    def _weight(self, name: str) -> int:
        return self._weights.get(name, self._limits.default_weight)

    def _group(self, name: str) -> GroupQueue:
        if name not in self._groups and name not in self._weights and self._unlisted_full():
            name = POOLED_GROUP
        group = self._groups.get(name)
        if group is None:
            group = GroupQueue(name, self._weight(name), self._virtual_time)
            self._groups[name] = group
        return group

    def _unlisted_full(self) -> bool:
        unlisted = sum(1 for name in self._groups if name not in self._weights)
        return unlisted >= self._limits.unlisted_groups

    def _forget_if_idle(self, group: GroupQueue) -> None:
        if not group.active and group.tag <= self._virtual_time:
            self._groups.pop(group.name, None)

    def _restart_virtual_time_when_idle(self) -> None:
        if not self._running and not self._group_of:
            self._groups.clear()
            self._virtual_time = 0.0
