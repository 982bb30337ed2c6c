"""The faults of the brief, and how a seed draws them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

LEADER = "@leader"
"""Target resolved when the fault strikes: the source process that leads then."""
SERVING = "@serving"
"""Target resolved when the fault strikes: the source process with the most subscribers."""
SERVING_WEIGHT = 8
FIRST_FAULT_AT = 8.0
LAST_FAULT_AT = 24.0
"""Seconds of virtual time between which faults begin."""
SINGLE_FAULT_CHANCE = 0.4


class FaultKind(StrEnum):
    """What fails; the brief's list under "What fails"."""

    HERD_DEATH = "herd-death"
    RECONNECT_STORM = "reconnect-storm"
    SOURCE_OUTAGE = "source-outage"
    ONE_WAY_CUT = "one-way-cut"
    LATE_ANSWERS = "late-answers"
    FROZEN_CONTROL = "frozen-control"
    CUT_OFF_CONTROL = "cut-off-control"
    RACING_OPERATORS = "racing-operators"
    LOST_ANSWERS = "lost-answers"
    LOST_DISK = "lost-disk"
    SECOND_LOSS = "second-loss"
    TORN_WRITE = "torn-write"
    POWER_CUT = "power-cut"
    FAR_BEHIND = "far-behind"
    LYING_LOAD = "lying-load"
    LAGGING_LIST = "lagging-list"
    LEAVING_BACK_END = "leaving-back-end"
    FAILING_BACK_END = "failing-back-end"
    PLANNED_STOP = "planned-stop"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it strikes, for how long (seconds), and on which processes."""

    kind: FaultKind
    at: float
    duration: float
    targets: tuple[str, ...] = ()

    @property
    def end(self) -> float:
        """Return the virtual time at which the fault is over."""
        return self.at + self.duration

    def __str__(self) -> str:
        """Return the fault as a failing seed's report prints it."""
        names = ", ".join(self.targets) or "-"
        return f"{self.kind.value} at {self.at:.2f} s for {self.duration:.2f} s on {names}"


CONTAINED_KINDS = frozenset(
    {
        FaultKind.FROZEN_CONTROL,
        FaultKind.CUT_OFF_CONTROL,
        FaultKind.RACING_OPERATORS,
        FaultKind.LYING_LOAD,
        FaultKind.LAGGING_LIST,
    }
)
"""Faults under which every proxy keeps a way to some current publisher, when one strikes alone."""


def is_contained(faults: tuple[Fault, ...]) -> bool:
    """Return whether every proxy could stay current all the time under these faults."""
    control = (FaultKind.FROZEN_CONTROL, FaultKind.CUT_OFF_CONTROL)
    striking = [fault for fault in faults if fault.kind in control]
    return len(striking) <= 1 and all(fault.kind in CONTAINED_KINDS for fault in faults)


@dataclass(frozen=True, slots=True)
class Population:
    """Names of the processes of a deployment, by role."""

    sources: tuple[str, ...]
    relays: tuple[str, ...] = ()
    proxies: tuple[str, ...] = ()
    agents: tuple[str, ...] = ()

    @property
    def control(self) -> tuple[str, ...]:
        """Return the processes that distribute configuration."""
        return self.sources + self.relays

    @property
    def everyone(self) -> tuple[str, ...]:
        """Return all processes."""
        return self.control + self.proxies + self.agents


@dataclass(frozen=True, slots=True)
class DurationRange:
    """Seconds a fault lasts, drawn between the two."""

    shortest: float
    longest: float


