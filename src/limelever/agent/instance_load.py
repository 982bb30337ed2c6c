"""Compares the calls sent to an instance with those that its load header states.

Some instances never respond to a request that they can't queue, nor to anything after it on that
connection. Their load header then states fewer requests than the agent has sent. After a restart of
the agent the header states more: calls of the former agent still occupy slots.

The health path of an instance may state another load than its responses to calls, or none. Health
responses are therefore evidence of a lost call only at an instance whose health responses have
counted all running calls before: ending a call that runs is worse than one that waits for its
deadline.

Made for instances of 1 to some tens of slots whose only caller is the agent; the work for each
response is proportional to the calls in progress.
"""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent.liveness import (
    DEFAULT_SERVICE_TIME_SECONDS,
    OVERDUE_FACTOR,
    OVERDUE_MARGIN_SECONDS,
)

CONFIRM_SECONDS = 0.1
"""Time for which responses must state too few requests before a call counts as lost. Covers
responses that have left the instance and are not processed yet."""

COUNT_VALID_SECONDS = 0.5
"""Time for which a count of a former agent's calls is relied on without a newer response."""

MATCHING_RESPONSES = 3
"""Responses in a row that state no more requests than the agent's own, after which the former
agent's calls have ended even if the count was never below its own."""

FORMER_CALLS_SECONDS = 3.0
"""Time after the start of an agent in which calls of a former one may still run. An instance that
has had no call by then would otherwise be idle when the first ones come; a former call that takes
longer costs a place in its queue."""

LONE_RESPONSES = 4
"""Responses to the only call in progress that state a request, after which the header is taken to
count its own request. A header that ever states none doesn't count it."""


class _RunningCall(Struct, frozen=True):
    started_at: float
    overdue_at: float


class InstanceLoad:
    """Requests at one instance; times are monotonic seconds.

    With ``counts_former_calls`` the slots taken by calls of a former agent are derived from the
    header; without it none are assumed.
    """

    def __init__(self, slots: int, *, counts_former_calls: bool = False) -> None:
        self._slots = slots
        self._calls: dict[int, _RunningCall] = {}
        self._deficit_since = math.inf
        self._least_deficit = 0
        self._lone_responses = 0
        self._never_counts_own = False
        self._health_counts_calls = False
        self._counting = counts_former_calls
        self._counts_until = math.inf
        self._former_calls: int | None = None
        self._count_valid_until = math.inf
        self._matching_responses = 0
        self._advanced_at = -math.inf

    def agent_started(self, now: float) -> None:
        """Record the start of the agent, from which calls of a former one run out."""
        self._counts_until = now + FORMER_CALLS_SECONDS

    def call_started(self, call: int, service_time: float, now: float) -> None:
        """Record a call sent to the instance; ``service_time`` is 0 if unknown."""
        usual = service_time or DEFAULT_SERVICE_TIME_SECONDS
        overdue_at = now + usual * OVERDUE_FACTOR + OVERDUE_MARGIN_SECONDS
        self._calls[call] = _RunningCall(now, overdue_at)

    def call_ended(self, call: int) -> None:
        """Record that a call ended in any way; unknown ones are ignored."""
        self._calls.pop(call, None)

    def response_received(self, stated: int | None, now: float) -> tuple[int, ...]:
        """Return the calls that are lost according to the response to a call that has ended.

        ``stated`` is the number of requests at the instance by its load header, ``None`` without
        one.
        """
        if stated is None:
            self._counting = False
            return ()
        if self._counting:
            self._count_former_calls(stated, now)
        else:
            self._learn_meaning(stated)
        own_request = 1 if self._lone_responses >= LONE_RESPONSES else 0
        return self._find_lost(stated - own_request, now)

    def health_response_received(self, stated: int, now: float) -> tuple[int, ...]:
        """Return the calls that are lost according to the response to a health request."""
        sent = self._sent(now)
        if sent and stated >= sent:
            self._health_counts_calls = True
        return self._find_lost(stated, now) if self._health_counts_calls else ()

    def occupied(self, now: float) -> int:
        """Return the number of slots that calls of a former agent may occupy.

        While that is not known, one call is sent, and another one for each that is overdue.
        """
        if now >= self._counts_until:
            self._counting = False
        if not self._counting:
            return 0
        self._advanced_at = now
        if self._former_calls is not None and now < self._count_valid_until:
            return min(self._former_calls, self._slots)
        self._former_calls = None
        overdue = sum(each.overdue_at <= now for each in self._calls.values())
        return max(0, self._slots - 1 - overdue)

    def next_deadline(self) -> float | None:
        """Return when :meth:`occupied` changes by the passing of time, ``None`` if it doesn't."""
        if not self._counting:
            return None
        times = [each.overdue_at for each in self._calls.values()]
        times.append(self._counts_until)
        if self._former_calls is not None:
            times.append(self._count_valid_until)
        return min((at for at in times if self._advanced_at < at < math.inf), default=None)

    def _count_former_calls(self, stated: int, now: float) -> None:
        own = len(self._calls) + 1
        self._former_calls = max(0, stated - own)
        self._count_valid_until = now + COUNT_VALID_SECONDS
        self._matching_responses = self._matching_responses + 1 if stated == own else 0
        if stated < own or self._matching_responses >= MATCHING_RESPONSES:
            self._counting = False

    def _learn_meaning(self, stated: int) -> None:
        """Learn whether the header counts the request that it belongs to.

        Until that is known it is taken not to: a single lost call may be overlooked then, but no
        slow call is ended.
        """
        if not stated:
            self._never_counts_own, self._lone_responses = True, 0
        elif not self._calls and not self._never_counts_own:
            self._lone_responses += 1

    def _sent(self, now: float) -> int:
        """Return the calls in progress that the instance must have received."""
        return sum(now - each.started_at > CONFIRM_SECONDS for each in self._calls.values())

    def _find_lost(self, stated: int, now: float) -> tuple[int, ...]:
        """Return the most overdue calls, as many as the instance has stated too few for a while."""
        sent = self._sent(now)
        overdue = sorted((c.overdue_at, n) for n, c in self._calls.items() if c.overdue_at <= now)
        deficit = min(sent - stated, len(overdue))
        if deficit <= 0:
            self._deficit_since = math.inf
            return ()
        if math.isinf(self._deficit_since):
            self._deficit_since, self._least_deficit = now, deficit
        self._least_deficit = min(self._least_deficit, deficit)
        if now - self._deficit_since < CONFIRM_SECONDS:
            return ()
        self._deficit_since = math.inf
        return tuple(number for _, number in overdue[: self._least_deficit])
