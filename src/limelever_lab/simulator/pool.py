"""Runs many orders over a few worker processes; results come in the order asked."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator, Sequence
from typing import TypeVar

from limelever_lab.simulator.result import RunOrder, RunResult
from limelever_lab.simulator.run import run_order

DEFAULT_WORKERS = 4

Work = TypeVar("Work")
Answer = TypeVar("Answer")


def run_all(orders: Sequence[RunOrder], workers: int = DEFAULT_WORKERS) -> Iterator[RunResult]:
    """Yield the result of each order; one worker runs them in this process."""
    yield from _spread(run_order, orders, workers)


def run_until_failure(
    series: Sequence[Sequence[RunOrder]], workers: int = DEFAULT_WORKERS
) -> Iterator[RunResult | None]:
    """Yield, for each series of orders, its first failing result, or ``None``."""
    yield from _spread(_first_failing, series, workers)


def _first_failing(orders: Sequence[RunOrder]) -> RunResult | None:
    for order in orders:
        result = run_order(order)
        if not result.passed:
            return result
    return None


def _spread(
    function: Callable[[Work], Answer], items: Sequence[Work], workers: int
) -> Iterator[Answer]:
    if workers <= 1 or len(items) <= 1:
        yield from map(function, items)
        return
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(workers, len(items))) as pool:
        yield from pool.imap(function, items)
