"""Which seeds draw a pair of kinds of faults that no seed before them drew.

A hundred seeds draw some forty of the pairs. Drawing a seed's faults costs next to nothing and
running it much, so the seeds for the other pairs are looked up and just these are run.
"""

from __future__ import annotations

import itertools

from limelever_lab.simulator.faults import FaultKind
from limelever_lab.simulator.result import RunOrder
from limelever_lab.simulator.run import faults_of

Pair = frozenset[FaultKind]

SEARCH_LIMIT = 20_000
"""The last seed that is looked at; a pair that is never drawn must not end in a search for ever."""


def all_pairs() -> frozenset[Pair]:
    """Return every pair of two different kinds."""
    return frozenset(frozenset(pair) for pair in itertools.combinations(FaultKind, 2))


def first_seeds_of_pairs(deployment: str, first: int = 1) -> dict[Pair, int]:
    """Return, for each pair, the first seed from ``first`` on that draws just these two kinds."""
    found: dict[Pair, int] = {}
    wanted = len(all_pairs())
    for seed in range(first, SEARCH_LIMIT + 1):
        if len(found) == wanted:
            break
        kinds = frozenset(fault.kind for fault in faults_of(RunOrder(seed, deployment)))
        if len(kinds) == 2:
            found.setdefault(kinds, seed)
    return found
