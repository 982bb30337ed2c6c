"""Runs many orders over a few worker processes; results come in the order asked.

Workers run under a fixed hash seed: a core that put members of a set of strings into messages
would do so in another order in each process, and a seed would not name a run. CI compares
digests under two hash seeds, so that no core comes to depend on this.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TypeVar

from limelever_lab.simulator.result import RunOrder, RunResult
from limelever_lab.simulator.run import run_order

DEFAULT_WORKERS = 4
HASH_SEED_VARIABLE = "PYTHONHASHSEED"
HASH_SEED = "0"

Work = TypeVar("Work")
Answer = TypeVar("Answer")


def run_all(orders: Sequence[RunOrder], workers: int = DEFAULT_WORKERS) -> Iterator[RunResult]:
    """Yield the result of each order."""
    yield from _spread(run_order, orders, workers)


def run_one(order: RunOrder) -> RunResult:
    """Return the result of one order."""
    return next(run_all([order], workers=1))


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
    if workers == 1 and not sys.flags.hash_randomization:
        yield from map(function, items)
        return
    context = multiprocessing.get_context("spawn")
    with _fixed_hash_seed():
        pool = context.Pool(min(workers, len(items)))
    with pool:
        yield from pool.imap(function, items)


@contextmanager
def _fixed_hash_seed() -> Iterator[None]:
    """Let processes that are started meanwhile hash strings in the same way each time."""
    before = os.environ.get(HASH_SEED_VARIABLE)
    os.environ[HASH_SEED_VARIABLE] = HASH_SEED
    try:
        yield
    finally:
        if before is None:
            del os.environ[HASH_SEED_VARIABLE]
        else:
            os.environ[HASH_SEED_VARIABLE] = before
