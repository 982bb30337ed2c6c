"""The ``shares`` experiment: parts served against weights, while groups flood the back ends.

Each load is offered three ways with the same arrivals: with the groups' shares, with all calls
in one group, and straight to the back ends in turn without the mesh.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import partial

import trio

from limelever_lab.bench_calls.deployment import EchoFleetSize, GroupShare, backend_addresses
from limelever_lab.bench_calls.fair_division import entitled_rates
from limelever_lab.bench_calls.open_loop import GroupCalls, OpenLoop, run_open_loop
from limelever_lab.bench_calls.results import RunConditions
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.load.outcomes import Quantiles, quantiles

FLEET_SIZE = EchoFleetSize(zones=2, instances=2, slots=4, service_seconds=0.1)
CALL_TIMEOUT_MS = 1000
FLOOD_FACTOR = 10.0
STEADY_FACTOR = 0.8
OVERLOAD_FACTOR = 2.5
SILENT_FLOOD_FACTOR = 1.2
WARM_UP_SECONDS = 1.5
PHASE_SECONDS = 8.0
SHARES = (GroupShare("small", 1), GroupShare("middle", 2), GroupShare("large", 5))
FRAMES_METRIC = "limelever_link_frames_total"
CALL_FRAMES_OUT = (("direction", "out"), ("purpose", "calls"))


class Variant(StrEnum):
    """How the calls are offered."""

    SHARES = "shares"
    ONE_GROUP = "one group"
    DIRECT = "direct"


@dataclass(frozen=True, slots=True)
class GroupResult:
    """One group in one phase; rates in calls a second, parts of all calls served, times in s.

    ``entitled_part`` is the weighted max-min division of the back ends' capacity.
    """

    group: str
    weight: int
    offered_per_second: float
    served_per_second: float
    served_part: float
    entitled_part: float
    times: Quantiles
    refused: int
    refused_by_kind: dict[str, int]
    with_retry_after: int


@dataclass(frozen=True, slots=True)
class Phase:
    """One load offered one way.

    ``attempts_per_call`` is frames from proxies to agents over calls made: an upper bound,
    because a cancel is a frame as well.
    """

    name: str
    variant: Variant
    capacity_per_second: float
    attempts_per_call: float
    groups: tuple[GroupResult, ...]


@dataclass(frozen=True, slots=True)
class SharesResult:
    """The result of one run."""

    conditions: RunConditions
    fleet: EchoFleetSize
    shares: tuple[GroupShare, ...]
    phases: tuple[Phase, ...]


@dataclass(frozen=True, slots=True)
class Load:
    """Rates offered by group in calls a second; ``late`` groups begin when counting begins."""

    name: str
    rates: Mapping[str, float]
    late: frozenset[str] = frozenset()


def offered_loads(shares: Sequence[GroupShare], capacity: float) -> tuple[Load, ...]:
    """Return the loads: one group floods; all overload; one is silent; one comes late."""
    total = sum(share.weight for share in shares)
    parts = {share.group: capacity * share.weight / total for share in shares}
    flooding = min(shares, key=lambda share: share.weight).group
    heaviest = max(shares, key=lambda share: share.weight).group
    flood = {
        group: part * (FLOOD_FACTOR if group == flooding else STEADY_FACTOR)
        for group, part in parts.items()
    }
    equal_flood = {group: capacity * SILENT_FLOOD_FACTOR for group in parts}
    overload = {group: part * OVERLOAD_FACTOR for group, part in parts.items()}
    return (
        Load(f"{flooding} floods", flood),
        Load("all overload", overload),
        Load(f"{heaviest} silent", equal_flood | {heaviest: 0.0}),
        Load(f"{heaviest} late", overload, frozenset({heaviest})),
    )


def run_shares(
    fleet: Fleet, shares: Sequence[GroupShare], seed: int, seconds: float = PHASE_SECONDS
) -> tuple[Phase, ...]:
    """Offer every load in every way to a fleet that is up."""
    capacity = FLEET_SIZE.instances * FLEET_SIZE.slots / FLEET_SIZE.service_seconds
    return tuple(
        _run_phase(fleet, shares, load, variant, seed, seconds)
        for load in offered_loads(shares, capacity)
        for variant in Variant
    )


def _run_phase(
    fleet: Fleet,
    shares: Sequence[GroupShare],
    load: Load,
    variant: Variant,
    seed: int,
    seconds: float,
) -> Phase:
    targets = backend_addresses(fleet) if variant is Variant.DIRECT else fleet.targets
    plan = OpenLoop(
        load.rates, variant is not Variant.SHARES, WARM_UP_SECONDS, seconds, seed, load.late
    )
    frames_before = _call_frames(fleet)
    calls = trio.run(partial(run_open_loop, targets, plan))
    frames = _call_frames(fleet) - frames_before
    made = sum(group.offered for group in calls.values()) * (1 + WARM_UP_SECONDS / seconds)
    capacity = FLEET_SIZE.instances * FLEET_SIZE.slots / FLEET_SIZE.service_seconds
    return Phase(
        name=f"{load.name}, {variant.value}",
        variant=variant,
        capacity_per_second=capacity,
        attempts_per_call=frames / made,
        groups=group_results(calls, shares, load.rates, capacity, seconds),
    )


def group_results(
    calls: Mapping[str, GroupCalls],
    shares: Sequence[GroupShare],
    rates: Mapping[str, float],
    capacity: float,
    seconds: float,
) -> tuple[GroupResult, ...]:
    """Work out the parts of a phase."""
    weights = {share.group: share.weight for share in shares}
    entitled = entitled_rates(rates, weights, capacity)
    served = max(1, sum(len(group.answered) for group in calls.values()))
    return tuple(
        GroupResult(
            group=group,
            weight=weights[group],
            offered_per_second=made.offered / seconds,
            served_per_second=len(made.answered) / seconds,
            served_part=len(made.answered) / served,
            entitled_part=entitled[group] / sum(entitled.values()),
            times=quantiles(made.answered),
            refused=made.refused.total(),
            refused_by_kind=dict(made.refused),
            with_retry_after=made.with_retry_after,
        )
        for group, made in calls.items()
    )


def _call_frames(fleet: Fleet) -> float:
    return sum(
        sample.value
        for proxy in fleet.proxies
        for sample in proxy.samples()
        if sample.name == FRAMES_METRIC and sample.labels == CALL_FRAMES_OUT
    )
