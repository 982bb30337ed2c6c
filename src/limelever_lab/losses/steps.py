"""The step of a call at which it was lost, and the time that each step took, from logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from limelever.agent.response_pacer import NO_LINK_CAPACITY
from limelever.common.errors import ErrorKind, Outcome
from limelever_lab.logs import Line

WINDOW_SECONDS = 2
NESTED = "."
"""Stands in the id of a call between the id of the call that made it and its own."""


class Step(StrEnum):
    """Where on its way a call was when it ended; ``ANSWER``: no room on the link for its answer."""

    EDGE = "edge"
    KEY = "key"
    LIMIT = "limit"
    CHOICE = "choice"
    LINK = "link"
    QUEUE = "queue"
    ANSWER = "answer"
    SLOT = "slot"


_EDGE_STEPS = {
    ErrorKind.UNAUTHENTICATED: Step.KEY,
    ErrorKind.RATE_LIMITED: Step.LIMIT,
}
_STEPS = {
    ErrorKind.NO_ENDPOINT: Step.CHOICE,
    ErrorKind.ZONE_DRAINED: Step.CHOICE,
    ErrorKind.INSTANCE_LIMITED: Step.QUEUE,
    ErrorKind.CONNECTION_FAILED: Step.LINK,
    ErrorKind.CONNECTION_LOST: Step.LINK,
    ErrorKind.DEADLINE_TOO_SHORT: Step.QUEUE,
    ErrorKind.OVERLOADED: Step.QUEUE,
    ErrorKind.BACKEND_FAILED: Step.SLOT,
    ErrorKind.BACKEND_REFUSED: Step.SLOT,
    ErrorKind.DEADLINE_EXCEEDED: Step.SLOT,
}


@dataclass(frozen=True, slots=True)
class Loss:
    """Calls without a back end's answer, alike in window, route, end and step."""

    second: int
    route: str
    end: str
    step: Step


@dataclass(frozen=True, slots=True)
class Times:
    """Mean milliseconds that the followed calls of a route took, in all and by step.

    ``path`` is what is left: edge, choice, links, and waiting for the answers before it.
    """

    route: str
    calls: int
    total: float
    queue: float
    work: float
    nested: float
    path: float


def losses(lines: Iterable[Line], begin: float) -> Counter[Loss]:
    """Count the calls that ended without a back end's answer; ``begin`` in seconds of the epoch."""
    counted: Counter[Loss] = Counter()
    for line in lines:
        if line.event == "call-failed":
            counted[_loss(line, begin)] += 1
    return counted


def losses_by_tenant(lines: Iterable[Line]) -> dict[str, Counter[Step]]:
    """Count by step the calls of each tenant that ended without a back end's answer, most first."""
    counted: defaultdict[str, Counter[Step]] = defaultdict(Counter)
    for line in lines:
        if line.event == "call-failed" and line.fields.get("tenant"):
            counted[line.fields["tenant"]][_step(line)] += 1
    return dict(sorted(counted.items(), key=lambda each: (-each[1].total(), each[0])))


def _loss(line: Line, begin: float) -> Loss:
    fields = line.fields
    second = int((line.at - begin) // WINDOW_SECONDS * WINDOW_SECONDS)
    if not fields["attempts"]:
        return Loss(second, fields["route"] or fields["kind"], "never offered", _step(line))
    end = "refused" if fields["outcome"] == Outcome.NOT_RUN.value else "failed"
    return Loss(second, fields["route"], end, _step(line))


def _step(line: Line) -> Step:
    fields = line.fields
    kind = ErrorKind(fields["kind"])
    if not fields["attempts"]:
        return _EDGE_STEPS.get(kind, Step.EDGE)
    if fields["reason"] == NO_LINK_CAPACITY:
        return Step.ANSWER
    return _STEPS.get(kind, Step.EDGE)


def times(lines: Sequence[Line]) -> list[Times]:
    """Return the times of calls of which both the proxy's and the agent's lines are there."""
    answered = {line.fields["request_id"]: line for line in lines if line.event == "call-answered"}
    ran = {line.fields["request_id"]: line.fields for line in lines if line.event == "call-ran"}
    nested = _nested(answered)
    by_route: defaultdict[str, list[Times]] = defaultdict(list)
    for name, line in answered.items():
        if name in ran:
            route = line.fields["route"]
            by_route[route].append(_of_call(line.fields, ran[name], nested.get(name, 0.0)))
    return [_mean(route, each) for route, each in sorted(by_route.items())]


def _nested(answered: dict[str, Line]) -> dict[str, float]:
    """Return the milliseconds of the longest call that each call made."""
    longest: defaultdict[str, float] = defaultdict(float)
    for name, line in answered.items():
        parent, dot, _ = name.rpartition(NESTED)
        if dot:
            longest[parent] = max(longest[parent], line.fields["milliseconds"])
    return longest


def _of_call(proxy: dict[str, float], agent: dict[str, float], nested: float) -> Times:
    total = proxy["milliseconds"]
    queue, ran = agent["waited_milliseconds"], agent["ran_milliseconds"]
    in_calls = min(nested, ran)
    return Times("", 1, total, queue, ran - in_calls, in_calls, max(0.0, total - queue - ran))


def _mean(route: str, calls: list[Times]) -> Times:
    def mean(values: Iterable[float]) -> float:
        return sum(values) / len(calls)

    return Times(
        route,
        len(calls),
        mean(each.total for each in calls),
        mean(each.queue for each in calls),
        mean(each.work for each in calls),
        mean(each.nested for each in calls),
        mean(each.path for each in calls),
    )
