"""Which instances state a limit on their calls, and whether this proxy has room for one there.

Made for instances that take fewer calls a second than their slots could run, while callers send
more. Agents enforce the limit; a call beyond it waits there or is refused. Callers get an answer in
time if a call goes to an instance that has room. Each proxy therefore keeps to its share of a
limit, which the agent states with each answer, as long as another instance can take the call.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from msgspec import Struct

from limelever.common.instance_runs import InstanceRun, RunMemory
from limelever.proxy.endpoints import EndpointEntry, EndpointKey

BURST_SECONDS = 0.5
"""Time whose calls this proxy may send at once of its share, at least one call."""

ANSWER_PRECEDENCE_SECONDS = 2.0
"""Time after an answer in which a relay's report, which may be older, doesn't replace its limit."""

UNUSED_SECONDS = 60.0
"""Time after which the limit of a run is dropped if its endpoint was not considered for a call.
Covers the restart of its agent."""

_NONE: frozenset[EndpointKey] = frozenset()


class _Limit(Struct):
    """The limit of a run and this proxy's share of it, in calls per second.

    ``tokens`` are the calls that the proxy may send as of ``filled_at``.
    """

    limit: float
    share: float
    answered_at: float
    tokens: float
    filled_at: float

    def fill(self, now: float) -> None:
        burst = max(1.0, self.share * BURST_SECONDS)
        added = max(0.0, now - self.filled_at) * self.share
        self.tokens = min(burst, self.tokens + added)
        self.filled_at = now


class LimitedEndpoints:
    """Limits by run of the instance; times are monotonic seconds."""

    def __init__(self) -> None:
        self._by_run: RunMemory[_Limit] = RunMemory()

    def answered(self, run: InstanceRun, limit: float, share: float, now: float) -> None:
        """Record the limit that an agent stated with an answer, 0 for none."""
        known = self._by_run.get(run)
        if not limit or share <= 0:
            self._by_run.remove(run)
            return
        if known is None:
            self._by_run.put(run, _Limit(limit, share, now, 0.0, now))
            return
        known.fill(now)
        known.limit, known.share, known.answered_at = limit, share, now

    def reported(self, run: InstanceRun, limit: float, now: float) -> None:
        """Record the limit that a relay reports, 0 for none."""
        known = self._by_run.get(run)
        if known is not None and now < known.answered_at + ANSWER_PRECEDENCE_SECONDS:
            return
        if not limit:
            self._by_run.remove(run)
        elif known is None or known.limit != limit:
            self._by_run.put(run, _Limit(limit, limit, -math.inf, 1.0, now))

    def drop_unused(self, now: float) -> None:
        """Drop the limits of runs that no call could have gone to for a while."""
        self._by_run.drop(lambda known: known.filled_at + UNUSED_SECONDS < now)

    def limit_of(self, run: InstanceRun) -> float:
        """Return the last known limit of a run, 0 for none."""
        known = self._by_run.get(run) if self._by_run else None
        return known.limit if known is not None else 0.0

    def call_sent(self, run: InstanceRun, now: float) -> None:
        """Count a call that is sent to an instance."""
        known = self._by_run.get(run) if self._by_run else None
        if known is not None:
            known.fill(now)
            known.tokens = max(0.0, known.tokens - 1.0)

    def without_room(self, usable: Sequence[EndpointEntry], now: float) -> frozenset[EndpointKey]:
        """Return the endpoints to which this proxy has sent its share of the limit."""
        if not self._by_run:
            return _NONE
        return frozenset(entry.key for entry in usable if self.wait(entry.run, now) > 0)

    def wait(self, run: InstanceRun, now: float) -> float:
        """Return the seconds until this proxy's share has room for a call; 0 without a limit."""
        known = self._by_run.get(run) if self._by_run else None
        if known is None:
            return 0.0
        known.fill(now)
        return max(0.0, 1.0 - known.tokens) / known.share
