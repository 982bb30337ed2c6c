"""The ``calls`` experiment: what the mesh adds to a call, against direct calls beside it.

Slices of direct and of mesh calls take turns, so that both meet the same load of the machine.
An added time is a difference of quantiles, not a quantile of differences.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import partial

import trio

from limelever.common.sansio import Role
from limelever_lab.bench.linear_fit import LinearFit, fit
from limelever_lab.bench_calls.client import Callers, CallKind, CallPlan, CallTimes, call_plan
from limelever_lab.bench_calls.deployment import (
    UNKNOWN_PATH,
    EchoFleetSize,
    backend_addresses,
)
from limelever_lab.bench_calls.link_client import time_link_calls
from limelever_lab.bench_calls.results import RunConditions
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.layout import loopback
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.settings_files import draw_secrets
from limelever_lab.load.outcomes import Quantiles, quantiles

KIBIBYTE = 1024
LARGE_BODY = 256 * KIBIBYTE
CONCURRENCIES = (1, 8, 32)
SLICES = 4
SLICE_SECONDS = 0.5
WARM_UP_SECONDS = 0.5
HTTP_NOT_FOUND = 404
MILLISECONDS = 1000.0
MICROSECONDS = 1e6
SHORTEST_SECONDS = 1e-6
FLEET_SIZE = EchoFleetSize(zones=1, instances=3, slots=16)
CALL_TIMEOUT_MS = 5000


@dataclass(frozen=True, slots=True)
class CallCase:
    """One point of the experiment; ``body_bytes`` go there and come back."""

    kind: CallKind
    body_bytes: int
    concurrency: int


@dataclass(frozen=True, slots=True)
class ProcessorTime:
    """Milliseconds of a processor that each role spent on one call."""

    proxy: float
    agents: float
    sources: float


@dataclass(frozen=True, slots=True)
class CaseResult:
    """Times in seconds; ``added`` is mesh less direct, ``ratio`` mesh over direct.

    ``calls_per_core`` is how many calls a second one core carries, proxy and agents together.
    """

    case: CallCase
    direct: Quantiles
    mesh: Quantiles
    added_p50: float
    added_p99: float
    ratio_p50: float
    ratio_p99: float
    direct_calls_per_second: float
    mesh_calls_per_second: float
    processor_ms: ProcessorTime
    calls_per_core: float
    failed: int


@dataclass(frozen=True, slots=True)
class SliceCost:
    """Calls in one slice of time, and the processor seconds that the roles spent in it."""

    calls: int
    used: ProcessorTime


@dataclass(frozen=True, slots=True)
class ProcessorCost:
    """Processor microseconds a call: slopes over slices with no, few and many calls.

    The calls are repeatable and have no body. The intercepts are what the roles spend in a
    slice without calls.
    """

    proxy_microseconds_per_call: float
    agent_microseconds_per_call: float
    slice_seconds: float
    proxy_fit: LinearFit
    agent_fit: LinearFit


@dataclass(frozen=True, slots=True)
class StageTimes:
    """How the time of a call splits: one caller, calls one after another, the same body.

    ``direct`` is client and back end. ``refused`` is a call that the proxy refuses at once:
    client, the proxy's HTTP server and the edge. ``link`` is a call sent to an agent as a proxy
    sends it: link, agent, HTTP client and back end. ``mesh`` is the whole path.
    """

    body_bytes: int
    direct: Quantiles
    refused: Quantiles
    link: Quantiles
    mesh: Quantiles


@dataclass(frozen=True, slots=True)
class CallsResult:
    """The result of one run."""

    conditions: RunConditions
    fleet: EchoFleetSize
    stages: tuple[StageTimes, ...]
    cases: tuple[CaseResult, ...]
    processor_cost: ProcessorCost


def call_cases() -> tuple[CallCase, ...]:
    """Return the points of the experiment."""
    small = (
        CallCase(kind, size, concurrency)
        for kind in CallKind
        for size in (0, KIBIBYTE)
        for concurrency in CONCURRENCIES
    )
    large = (
        CallCase(CallKind.REPEATABLE, LARGE_BODY, 1),
        CallCase(CallKind.REPEATABLE, LARGE_BODY, 8),
        CallCase(CallKind.AT_MOST_ONCE, LARGE_BODY, 1),
    )
    return (*small, *large)


class CallsExperiment:
    """Runs the points against a fleet that is up."""

    def __init__(self, fleet: Fleet, seed: int, slice_seconds: float = SLICE_SECONDS) -> None:
        self._fleet = fleet
        self._seed = seed
        self._seconds = slice_seconds
        self._random = random.Random(seed)
        self._callers = Callers(seed)
        self._direct = backend_addresses(fleet)
        self._slices: list[SliceCost] = []

    def warm_up(self) -> None:
        """Open the links and connections before anything is timed."""
        plan = call_plan(CallKind.AT_MOST_ONCE, b"", max(CONCURRENCIES))
        self._run(self._fleet.targets, plan, WARM_UP_SECONDS)

    def stages(self, body_bytes: int) -> StageTimes:
        """Measure how the time of a call splits."""
        body = self._random.randbytes(body_bytes)
        plan = call_plan(CallKind.REPEATABLE, body, 1)
        refused = CallPlan(UNKNOWN_PATH, CallKind.REPEATABLE, body, 1, HTTP_NOT_FOUND)
        times = [CallTimes() for _ in range(4)]
        for _ in range(SLICES):
            times[0].add(self._run(self._direct, plan, self._seconds))
            times[1].add(self._run(self._fleet.targets, refused, self._seconds))
            times[2].add(self._run_link(body))
            times[3].add(self._run(self._fleet.targets, plan, self._seconds))
        direct, refusals, link, mesh = (quantiles(part.answered) for part in times)
        return StageTimes(body_bytes, direct, refusals, link, mesh)

    def measure(self, case: CallCase) -> CaseResult:
        """Measure one point, direct and mesh calls in turn."""
        plan = call_plan(case.kind, self._random.randbytes(case.body_bytes), case.concurrency)
        direct, mesh = CallTimes(), CallTimes()
        used = ProcessorTime(0.0, 0.0, 0.0)
        for _ in range(SLICES):
            direct.add(self._run(self._direct, plan, self._seconds))
            calls_before, before = mesh.made, self._processor_time()
            mesh.add(self._run(self._fleet.targets, plan, self._seconds))
            spent = _minus(self._processor_time(), before)
            used = _plus(used, spent)
            if case.kind is CallKind.REPEATABLE and not case.body_bytes:
                self._slices.append(SliceCost(mesh.made - calls_before, spent))
        return case_result(case, direct, mesh, used)

    def processor_costs(self) -> ProcessorCost:
        """Return the cost of a call, from the slices measured before and some without calls."""
        for _ in range(SLICES):
            before = self._processor_time()
            time.sleep(self._seconds)
            self._slices.append(SliceCost(0, _minus(self._processor_time(), before)))
        return processor_cost(self._slices, self._seconds)

    def _run(self, targets: Sequence[str], plan: CallPlan, seconds: float) -> CallTimes:
        return trio.run(self._callers.run, targets, plan, seconds)

    def _run_link(self, body: bytes) -> CallTimes:
        fleet = self._fleet
        address = loopback(fleet.layout.agents[0].link_port)
        credential = draw_secrets(random.Random(self._seed)).of(Role.PROXY).own
        return trio.run(
            partial(time_link_calls, address, credential, body, self._seconds, self._seed)
        )

    def _processor_time(self) -> ProcessorTime:
        fleet = self._fleet
        return ProcessorTime(
            _processor_seconds(fleet.proxies),
            _processor_seconds(fleet.agents),
            _processor_seconds(fleet.sources),
        )


def case_result(
    case: CallCase, direct: CallTimes, mesh: CallTimes, used: ProcessorTime
) -> CaseResult:
    """Work a point's result out; ``used`` is in seconds over all mesh calls."""
    direct_times, mesh_times = quantiles(direct.answered), quantiles(mesh.answered)
    calls = max(1, len(mesh.answered) + mesh.failed)
    path_seconds = used.proxy + used.agents
    return CaseResult(
        case=case,
        direct=direct_times,
        mesh=mesh_times,
        added_p50=mesh_times.p50 - direct_times.p50,
        added_p99=mesh_times.p99 - direct_times.p99,
        ratio_p50=mesh_times.p50 / max(direct_times.p50, SHORTEST_SECONDS),
        ratio_p99=mesh_times.p99 / max(direct_times.p99, SHORTEST_SECONDS),
        direct_calls_per_second=len(direct.answered) / max(direct.elapsed, SHORTEST_SECONDS),
        mesh_calls_per_second=len(mesh.answered) / max(mesh.elapsed, SHORTEST_SECONDS),
        processor_ms=ProcessorTime(
            used.proxy / calls * MILLISECONDS,
            used.agents / calls * MILLISECONDS,
            used.sources / calls * MILLISECONDS,
        ),
        calls_per_core=calls / path_seconds if path_seconds else 0.0,
        failed=direct.failed + mesh.failed,
    )


def processor_cost(slices: Sequence[SliceCost], slice_seconds: float) -> ProcessorCost:
    """Fit the processor time of the roles to the number of calls."""
    calls = [float(each.calls) for each in slices]
    proxy = [each.used.proxy * MICROSECONDS for each in slices]
    agents = [each.used.agents * MICROSECONDS for each in slices]
    proxy_fit = fit("processor time of the proxy", "microseconds", calls, proxy)
    agent_fit = fit("processor time of all agents", "microseconds", calls, agents)
    return ProcessorCost(proxy_fit.slope, agent_fit.slope, slice_seconds, proxy_fit, agent_fit)


def _processor_seconds(members: Iterable[Member]) -> float:
    return sum(member.process.processor_seconds() for member in members)


def _minus(after: ProcessorTime, before: ProcessorTime) -> ProcessorTime:
    return ProcessorTime(
        after.proxy - before.proxy, after.agents - before.agents, after.sources - before.sources
    )


def _plus(one: ProcessorTime, other: ProcessorTime) -> ProcessorTime:
    return ProcessorTime(
        one.proxy + other.proxy, one.agents + other.agents, one.sources + other.sources
    )