_DURATIONS = {
    FaultKind.HERD_DEATH: DurationRange(0.5, 8.0),
    FaultKind.RECONNECT_STORM: DurationRange(0.2, 2.0),
    FaultKind.SOURCE_OUTAGE: DurationRange(2.0, 12.0),
    FaultKind.ONE_WAY_CUT: DurationRange(1.0, 15.0),
    FaultKind.LATE_ANSWERS: DurationRange(0.05, 1.0),
    FaultKind.FROZEN_CONTROL: DurationRange(1.0, 15.0),
    FaultKind.CUT_OFF_CONTROL: DurationRange(18.0, 28.0),
    FaultKind.RACING_OPERATORS: DurationRange(2.0, 6.0),
    FaultKind.LOST_ANSWERS: DurationRange(3.0, 8.0),
    FaultKind.LOST_DISK: DurationRange(2.0, 5.0),
    FaultKind.SECOND_LOSS: DurationRange(6.0, 12.0),
    FaultKind.TORN_WRITE: DurationRange(0.5, 4.0),
    FaultKind.POWER_CUT: DurationRange(6.0, 10.0),
    FaultKind.FAR_BEHIND: DurationRange(6.0, 12.0),
    FaultKind.LYING_LOAD: DurationRange(5.0, 15.0),
    FaultKind.LAGGING_LIST: DurationRange(5.0, 15.0),
    FaultKind.LEAVING_BACK_END: DurationRange(8.0, 12.0),
    FaultKind.FAILING_BACK_END: DurationRange(5.0, 10.0),
    FaultKind.PLANNED_STOP: DurationRange(4.0, 8.0),
}


def draw_faults(seed: int, population: Population) -> tuple[Fault, ...]:
    """Return the faults of a seed: one, or a pair that may overlap.

    The first kind goes round with the seed, so that every run of seeds holds each kind. The
    draw has a random source of its own, so that dropping one fault changes no other.
    """
    source = random.Random(f"faults-{seed}")
    kinds = [kind for kind in FaultKind if _applies(kind, population)]
    drawn = [kinds[seed % len(kinds)]]
    if source.random() >= SINGLE_FAULT_CHANCE:
        drawn.append(source.choice(kinds))
    faults = [_draw(source, kind, population) for kind in drawn]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _applies(kind: FaultKind, population: Population) -> bool:
    if kind is FaultKind.RECONNECT_STORM:
        return bool(population.relays)
    if kind is FaultKind.FAR_BEHIND:
        return bool(population.relays or population.proxies)
    if kind in _ONE_AGENT:
        return bool(population.agents)
    if kind is FaultKind.PLANNED_STOP:
        return bool(population.proxies or population.agents)
    return True


def _draw(source: random.Random, kind: FaultKind, population: Population) -> Fault:
    at = source.uniform(FIRST_FAULT_AT, LAST_FAULT_AT)
    limits = _DURATIONS[kind]
    duration = source.uniform(limits.shortest, limits.longest)
    return Fault(kind, at, duration, _draw_targets(source, kind, population))


_PAIR_OF_ANY = frozenset({FaultKind.ONE_WAY_CUT, FaultKind.LATE_ANSWERS})
_PAIR_OF_SOURCES = frozenset({FaultKind.LOST_DISK, FaultKind.SECOND_LOSS})
_ONE_AGENT = frozenset(
    {
        FaultKind.LYING_LOAD,
        FaultKind.LAGGING_LIST,
        FaultKind.LEAVING_BACK_END,
        FaultKind.FAILING_BACK_END,
    }
)


def _draw_targets(
    source: random.Random, kind: FaultKind, population: Population
) -> tuple[str, ...]:
    if kind is FaultKind.HERD_DEATH:
        everyone = population.everyone
        return _sample(source, everyone, source.randint(1, max(1, len(everyone) // 2)))
    if kind is FaultKind.RECONNECT_STORM:
        return population.relays
    if kind in (FaultKind.SOURCE_OUTAGE, FaultKind.POWER_CUT):
        return population.sources
    if kind in _PAIR_OF_ANY:
        return _sample(source, population.everyone, 2)
    if kind in _PAIR_OF_SOURCES:
        return _sample(source, population.sources, 2)
    candidates = _single_candidates(kind, population)
    return (source.choice(candidates),) if candidates else ()


def _single_candidates(kind: FaultKind, population: Population) -> tuple[str, ...]:
    if kind is FaultKind.CUT_OFF_CONTROL:
        return (LEADER, *[SERVING] * SERVING_WEIGHT, *population.relays)
    if kind is FaultKind.FROZEN_CONTROL:
        return (LEADER, SERVING, *population.control)
    if kind is FaultKind.TORN_WRITE:
        return (LEADER, *population.sources)
    if kind is FaultKind.FAR_BEHIND:
        return population.relays + population.proxies
    if kind in _ONE_AGENT:
        return population.agents
    if kind is FaultKind.PLANNED_STOP:
        return population.proxies + population.agents
    return ()


def _sample(source: random.Random, names: tuple[str, ...], count: int) -> tuple[str, ...]:
    return tuple(source.sample(names, count))
