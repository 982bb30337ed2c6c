"""The steps of a recovery, as log lines show them: which event, and at how many processes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from limelever_lab.logs import Line

NODE_ROLES = frozenset({"node", "proxy", "agent"})


@dataclass(frozen=True, slots=True)
class Step:
    """A step that is done at a process with its first event of that name after the loss."""

    name: str
    event: str
    of_nodes: bool


STEPS = (
    Step("control process started", "process-started", of_nodes=False),
    Step("leader elected", "leader-elected", of_nodes=False),
    Step("control publishes", "version-published", of_nodes=False),
    Step("node started", "process-started", of_nodes=True),
    Step("node listens to callers", "edge-listening", of_nodes=True),
    Step("node has routes", "routes-in-force", of_nodes=True),
    Step("instance registered", "lease-granted", of_nodes=True),
    Step("node chose an endpoint", "attempt-sent", of_nodes=True),
    Step("node answered a call", "call-answered", of_nodes=True),
)


@dataclass(frozen=True, slots=True)
class Reached:
    """When a step was reached by the first, half and nine tenths of the processes that reached it.

    Seconds after the loss; ``processes`` is their number.
    """

    step: Step
    processes: int
    first: float
    half: float
    most: float


def reached_after(lines: Iterable[Line], loss: float) -> list[Reached]:
    """Return when each step was reached after a loss at ``loss`` (seconds since the epoch)."""
    firsts: dict[Step, dict[str, float]] = {step: {} for step in STEPS}
    for line in lines:
        if line.at < loss:
            continue
        for step in STEPS:
            if step.event == line.event and step.of_nodes == (line.role in NODE_ROLES):
                firsts[step].setdefault(line.process, line.at - loss)
    return [_quantiles(step, sorted(times.values())) for step, times in firsts.items() if times]


def _quantiles(step: Step, times: list[float]) -> Reached:
    most = times[(len(times) * 9) // 10] if len(times) > 1 else times[0]
    return Reached(step, len(times), times[0], times[len(times) // 2], most)


def largest_start(lines: Iterable[Line]) -> float:
    """Return the start of the second in which most processes started, the last such one.

    A loss of all shows so, without being told when it was.
    """
    starts: dict[int, int] = {}
    for line in lines:
        if line.event == "process-started":
            starts[int(line.at)] = starts.get(int(line.at), 0) + 1
    return float(max(starts, key=lambda second: (starts[second], second)))
