"""Tables of the experiments' results for the terminal."""

from __future__ import annotations

from collections.abc import Sequence

from limelever_lab.bench_calls.calls_experiment import (
    CallsResult,
    CaseResult,
    ProcessorCost,
    StageTimes,
)
from limelever_lab.bench_calls.results import RunConditions
from limelever_lab.bench_calls.shares_experiment import Phase, SharesResult

MILLISECONDS = 1000.0
COLUMN_GAP = "  "


def render_calls(result: CallsResult) -> str:
    """Return the tables of the call experiment."""
    stages = ("bytes", "direct p50/p99", "refused", "link", "mesh")
    cases = (
        "kind",
        "bytes",
        "callers",
        "direct p50/p99",
        "mesh p50/p99",
        "added p50/p99",
        "calls/s",
        "proxy",
        "agent",
        "source ms",
        "calls/s/core",
        "failed",
    )
    return "\n".join(
        (
            _conditions(result.conditions),
            _table(stages, [_stage_row(stage) for stage in result.stages]),
            "",
            _table(cases, [_case_row(case) for case in result.cases]),
            "",
            _cost_line(result.processor_cost),
        )
    )


def render_shares(result: SharesResult) -> str:
    """Return the table of the share experiment."""
    columns = (
        "phase",
        "group",
        "weight",
        "offered/s",
        "served/s",
        "part",
        "entitled",
        "p50 ms",
        "p99 ms",
        "refused",
        "retry-after",
        "attempts/call",
    )
    rows = [row for phase in result.phases for row in _phase_rows(phase)]
    return f"{_conditions(result.conditions)}\n{_table(columns, rows)}"


def _conditions(conditions: RunConditions) -> str:
    machine = conditions.machine
    return (
        f"{conditions.experiment} on {conditions.deployment}, seed {conditions.seed}; load of "
        f"{machine.processors} processors {machine.before.one_minute:.1f} before, "
        f"{machine.after.one_minute:.1f} after"
    )


def _cost_line(cost: ProcessorCost) -> str:
    proxy, agent = cost.proxy_microseconds_per_call, cost.agent_microseconds_per_call
    return f"processor time a call: proxy {proxy:.0f} us, agent {agent:.0f} us"


def _stage_row(stage: StageTimes) -> list[str]:
    parts = (stage.direct, stage.refused, stage.link, stage.mesh)
    return [str(stage.body_bytes), *(_pair(part.p50, part.p99) for part in parts)]


def _case_row(result: CaseResult) -> list[str]:
    case, used = result.case, result.processor_ms
    return [
        case.kind.value,
        str(case.body_bytes),
        str(case.concurrency),
        _pair(result.direct.p50, result.direct.p99),
        _pair(result.mesh.p50, result.mesh.p99),
        _pair(result.added_p50, result.added_p99),
        f"{result.mesh_calls_per_second:.0f}",
        f"{used.proxy:.2f}",
        f"{used.agents:.2f}",
        f"{used.sources:.2f}",
        f"{result.calls_per_core:.0f}",
        str(result.failed),
    ]


def _phase_rows(phase: Phase) -> list[list[str]]:
    return [
        [
            phase.name,
            group.group,
            str(group.weight),
            f"{group.offered_per_second:.1f}",
            f"{group.served_per_second:.1f}",
            f"{group.served_part:.3f}",
            f"{group.entitled_part:.3f}",
            f"{group.times.p50 * MILLISECONDS:.0f}",
            f"{group.times.p99 * MILLISECONDS:.0f}",
            str(group.refused),
            str(group.with_retry_after),
            f"{phase.attempts_per_call:.3f}",
        ]
        for group in phase.groups
    ]


def _pair(first: float, second: float) -> str:
    return f"{first * MILLISECONDS:.2f}/{second * MILLISECONDS:.2f}"


def _table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [columns, *rows]
    widths = [max(len(line[place]) for line in lines) for place in range(len(columns))]
    return "\n".join(
        COLUMN_GAP.join(cell.rjust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
