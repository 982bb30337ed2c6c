"""The table of switched-off mechanisms: which seed and which checker notices each.

A mechanism's search goes first through the seeds that draw a fault it is there for, then
through the others, and ends at the first seed that fails.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from limelever_lab.simulator.breaks import BREAKS
from limelever_lab.simulator.faults import FaultKind
from limelever_lab.simulator.pool import run_until_failure
from limelever_lab.simulator.result import RunOrder
from limelever_lab.simulator.run import faults_of

EXPOSED_BY: dict[str, tuple[FaultKind, ...]] = {
    "sync-before-vote": (FaultKind.POWER_CUT,),
    "majority-commit": (FaultKind.CUT_OFF_CONTROL, FaultKind.POWER_CUT),
    "rejoin-as-learner": (FaultKind.SECOND_LOSS, FaultKind.LOST_DISK),
    "read-index": (FaultKind.CUT_OFF_CONTROL,),
    "echo-freshness": (FaultKind.CUT_OFF_CONTROL,),
    "request-record": (FaultKind.LOST_ANSWERS,),
    "expected-version": (FaultKind.RACING_OPERATORS,),
    "version-floor": (FaultKind.FAR_BEHIND, FaultKind.HERD_DEATH),
    "once-only-record": (FaultKind.HERD_DEATH,),
    "keeper-sync": (FaultKind.POWER_CUT,),
    "keeper-rejoin": (FaultKind.LOST_DISK, FaultKind.SECOND_LOSS),
    "honest-refusal": (FaultKind.FAILING_BACK_END,),
    "drain-refusal": (FaultKind.LEAVING_BACK_END,),
    "drain-waits": (FaultKind.LEAVING_BACK_END, FaultKind.PLANNED_STOP),
    "stop-waits": (FaultKind.PLANNED_STOP,),
}
"""The faults that a mechanism is there for; one that is missing here needs none."""


@dataclass(frozen=True, slots=True)
class FirstFailure:
    """The first seed that noticed a broken mechanism, ``None`` when none did."""

    name: str
    seed: int | None
    rule: str


def first_failures(seeds: Sequence[int], deployment: str, workers: int) -> list[FirstFailure]:
    """Return, for each mechanism, the first of the seeds whose run breaks a rule without it."""
    series = [_search(name, seeds, deployment) for name in BREAKS]
    results = run_until_failure(series, workers)
    rows = []
    for name, result in zip(BREAKS, results, strict=True):
        if result is None:
            rows.append(FirstFailure(name, None, "-"))
        else:
            rows.append(FirstFailure(name, result.order.seed, result.findings[0].rule.value))
    return rows


def table_lines(rows: Sequence[FirstFailure]) -> list[str]:
    """Return the table as it is printed."""
    lines = [f"{'mechanism':20} {'first failing seed':>18}  checker"]
    for row in rows:
        seed = "NOT CAUGHT" if row.seed is None else str(row.seed)
        lines.append(f"{row.name:20} {seed:>18}  {row.rule}")
    return lines


def _search(name: str, seeds: Sequence[int], deployment: str) -> list[RunOrder]:
    kinds = EXPOSED_BY.get(name, ())
    orders = [RunOrder(seed, deployment, name) for seed in seeds]
    return sorted(orders, key=lambda order: _is_unlikely(order, kinds))


def _is_unlikely(order: RunOrder, kinds: tuple[FaultKind, ...]) -> bool:
    return all(fault.kind not in kinds for fault in faults_of(order))
