"""Weighted fair queueing of the backend's slots between groups.

Implements start-time fair queueing: each group has a start tag in virtual time, the waiting group
with the lowest tag gets the next free slot, and its tag advances by slot time divided by weight.
Slot time is charged by estimate when a call starts and corrected when it ends, so groups pay for
the time they hold slots rather than for their number of calls.

The queue is work-conserving except for slots reserved for more urgent calls, see
``slot_reservation``, and for a backend that warms up, see ``start_limiter``. See
docs/design/fair-shares.md.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from msgspec import Struct

from limelever.agent.backend_refusals import IMMEDIATE_RETRY_SECONDS, has_spare_capacity
from limelever.agent.deadline_heap import DeadlineHeap
from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.retry_schedule import RetrySchedule
from limelever.agent.slot_reservation import SlotReservation
from limelever.agent.start_limiter import StartLimiter
from limelever.agent.wait_estimator import (
    INITIAL_SERVICE_SECONDS,
    MIN_CHARGE_SECONDS,
    WaitEstimator,
)
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.priorities import priority_of


class QueueLimits(Struct, frozen=True):
    """Bounds of the queue: ``group_calls`` per group, ``total_bytes`` over all waiting calls.

    Up to ``unlisted_groups`` groups without a configured weight get a queue of their own.
    """

    slots: int = 6
    group_calls: int = 64
    total_bytes: int = 8 * 1024 * 1024
    default_weight: int = 1
    unlisted_groups: int = 32


class Eviction(Struct, frozen=True):
    """A waiting call removed in favour of a group or tenant that is below its share."""

    call: int
    failure: Failure


class _RunningCall(Struct, frozen=True):
    group: str
    started_at: float
    charged_seconds: float


class FairQueue:
    """Divides slots between groups; times are monotonic seconds passed in by the caller."""

    def __init__(self, limits: QueueLimits, starts: StartLimiter | None = None) -> None:
        self._limits = limits
        self._starts = starts or StartLimiter.without_limit()
        self._groups = GroupTable(limits.default_weight, limits.unlisted_groups)
        self._group_of: dict[int, str] = {}
        self._running: dict[int, _RunningCall] = {}
        self._deadlines = DeadlineHeap()
        self._estimator = WaitEstimator(limits.slots, self._groups)
        self._reservation = SlotReservation(limits.slots)
        self._retries = RetrySchedule(limits.slots)
        self._slot_available_at = math.inf
        self._virtual_time = 0.0
        self._queued_bytes = 0
        self.occupied = 0
        """Slots taken by calls that are not of this queue."""

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._group_of)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return len(self._running)

    @property
    def _free(self) -> int:
        return self._limits.slots - self.running - self.occupied

    @property
    def queued_bytes(self) -> int:
        """Return the total body size of waiting calls."""
        return self._queued_bytes

    @property
    def service_time(self) -> float:
        """Return the average time a call holds a slot, in seconds; 0 if unknown."""
        return self._estimator.overall

    def service_time_of(self, group: str) -> float:
        """Return the average time a call of a group holds a slot, in seconds; 0 if unknown."""
        return self._estimator.service_time_of(group)

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the weights of all groups; groups not listed get the default weight."""
        self._groups.set_weights(weights, self._virtual_time)

    def set_tenant_rates(self, rates: Mapping[str, float]) -> None:
        """Replace the tenant rates, in calls per second, used to share each group's slots."""
        self._groups.tenant_rates.replace(rates)

    def offer(
        self, call: QueuedCall, now: float, *, prechecked: bool = False
    ) -> Failure | tuple[Eviction, ...]:
        """Enqueue a call, or reject it immediately if it would wait too long.

        A ``prechecked`` call passed :meth:`check` before its body was requested. It is rejected
        only if its deadline has passed or its group exceeds its share of bytes, because its body
        has already been transferred. Returns the calls evicted to make room for it.
        """
        group = self._groups.open(call.group, self._virtual_time)
        failure = _past_deadline(call, now) if prechecked else self._rejection(group, call, now)
        if failure is None:
            evictions = self._free_bytes(group, call.size, now)
            if not isinstance(evictions, Failure):
                evictions += self._free_position(group, call.tenant, now)
                self._append(group, call)
                return evictions
            failure = evictions
        self._groups.remove_if_idle(group, self._virtual_time)
        return failure

    def check(self, call: QueuedCall, now: float, body_delay: float = 0.0) -> Failure | None:
        """Return why a call whose body arrives within ``body_delay`` seconds would be rejected.

        Does not enqueue the call.
        """
        group = self._groups.open(call.group, self._virtual_time)
        failure = self._rejection(group, call, now, body_delay)
        self._groups.remove_if_idle(group, self._virtual_time)
        return failure

    def start_next(self, now: float) -> QueuedCall | None:
        """Start a call of the group with the lowest tag; ``None`` if none may start now."""
        free = self._free
        self._slot_available_at = math.inf
        if free <= 0 or not self._group_of:
            return None
        allowed_at = self._starts.available_at(now)
        if allowed_at > now:
            self._slot_available_at = allowed_at
            self._starts.blocked(now)
            return None
        group = min(
            (g for g in self._groups if g.calls and self._earliest_start(g, free, now) <= now),
            key=lambda candidate: (candidate.start_tag, candidate.name),
            default=None,
        )
        if group is None:
            self._slot_available_at = min(
                self._earliest_start(g, free, now) for g in self._groups if g.calls
            )
            return None
        call = group.pop_next()
        self._forget_queued(call)
        self._virtual_time = max(self._virtual_time, group.start_tag)
        charged = self._estimator.expected_charge(group)
        group.charge(charged)
        group.running += 1
        self._running[call.number] = _RunningCall(group.name, now, charged)
        self._reservation.call_started(priority_of(group.name), now)
        self._starts.call_left(call.arrived_at, started=True)
        self._starts.started(now)
        return call

    def finish(
        self, call: int, now: float, representative: bool, *, unanswered: bool = False
    ) -> None:
        """Free a call's slot and charge the time it actually held it.

        ``representative`` is false for failed and shed calls: they are charged, but left out of the
        service time estimate. A call that ended ``unanswered``, by its deadline or a cancellation,
        would have taken longer.
        """
        running = self._running.pop(call)
        group = self._groups.get(running.group)
        seconds = max(now - running.started_at, MIN_CHARGE_SECONDS)
        group.running -= 1
        self._reservation.call_ended(priority_of(group.name), now)
        group.charge(seconds - running.charged_seconds)
        if representative:
            self._estimator.observe(group.name, seconds)
        elif unanswered:
            self._estimator.observe_unanswered(group.name, seconds)
        self._groups.remove_if_idle(group, self._virtual_time)
        self._reset_when_idle()

    def remove(self, call: int) -> bool:
        """Remove a waiting call; return false if it is not waiting."""
        name = self._group_of.get(call)
        if name is None:
            return False
        group = self._groups.get(name)
        queued = group.calls[call]
        group.remove(call)
        self._forget_queued(queued)
        self._groups.remove_if_idle(group, self._virtual_time)
        return True

    def pop_expired(self, now: float) -> tuple[int, ...]:
        """Remove and return the waiting calls that can no longer finish before their deadline."""
        expired = self._deadlines.pop_expired(now)
        for call in expired:
            self._give_up(call)
        return expired

    def pop_infeasible(self, now: float) -> tuple[int, ...]:
        """Remove and return the next calls of groups that can no longer meet their deadline.

        Does nothing while no slot is free.
        """
        if self._free <= 0:
            return ()
        infeasible: list[int] = []
        for group in tuple(self._groups):
            while group.calls and self._estimator.is_infeasible(group, group.next_call, now):
                infeasible.append(group.next_call.number)
                self._give_up(group.next_call.number)
        return tuple(infeasible)

    def pop_unstartable(self, now: float) -> tuple[int, ...]:
        """Remove and return the calls that the stated limit keeps from starting in time."""
        kept = 0
        unstartable: list[int] = []
        for group, call in self._in_expected_order():
            starts_at = now + self._starts.stated_delay(kept, now)
            if starts_at > self._estimator.latest_start(group, call):
                unstartable.append(call.number)
            else:
                kept += 1
        for number in unstartable:
            self._give_up(number)
        return tuple(unstartable)

    def _in_expected_order(self) -> list[tuple[GroupQueue, QueuedCall]]:
        """Return the waiting calls in the order in which fair queueing is expected to start them.

        The calls of each group are taken in their order of arrival.
        """
        tagged: list[tuple[float, str, int, GroupQueue, QueuedCall]] = []
        for group in self._groups:
            step = self._estimator.expected_charge(group) / group.weight
            tag = max(group.start_tag, self._virtual_time)
            for position, call in enumerate(group.calls.values()):
                tagged.append((tag + position * step, group.name, position, group, call))
        tagged.sort(key=lambda entry: entry[:3])
        return [(group, call) for *_, group, call in tagged]

    def _give_up(self, number: int) -> None:
        """Remove a waiting call that is too late."""
        call = self._groups.get(self._group_of[number]).calls[number]
        self._starts.call_left(call.arrived_at, started=False)
        self.remove(number)

    def retry_after(self, name: str, now: float) -> float:
        """Return the number of seconds after which a rejected caller should retry."""
        group = self._groups.find(name)
        if group is None:
            return self._reserve(self._starts.delay(self.queued, now), self._estimator.overall, now)
        return self._reserve_retry(group, now)

    def retry_after_backend_refusal(self, name: str, now: float) -> float:
        """Return the retry delay for a caller whose request the backend itself refused."""
        may_start = self._starts.available_at(now) <= now
        if may_start and has_spare_capacity(self.running, self.queued, self._limits.slots):
            return IMMEDIATE_RETRY_SECONDS
        return self.retry_after(name, now)

    def next_deadline(self) -> float | None:
        """Return when the next call expires, or when a call may take a free slot if sooner."""
        earliest = self._deadlines.earliest()
        if earliest is None:
            return None
        return min(earliest, self._slot_available_at)

    def _rejection(
        self, group: GroupQueue, call: QueuedCall, now: float, body_delay: float = 0.0
    ) -> Failure | None:
        failure = _past_deadline(call, now)
        if failure is not None:
            return failure
        delayed_by_body = self._estimator.is_body_too_slow(group, call, now, body_delay)
        if not delayed_by_body and self._starts_immediately(group, now):
            return None
        if self._estimator.lacks_estimate(call, self.queued):
            self._starts.call_rejected(now)
            delay = self._starts.delay(self.queued, now)
            retry_after = self._reserve(delay, INITIAL_SERVICE_SECONDS, now)
            reason = "service time not known yet and too many calls waiting"
            return Failure(ErrorKind.DEADLINE_TOO_SHORT, reason, retry_after=retry_after)
        if self._is_full(group) and group.tenants.eviction_candidate(call.tenant) is None:
            return self._share_exceeded(group, "group queue is full", now)
        wait = max(body_delay, self._wait(group, now, call.tenant))
        service_time = self._estimator.service_time(group)
        if self._exceeds_stated_limit(group, call, now):
            self._starts.call_over_stated_limit()
            return Failure(
                ErrorKind.INSTANCE_LIMITED,
                f"the instance takes {self._starts.stated_limit:g} calls a second, "
                f"expected time to response of about {wait + service_time:.3f} s is too long",
                retry_after=self._reserve_retry(group, now, body_delay),
            )
        if self._estimator.exceeds_wait_limit(group, call, now, wait):
            self._starts.call_rejected(now)
            return Failure(
                ErrorKind.DEADLINE_TOO_SHORT,
                f"expected time to response of about {wait + service_time:.3f} s is too long",
                retry_after=self._reserve_retry(group, now, body_delay),
            )
        return None

    def _exceeds_stated_limit(self, group: GroupQueue, call: QueuedCall, now: float) -> bool:
        """Return whether a call would wait too long for the limit that the back end states."""
        if not self._starts.stated_limit:
            return False
        ahead = self._estimator.calls_ahead(group, self._virtual_time, call.tenant)
        wait = self._starts.stated_delay(ahead, now)
        return self._estimator.exceeds_wait_limit(group, call, now, wait)

    def _is_full(self, group: GroupQueue) -> bool:
        return len(group.calls) >= self._limits.group_calls

    def _share_exceeded(self, group: GroupQueue, reason: str, now: float) -> Failure:
        only_active = self._groups.only_active(group)
        kind = ErrorKind.OVERLOADED if only_active else ErrorKind.SHARE_EXHAUSTED
        return Failure(kind, reason, retry_after=self._reserve_retry(group, now))

    def _reserve_retry(self, group: GroupQueue, now: float, body_delay: float = 0.0) -> float:
        wait = max(body_delay, self._wait(group, now))
        return self._reserve(wait, self._estimator.service_time(group), now)

    def _reserve(self, wait: float, service_time: float, now: float) -> float:
        interval = self._starts.retry_interval(now)
        if interval:
            return self._retries.reserve_start(wait, interval, now)
        return self._retries.reserve(wait, service_time, now)

    def _starts_immediately(self, group: GroupQueue, now: float) -> bool:
        free = self._free
        if self._group_of or free <= 0 or self._starts.available_at(now) > now:
            return False
        return self._earliest_start(group, free, now) <= now

    def _earliest_start(self, group: GroupQueue, free: int, now: float) -> float:
        return self._reservation.available_at(priority_of(group.name), free, now)

    def _free_bytes(
        self, group: GroupQueue, size: int, now: float
    ) -> Failure | tuple[Eviction, ...]:
        limit = self._limits.total_bytes
        if self._queued_bytes + size <= limit:
            return ()
        if group.queued_bytes + size > self._byte_share(group):
            return self._share_exceeded(group, "group exceeds its share of queued bytes", now)
        evictions: list[Eviction] = []
        while self._queued_bytes + size > limit:
            evictions.append(self._evict(now))
        return tuple(evictions)

    def _free_position(self, group: GroupQueue, tenant: str, now: float) -> tuple[Eviction, ...]:
        """If the group's queue is full, evict a call of the tenant most above its share, if any."""
        number = group.tenants.eviction_candidate(tenant) if self._is_full(group) else None
        if number is None:
            return ()
        failure = self._share_exceeded(group, "evicted in favour of a tenant below its share", now)
        self._forget_queued(group.calls[number])
        group.remove(number)
        return (Eviction(number, failure),)

    def _evict(self, now: float) -> Eviction:
        victim = max(
            (group for group in self._groups if group.calls),
            key=lambda group: (
                group.queued_bytes / self._byte_share(group),
                group.name,
            ),
        )
        failure = self._share_exceeded(victim, "evicted in favour of a group below its share", now)
        call = victim.pop_newest()
        self._forget_queued(call)
        self._groups.remove_if_idle(victim, self._virtual_time)
        return Eviction(call.number, failure)

    def _byte_share(self, group: GroupQueue) -> float:
        return self._groups.share_of(group, self._limits.total_bytes)

    def _append(self, group: GroupQueue, call: QueuedCall) -> None:
        if not group.calls:
            group.start_tag = max(group.start_tag, self._virtual_time)
        group.append(call)
        self._group_of[call.number] = group.name
        self._queued_bytes += call.size
        self._deadlines.add(call.number, self._estimator.latest_start(group, call))

    def _forget_queued(self, call: QueuedCall) -> None:
        del self._group_of[call.number]
        self._queued_bytes -= call.size
        self._deadlines.remove(call.number)

    def _wait(self, group: GroupQueue, now: float, tenant: str = "") -> float:
        urgent = self._reservation.held_by_more_urgent(priority_of(group.name), now)
        wait = self._estimator.expected_wait(group, self._virtual_time, urgent, tenant)
        if not self._starts.enabled:
            return wait
        ahead = self._estimator.calls_ahead(group, self._virtual_time, tenant)
        return max(wait, self._starts.delay(ahead, now))

    def _reset_when_idle(self) -> None:
        if not self._running and not self._group_of:
            self._groups.clear()
            self._virtual_time = 0.0


def _past_deadline(call: QueuedCall, now: float) -> Failure | None:
    if call.deadline > now:
        return None
    return Failure(ErrorKind.DEADLINE_TOO_SHORT, "deadline has passed")
