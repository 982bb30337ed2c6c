"""Estimates service times and queue waits, and decides which calls to reject for them."""

from __future__ import annotations

import math
from collections import OrderedDict

from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.service_time import ServiceTimeAverage

MIN_CHARGE_SECONDS = 0.0005
"""Minimum slot time charged per call, so that very short calls still advance the tag."""

INITIAL_CHARGE_SECONDS = 0.01
"""Slot time charged before any call has completed; corrected when the call ends."""

INITIAL_SERVICE_SECONDS = 0.2
"""Service time assumed for retry delays before any call has completed."""

MAX_QUEUE_RATIO_UNKNOWN = 0.5
"""Maximum number of waiting calls, as a ratio of the slots, while service time is unknown."""

UNANSWERED_CALLS_TO_LEARN = 2
"""Calls of a group in a row without a response from which their times are taken as service times.

A single one is more often a lost response than a slow call.
"""

MAX_TRACKED_GROUPS = 256
"""Maximum number of groups with a service time; the least recently observed is evicted."""

MAX_WAIT_RATIO = 0.5
"""Maximum expected wait as a ratio of the slack before a call's deadline.

The rest is a margin for estimates that are too low.
"""

MAX_WAIT_RATIO_TO_TARGET = 0.5
"""Maximum expected wait as a ratio of the slack before a call's target. A call that misses its
target takes a slot from one that would not."""

MAX_WAIT_RATIO_PAST_TARGET = 0.25
"""Maximum expected wait, as a ratio of the service time, of a call that misses its target anyway.

Limits such calls to capacity that calls within their target leave unused.
"""

MIN_BODY_DELAY_RATIO = 0.25
"""Ratio of the service time below which the transfer time of a body is ignored. Otherwise an
estimated service time that is too high would reject calls that find a free slot, and never be
corrected."""

SHORT_CALL_RATIO = 0.5
"""Ratio of the time-weighted service time below which a call counts as short.

Short calls get a looser limit: rejecting them saves little, and other calls often depend on them.
"""

MAX_WAIT_RATIO_SHORT_CALLS = 0.9
"""Maximum expected wait of a short call as a ratio of the slack before its deadline."""

MIN_AVAILABLE_SLOTS = 1.0
"""Minimum number of slots assumed available regardless of more urgent calls."""


