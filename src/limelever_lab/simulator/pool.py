"""Runs many orders over a few worker processes; results come in the order asked."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator, Sequence

from limelever_lab.simulator.result import RunOrder, RunResult
from limelever_lab.simulator.run import run_order

DEFAULT_WORKERS = 4


def run_all(orders: Sequence[RunOrder], workers: int = DEFAULT_WORKERS) -> Iterator[RunResult]:
    """Yield the result of each order; one worker runs them in this process."""
    if workers <= 1 or len(orders) == 1:
        yield from map(run_order, orders)
        return
    context = multiprocessing.get_context("spawn")
    with context.Pool(min(workers, len(orders))) as pool:
        yield from pool.imap(run_order, orders)
