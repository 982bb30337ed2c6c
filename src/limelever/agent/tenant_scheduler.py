"""Fair scheduling between tenants within the queue of one group.

Prevents a tenant that exceeds its usual rate from delaying or displacing the calls of others. Uses
start-time fair queueing with tenant rates as weights, as ``fair_queue`` does for groups, but counts
calls rather than slot time because calls of one group have similar service times. Without tenants,
calls are scheduled in arrival order.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

from msgspec import Struct, field

BURST_SECONDS = 1.0
"""Maximum credit of an idle tenant, in seconds at its rate.

Allows short bursts of a tenant that stays below its share on average.
"""

MAX_IDLE_TENANTS = 256
"""Maximum number of idle tenants whose tags are kept; all are dropped when exceeded."""

DEFAULT_RATE = 1.0
"""Rate of every tenant when no rates are configured; only relative rates matter."""


class TenantRates:
    """Configured tenant rates in calls per second; replaced as a whole."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}
        self._mean = DEFAULT_RATE

    def replace(self, rates: Mapping[str, float]) -> None:
        """Replace all rates; 0 means unlimited and is scheduled at the mean rate."""
        self._rates = {name: rate for name, rate in rates.items() if rate > 0}
        known = self._rates.values()
        self._mean = sum(known) / len(known) if known else DEFAULT_RATE

    def rate_of(self, tenant: str) -> float:
        """Return a tenant's rate, or the mean rate if it has none."""
        return self._rates.get(tenant, self._mean)


class _TenantQueue(Struct):
    """Waiting calls of a tenant in arrival order; ``tag`` is the start tag of the oldest."""

    tag: float
    calls: OrderedDict[int, None] = field(default_factory=OrderedDict)

    @property
    def oldest(self) -> int:
        return next(iter(self.calls))


class TenantScheduler:
    """Decides which waiting call of a group starts next; call numbers increase with arrival."""

    def __init__(self, rates: TenantRates) -> None:
        self._rates = rates
        self._queues: dict[str, _TenantQueue] = {}
        self._idle_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def add(self, call: int, tenant: str) -> None:
        """Add a call behind the others of its tenant."""
        queue = self._queues.get(tenant)
        if queue is None:
            queue = self._queues[tenant] = _TenantQueue(self._initial_tag(tenant))
            self._idle_tags.pop(tenant, None)
        queue.calls[call] = None

    @property
    def next_call(self) -> int:
        """Return the call to start next; raises ``ValueError`` if there is none."""
        return min(self._queues.values(), key=lambda queue: (queue.tag, queue.oldest)).oldest

    def mark_started(self, call: int, tenant: str) -> None:
        """Remove a call that starts and advance its tenant's tag."""
        queue = self._queues[tenant]
        self._virtual_time = max(self._virtual_time, queue.tag)
        queue.tag += 1 / self._rates.rate_of(tenant)
        self.remove(call, tenant)

    def remove(self, call: int, tenant: str) -> None:
        """Remove a call without charging its tenant."""
        queue = self._queues[tenant]
        del queue.calls[call]
        if not queue.calls:
            del self._queues[tenant]
            self._remember_tag(tenant, queue.tag)

    def count_ahead(self, tenant: str) -> int:
        """Return how many waiting calls start before a new call of a tenant."""
        own = self._queues.get(tenant)
        if own is not None and len(self._queues) == 1:
            return len(own.calls)
        waiting = len(own.calls) if own is not None else 0
        tag = own.tag if own is not None else self._initial_tag(tenant)
        tag += waiting / self._rates.rate_of(tenant)
        others = (item for item in self._queues.items() if item[0] != tenant)
        return waiting + sum(self._count_started_until(tag, name, queue) for name, queue in others)

    def eviction_candidate(self, tenant: str) -> int | None:
        """Return the newest call of the tenant with the most waiting calls relative to its rate.

        Returns ``None`` if that would be ``tenant`` itself with the new call added.
        """
        own = self._queues.get(tenant)
        own_count = (len(own.calls) if own is not None else 0) + 1
        highest, name = max(
            (
                (len(queue.calls) / self._rates.rate_of(name), name)
                for name, queue in self._queues.items()
            ),
            default=(0.0, tenant),
        )
        if highest <= own_count / self._rates.rate_of(tenant):
            return None
        return next(reversed(self._queues[name].calls))

    def _initial_tag(self, tenant: str) -> float:
        return max(self._idle_tags.get(tenant, -math.inf), self._virtual_time - BURST_SECONDS)

    def _count_started_until(self, tag: float, name: str, queue: _TenantQueue) -> int:
        """Return how many waiting calls of a tenant have a tag up to ``tag``."""
        if queue.tag > tag:
            return 0
        started = math.floor((tag - queue.tag) * self._rates.rate_of(name)) + 1
        return min(len(queue.calls), started)

    def _remember_tag(self, tenant: str, tag: float) -> None:
        """Keep the tag of a tenant that has become idle."""
        if len(self._idle_tags) >= MAX_IDLE_TENANTS:
            self._idle_tags.clear()
        self._idle_tags[tenant] = tag