class WaitEstimator:
    """Estimates for one backend; all times in seconds.

    Service times are kept while a group is idle, so that infrequent short calls are not rejected
    because of the average over all groups.
    """

    def __init__(self, slots: int, groups: GroupTable) -> None:
        self._slots = slots
        self._groups = groups
        self._overall = ServiceTimeAverage()
        # Product of a call's service time and its group's average, in square seconds.
        self._second_moment = ServiceTimeAverage()
        self._by_group: OrderedDict[str, ServiceTimeAverage] = OrderedDict()
        self._unanswered: dict[str, int] = {}

    def observe(self, name: str, seconds: float) -> None:
        """Record how long a call of the group ``name`` held its slot."""
        self._unanswered.pop(name, None)
        self._add(name, seconds)

    def observe_unanswered(self, name: str, seconds: float) -> None:
        """Record how long a call held its slot that ended without a response.

        The time is a lower bound: if several calls in a row have no response, the estimate must
        not stay at that of the faster calls before.
        """
        count = self._unanswered.get(name, 0) + 1
        if name not in self._unanswered and len(self._unanswered) >= MAX_TRACKED_GROUPS:
            self._unanswered.clear()
        self._unanswered[name] = count
        if count >= UNANSWERED_CALLS_TO_LEARN and seconds > self.service_time_of(name):
            self._add(name, seconds)

    def _add(self, name: str, seconds: float) -> None:
        own = self._by_group.setdefault(name, ServiceTimeAverage())
        own.observe(seconds)
        self._overall.observe(seconds)
        self._second_moment.observe(seconds * (own.mean or seconds))
        self._by_group.move_to_end(name)
        if len(self._by_group) > MAX_TRACKED_GROUPS:
            self._by_group.popitem(last=False)

    @property
    def overall(self) -> float:
        """Return the average service time over all groups; 0 if unknown."""
        return self._overall.mean or 0.0

    @property
    def time_weighted(self) -> float:
        """Return the average service time weighted by slot time; 0 if unknown.

        Unlike the average over calls, it is not dominated by many short calls that use few slots.
        """
        return (self._second_moment.mean or 0.0) / (self.overall or 1.0)

    def service_time(self, group: GroupQueue) -> float:
        """Return the average service time of the group; 0 if unknown."""
        return self.service_time_of(group.name)

    def service_time_of(self, name: str) -> float:
        """Return the average service time of the group ``name``; 0 if unknown."""
        own = self._by_group.get(name)
        return (own.mean if own is not None else None) or self.overall

    def expected_charge(self, group: GroupQueue) -> float:
        """Return the slot time to charge when a call of the group starts."""
        return max(self.service_time(group) or INITIAL_CHARGE_SECONDS, MIN_CHARGE_SECONDS)

    def expected_wait(
        self, group: GroupQueue, virtual_time: float, urgent_slots: float = 0.0, tenant: str = ""
    ) -> float:
        """Return how long a new call of a tenant in the group would wait for a slot.

        The estimate is the slot time of the calls that fair queueing starts first, plus the time
        until a running call ends. ``urgent_slots`` is the average number of slots held by more
        urgent calls: they are subtracted because such calls overtake this one.
        """
        tag_step = self.expected_charge(group) / group.weight
        ahead = group.tenants.count_ahead(tenant)
        start = max(group.start_tag, virtual_time) + ahead * tag_step
        work = ahead * self.service_time(group)
        for other in self._groups:
            if other is not group and other.calls:
                work += self._count_started_before(other, start) * self.service_time(other)
        slots = max(self._slots - urgent_slots, MIN_AVAILABLE_SLOTS)
        return (work + self._mean_running_time()) / slots

    def calls_ahead(self, group: GroupQueue, virtual_time: float, tenant: str = "") -> int:
        """Return how many waiting calls fair queueing starts before a new call of a tenant."""
        ahead = group.tenants.count_ahead(tenant)
        tag_step = self.expected_charge(group) / group.weight
        start = max(group.start_tag, virtual_time) + ahead * tag_step
        others = (other for other in self._groups if other is not group and other.calls)
        return ahead + sum(self._count_started_before(other, start) for other in others)

    def _count_started_before(self, other: GroupQueue, start: float) -> int:
        """Return how many waiting calls of a group have a tag before ``start``."""
        started = math.ceil((start - other.start_tag) * other.weight / self.expected_charge(other))
        return min(len(other.calls), max(0, started))

    def _mean_running_time(self) -> float:
        """Return the mean service time of the running calls."""
        running = sum(group.running for group in self._groups)
        if not running:
            return 0.0
        running_time = sum(group.running * self.service_time(group) for group in self._groups)
        return running_time / running

    def exceeds_wait_limit(
        self, group: GroupQueue, call: QueuedCall, now: float, wait: float
    ) -> bool:
        """Return whether a call expected to wait ``wait`` seconds should be rejected."""
        service_time = self.service_time(group)
        finish = now + service_time
        if service_time < self.time_weighted * SHORT_CALL_RATIO:
            return wait > (call.deadline - finish) * MAX_WAIT_RATIO_SHORT_CALLS
        max_wait = (call.deadline - finish) * MAX_WAIT_RATIO
        max_wait_for_target = (call.target - finish) * MAX_WAIT_RATIO_TO_TARGET
        if max_wait_for_target <= 0:
            max_wait_for_target = service_time * MAX_WAIT_RATIO_PAST_TARGET
        return wait > min(max_wait, max_wait_for_target)

    def is_body_too_slow(
        self, group: GroupQueue, call: QueuedCall, now: float, body_delay: float
    ) -> bool:
        """Return whether a call should be rejected because of the transfer time of its body.

        Short transfer times are ignored: otherwise an overestimated service time would reject calls
        that could start immediately, and would never be corrected by new observations.
        """
        significant = body_delay > self.service_time(group) * MIN_BODY_DELAY_RATIO
        return significant and self.exceeds_wait_limit(group, call, now, body_delay)

    def lacks_estimate(self, call: QueuedCall, queued: int) -> bool:
        """Return whether a call with a target is rejected because no service time is known yet.

        Limits the queue of a backend that has just started while all callers reconnect at once.
        """
        if self.overall or math.isinf(call.target):
            return False
        return queued >= self._slots * MAX_QUEUE_RATIO_UNKNOWN

    def latest_start(self, group: GroupQueue, call: QueuedCall) -> float:
        """Return until when a call may wait for a slot and still finish before its deadline.

        The time lies after the call's arrival, see :meth:`is_infeasible`.
        """
        latest = call.deadline - self.service_time(group)
        return min(call.deadline, max(latest, math.nextafter(call.arrived_at, math.inf)))

    def is_infeasible(self, group: GroupQueue, call: QueuedCall, now: float) -> bool:
        """Return whether a call has waited so long that it can no longer finish in time.

        Calls that did not wait are always started, so that an overestimated service time gets
        corrected.
        """
        waited = now > call.arrived_at
        return waited and now + self.service_time(group) > call.deadline
