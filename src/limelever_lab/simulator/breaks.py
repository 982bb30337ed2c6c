"""Mechanisms that can be switched off, by patching from the simulator's side.

The product holds no switch for this. Each break replaces one function or method for the time
of a run; the checkers must notice within the fixed seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

from limelever.source.replication.writes import PendingWrites

Patch = Callable[[ExitStack], None]


@dataclass(frozen=True, slots=True)
class FirstFailure:
    """The first seed that noticed a broken mechanism, ``None`` when none did."""

    name: str
    seed: int | None
    rule: str


def _replace(stack: ExitStack, owner: object, name: str, value: object) -> None:
    stack.enter_context(mock.patch.object(owner, name, value))


def _no_sync_before_vote(stack: ExitStack) -> None:
    """Answer votes and appends before they are on the disk."""

    def at_once(_self: PendingWrites, action: Callable[[], None]) -> None:
        action()

    _replace(stack, PendingWrites, "when_synced", at_once)


BREAKS: dict[str, Patch] = {
    "sync-before-vote": _no_sync_before_vote,
}


@contextmanager
def broken_mechanism(name: str) -> Iterator[None]:
    """Switch a mechanism off for the time of the block; nothing when ``name`` is empty."""
    with ExitStack() as stack:
        if name:
            BREAKS[name](stack)
        yield


def first_failures(seeds: Sequence[int], deployment: str, workers: int) -> Iterator[FirstFailure]:
    """Yield, for each mechanism, the first of the seeds whose run breaks a rule without it."""
    from limelever_lab.simulator.pool import run_all
    from limelever_lab.simulator.result import RunOrder

    for name in BREAKS:
        found = FirstFailure(name, None, "-")
        orders = [RunOrder(seed, deployment, name) for seed in seeds]
        for result in run_all(orders, workers):
            if not result.passed:
                rule = result.findings[0].rule.value
                found = FirstFailure(name, result.order.seed, rule)
                break
        yield found
