"""Holds what came to instances against the limits and leaves that they stated.

A node counts once it has passed on an answer with the statement; a strike on it excuses it until
it passes on another one.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from stating_instances import Exchange, StatingInstance

SETTLE_SECONDS = 3.0
"""Time from a statement of a limit until it binds."""

SPAN_SECONDS = 4.0
OVER, SLACK = 1.5, 5
HEARD_SECONDS = 0.5
"""Time that a node may take to act on the limit in an answer that it has passed on."""

LEAVE_SECONDS = 2.0
"""Time in which requests may still be sent to an instance that has stated that it leaves."""


@dataclass
class StatementAudit:
    """Judges the requests of callers; ``strikes`` are the times of strikes by node."""

    instances: Sequence[StatingInstance]
    exchanges: Iterable[Exchange]
    strikes: Mapping[str, Sequence[float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._sent = {each.request: each for each in self.exchanges}

    def over_limit(self) -> list[str]:
        """Return each instance that got more requests in a span than its limit allows."""
        return [broken for each in self.instances if (broken := self._worst_span(each))]

    def after_leave(self) -> list[str]:
        """Return the requests that were sent too late to instances that had stated their leave."""
        broken: list[str] = []
        for instance in self.instances:
            passed = self._passed_on(instance.name, "states_leaving")
            for arrival in instance.arrivals:
                sent = self._sent.get(arrival.request)
                if sent is None:
                    continue
                passed_at = self._first_passed_on(passed.get(sent.node, ()), sent.node, arrival.at)
                if passed_at is not None and sent.sent_at > passed_at + LEAVE_SECONDS:
                    late = sent.sent_at - passed_at
                    broken.append(f"{instance.name} got {arrival.request} of {sent.node}, {late=}")
        return broken

    def counted(self, instance: StatingInstance) -> list[float]:
        """Return when requests came from nodes that had passed on the instance's limit."""
        passed = self._passed_on(instance.name, "states_limit")
        times = []
        for arrival in instance.arrivals:
            sent = self._sent.get(arrival.request)
            if sent is None:
                continue
            passed_at = self._first_passed_on(passed.get(sent.node, ()), sent.node, arrival.at)
            if passed_at is not None and passed_at + HEARD_SECONDS <= arrival.at:
                times.append(arrival.at)
        return sorted(times)

    def most_in_span(self, instance: StatingInstance) -> int:
        """Return the most counted requests that came to an instance in a span."""
        times = self.counted(instance)
        ends = [bisect.bisect_right(times, begun + SPAN_SECONDS) for begun in times]
        spans = zip(times, ends, strict=True)
        counts = [
            end - number
            for number, (begun, end) in enumerate(spans)
            if self._allowed(instance, begun) is not None
        ]
        return max(counts, default=0)

    def _worst_span(self, instance: StatingInstance) -> str:
        """Return the span that exceeds its allowance most; each begins at a request."""
        worst, found = 0.0, ""
        times = self.counted(instance)
        for number, begun in enumerate(times):
            allowed = self._allowed(instance, begun)
            count = bisect.bisect_right(times, begun + SPAN_SECONDS) - number
            if allowed is not None and count - allowed > worst:
                worst = count - allowed
                found = f"{instance.name} got {count} in {SPAN_SECONDS:g} s, allowed {allowed:g}"
        return found

    def _allowed(self, instance: StatingInstance, begun: float) -> float | None:
        """Return the requests allowed in a span, ``None`` if no limit binds in all of it."""
        stated = instance.statements
        ends = [each.at for each in stated[1:]] + [float("inf")]
        total = 0.0
        for statement, until in zip(stated, ends, strict=True):
            overlap = min(until, begun + SPAN_SECONDS) - max(statement.at, begun)
            if overlap <= 0:
                continue
            if statement.limit is None:
                return None
            total += statement.limit * overlap
        settled = _limited_since(instance, begun) + SETTLE_SECONDS
        return None if begun < settled else OVER * total + SLACK

    def _passed_on(self, instance: str, what: str) -> dict[str, list[float]]:
        """Return when each node has passed on an answer of the instance with a statement."""
        passed: dict[str, list[float]] = {}
        for each in self._sent.values():
            if each.instance == instance and getattr(each, what):
                passed.setdefault(each.node, []).append(each.ended_at)
        return {node: sorted(times) for node, times in passed.items()}

    def _first_passed_on(self, passed: Sequence[float], node: str, at: float) -> float | None:
        """Return when the node first passed on the statement after its last strike by ``at``."""
        last_strike = max((each for each in self.strikes.get(node, ()) if each <= at), default=0.0)
        first = bisect.bisect_right(passed, last_strike)
        return passed[first] if first < len(passed) and passed[first] <= at else None


def _limited_since(instance: StatingInstance, at: float) -> float:
    """Return since when an instance that states a limit at ``at`` has stated one."""
    since = at
    for statement in reversed([each for each in instance.statements if each.at <= at]):
        if statement.limit is None:
            break
        since = statement.at
    return since
