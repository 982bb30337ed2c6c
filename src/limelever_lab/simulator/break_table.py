"""The table of switched-off mechanisms and the first seed that notices each."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from limelever_lab.simulator.breaks import BREAKS
from limelever_lab.simulator.pool import run_until_failure
from limelever_lab.simulator.result import RunOrder


@dataclass(frozen=True, slots=True)
class FirstFailure:
    """The first seed that noticed a broken mechanism, ``None`` when none did."""

    name: str
    seed: int | None
    rule: str


def first_failures(seeds: Sequence[int], deployment: str, workers: int) -> Iterator[FirstFailure]:
    """Yield, for each mechanism, the first of the seeds whose run breaks a rule without it."""
    series = [[RunOrder(seed, deployment, name) for seed in seeds] for name in BREAKS]
    for name, result in zip(BREAKS, run_until_failure(series, workers), strict=True):
        if result is None:
            yield FirstFailure(name, None, "-")
        else:
            yield FirstFailure(name, result.order.seed, result.findings[0].rule.value)
