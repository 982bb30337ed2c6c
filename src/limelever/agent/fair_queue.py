"""Weighted fair queueing of a back end's slots between groups.

Start-time fair queueing: each group has a tag in virtual time, the group with the lowest tag
gets the next free slot, and the tag moves on by the slot time used divided by the weight. The
slot time is charged by estimate at the start and put right at the end, so a group pays for
the time it holds slots and not for the number of its calls. It is work-conserving but for one
case: a free slot waits only where more urgent calls usually hold it, see ``slot_use``. See
docs/design/fair-shares.md.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from msgspec import Struct

from limelever.agent.deadlines import DeadlineHeap
from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.return_times import ReturnTimes
from limelever.agent.slot_use import SlotUse
from limelever.agent.turned_away import AT_ONCE, has_room
from limelever.agent.wait_estimate import FIRST_SERVICE_TIME, MINIMUM_CHARGE, WaitEstimate
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.priorities import priority_of


class QueueLimits(Struct, frozen=True):
    """Bounds of the queue: ``group_calls`` waiting calls a group, ``total_bytes`` in all."""

    slots: int = 6
    group_calls: int = 64
    total_bytes: int = 8 * 1024 * 1024
    default_weight: int = 1
    unlisted_groups: int = 32


class Eviction(Struct, frozen=True):
    """A queued call refused to make room for a group or a tenant that is below its part."""

    call: int
    failure: Failure


class _RunningCall(Struct, frozen=True):
    group: str
    started_at: float
    charged: float


class FairQueue:
    """Divides slots between groups; times are monotonic seconds given by the caller."""

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._groups = GroupTable(limits.default_weight, limits.unlisted_groups)
        self._group_of: dict[int, str] = {}
        self._running: dict[int, _RunningCall] = {}
        self._deadlines = DeadlineHeap()
        self._estimate = WaitEstimate(limits.slots, self._groups)
        self._slot_use = SlotUse(limits.slots)
        self._returns = ReturnTimes(limits.slots)
        self._room_at = math.inf
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

    @property
    def service_time(self) -> float:
        """Return how long a call takes without waiting, in seconds; 0 while nothing is known."""
        return self._estimate.overall

    def service_time_of(self, group: str) -> float:
        """Return how long a call of a group takes without waiting, in seconds; 0 if unknown."""
        return self._estimate.service_time_of(group)

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Take the weights of all groups that have a share; others get the default weight."""
        self._groups.set_weights(weights, self._virtual_time)

    def set_tenant_rates(self, rates: Mapping[str, float]) -> None:
        """Take the tenants' rates in calls a second, by which they share each group's turns."""
        self._groups.tenant_rates.replace(rates)

    def offer(
        self, call: QueuedCall, now: float, *, checked: bool = False
    ) -> Failure | tuple[Eviction, ...]:
        """Queue a call, or refuse it at once (NOT RUN) when it cannot make its deadline.

        One that was ``checked`` before its body was asked for is refused only if its deadline has
        passed: its bytes have been paid for. Returns the calls of other groups and tenants that
        lost their place for it.
        """
        group = self._groups.open(call.group, self._virtual_time)
        failure = _past_deadline(call, now) if checked else self._refusal(group, call, now)
        if failure is None:
            evictions = self._make_room(group, call.size, now)
            if not isinstance(evictions, Failure):
                evictions += self._make_place(group, call.tenant, now)
                self._append(group, call)
                return evictions
            failure = evictions
        self._groups.forget_if_idle(group, self._virtual_time)
        return failure

    def check(self, call: QueuedCall, now: float, whole_after: float = 0.0) -> Failure | None:
        """Return why a call whose body is whole in so many seconds would be refused.

        Nothing is queued.
        """
        group = self._groups.open(call.group, self._virtual_time)
        failure = self._refusal(group, call, now, whole_after)
        self._groups.forget_if_idle(group, self._virtual_time)
        return failure

    def start_next(self, now: float) -> QueuedCall | None:
        """Give a free slot to the group with the lowest tag; ``None`` when there is no such."""
        free = self._limits.slots - self.running
        self._room_at = math.inf
        if free <= 0 or not self._group_of:
            return None
        group = min(
            (g for g in self._groups if g.calls and self._may_start_at(g, free, now) <= now),
            key=lambda candidate: (candidate.tag, candidate.name),
            default=None,
        )
        if group is None:
            self._room_at = min(self._may_start_at(g, free, now) for g in self._groups if g.calls)
            return None
        call = group.pop_next()
        self._dequeued(call)
        self._virtual_time = max(self._virtual_time, group.tag)
        charged = self._estimate.charge(group)
        group.charge(charged)
        group.running += 1
        self._running[call.call] = _RunningCall(group.name, now, charged)
        self._slot_use.started(priority_of(group.name), now)
        return call

    def finish(self, call: int, now: float, representative: bool) -> None:
        """Free a call's slot and charge what it really took.

        ``representative`` is false for calls that failed or were shed: they are charged, but
        say nothing about how long a call takes.
        """
        running = self._running.pop(call)
        group = self._groups.get(running.group)
        seconds = max(now - running.started_at, MINIMUM_CHARGE)
        group.running -= 1
        self._slot_use.ended(priority_of(group.name), now)
        group.charge(seconds - running.charged)
        if representative:
            self._estimate.observe(group.name, seconds)
        self._groups.forget_if_idle(group, self._virtual_time)
        self._restart_virtual_time_when_idle()

    def remove(self, call: int) -> bool:
        """Take a waiting call out; false when it does not wait."""
        name = self._group_of.get(call)
        if name is None:
            return False
        group = self._groups.get(name)
        queued = group.calls[call]
        group.remove(call)
        self._dequeued(queued)
        self._groups.forget_if_idle(group, self._virtual_time)
        return True

    def take_expired(self, now: float) -> tuple[int, ...]:
        """Take out the waiting calls whose deadline has passed."""
        expired = self._deadlines.expired(now)
        for call in expired:
            self.remove(call)
        return expired

    def take_hopeless(self, now: float) -> tuple[int, ...]:
        """Take out the calls that are next in their groups and waited too long to finish in time.

        Without a free slot there is nothing to decide.
        """
        if self.running >= self._limits.slots:
            return ()
        hopeless: list[int] = []
        for group in tuple(self._groups):
            while group.calls and self._estimate.is_hopeless(group, group.next_call, now):
                hopeless.append(group.next_call.call)
                self.remove(group.next_call.call)
        return tuple(hopeless)

    def advice(self, name: str, now: float) -> float:
        """Return after how many seconds a refused caller of a group may find room."""
        group = self._groups.find(name)
        if group is None:
            return self._returns.book(0.0, self._estimate.overall, now)
        return self._book_return(group, now)

    def advice_of_turned_away(self, name: str, now: float) -> float:
        """Return after how many seconds a caller whom the back end turned away may come back."""
        if has_room(self.running, self.queued, self._limits.slots):
            return AT_ONCE
        return self.advice(name, now)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting call, or when one may take a free slot."""
        earliest = self._deadlines.earliest()
        if earliest is None:
            return None
        return min(earliest, self._room_at)

    def _refusal(
        self, group: GroupQueue, call: QueuedCall, now: float, whole_after: float = 0.0
    ) -> Failure | None:
        failure = _past_deadline(call, now)
        if failure is not None:
            return failure
        held_up = self._estimate.is_held_up_by_link(group, call, now, whole_after)
        if not held_up and self._starts_at_once(group, now):
            return None
        if self._estimate.is_blind(call, self.queued):
            advice = self._returns.book(0.0, FIRST_SERVICE_TIME, now)
            reason = "nothing is known yet of how long calls take, and some wait already"
            return Failure(ErrorKind.DEADLINE_TOO_SHORT, reason, retry_after=advice)
        if self._is_full(group) and group.turns.gives_way(call.tenant) is None:
            return self._share_failure(group, "the group's queue is full", now)
        wait = max(whole_after, self._wait(group, now, call.tenant))
        service_time = self._estimate.service_time(group)
        if self._estimate.is_too_long(group, call, now, wait):
            return Failure(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"an answer takes about {wait + service_time:.3f} s",
                retry_after=self._book_return(group, now, whole_after),
            )
        return None

    def _is_full(self, group: GroupQueue) -> bool:
        return len(group.calls) >= self._limits.group_calls

    def _share_failure(self, group: GroupQueue, reason: str, now: float) -> Failure:
        alone = self._groups.only_active(group)
        kind = ErrorKind.OVERLOADED if alone else ErrorKind.SHARE_EXHAUSTED
        return Failure(kind, reason, retry_after=self._book_return(group, now))

    def _book_return(self, group: GroupQueue, now: float, whole_after: float = 0.0) -> float:
        wait = max(whole_after, self._wait(group, now))
        return self._returns.book(wait, self._estimate.service_time(group), now)

    def _starts_at_once(self, group: GroupQueue, now: float) -> bool:
        free = self._limits.slots - self.running
        return not self._group_of and free > 0 and self._may_start_at(group, free, now) <= now

    def _may_start_at(self, group: GroupQueue, free: int, now: float) -> float:
        return self._slot_use.room_at(priority_of(group.name), free, now)

    def _make_room(
        self, group: GroupQueue, size: int, now: float
    ) -> Failure | tuple[Eviction, ...]:
        limit = self._limits.total_bytes
        if self._queued_bytes + size <= limit:
            return ()
        if group.queued_bytes + size > self._byte_part(group):
            return self._share_failure(group, "the group's part of the queue's bytes is full", now)
        evictions: list[Eviction] = []
        while self._queued_bytes + size > limit:
            evictions.append(self._evict(now))
        return tuple(evictions)

    def _make_place(self, group: GroupQueue, tenant: str, now: float) -> tuple[Eviction, ...]:
        """Take a call of the tenant with most waiting out of a full group."""
        number = group.turns.gives_way(tenant) if self._is_full(group) else None
        if number is None:
            return ()
        failure = self._share_failure(group, "gave way to a tenant with fewer calls waiting", now)
        self._dequeued(group.calls[number])
        group.remove(number)
        return (Eviction(number, failure),)

    def _evict(self, now: float) -> Eviction:
        victim = max(
            (group for group in self._groups if group.calls),
            key=lambda group: (
                group.queued_bytes / self._byte_part(group),
                group.name,
            ),
        )
        failure = self._share_failure(victim, "gave way to a group below its share", now)
        call = victim.pop_newest()
        self._dequeued(call)
        self._groups.forget_if_idle(victim, self._virtual_time)
        return Eviction(call.call, failure)

    def _byte_part(self, group: GroupQueue) -> float:
        return self._groups.part_of(group, self._limits.total_bytes)

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

    def _wait(self, group: GroupQueue, now: float, tenant: str = "") -> float:
        urgent = self._slot_use.held_by_more_urgent(priority_of(group.name), now)
        return self._estimate.wait(group, self._virtual_time, urgent, tenant)

    def _restart_virtual_time_when_idle(self) -> None:
        if not self._running and not self._group_of:
            self._groups.clear()
            self._virtual_time = 0.0


def _past_deadline(call: QueuedCall, now: float) -> Failure | None:
    if call.deadline > now:
        return None
    return Failure(ErrorKind.DEADLINE_TOO_SHORT, "the deadline has passed")
