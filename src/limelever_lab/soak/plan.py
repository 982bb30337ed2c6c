"""Draws the faults of a soak: which process is struck, how, when and for how long.

A plan depends on its seed and the sizes of the fleet alone. It keeps to what the system promises to
bear: a majority of the source's replicas is never struck at once, and a disk is lost only where no
other replica is struck in that round.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from limelever_lab.fleet.faults import Fault

SOURCE = "source"
BACK_END = "back end"
LONGEST_GAP_SECONDS = 3.0
SHORTEST_FAULT_SECONDS = 0.5
LONGEST_FAULT_SECONDS = 6.0
MOST_STRIKES = 4
"""Strikes in one round; faults come a few at a time."""

PROCESS_FAULTS = (Fault.KILLED, Fault.SUSPENDED, Fault.STOPPED)
LINK_FAULTS = (Fault.CUT_OFF, Fault.DEAF, Fault.MUTE, Fault.RESET)
DISK_LOSS_PART = 0.2
"""Part of the rounds that strike one replica only in which that replica's disk is lost."""


@dataclass(frozen=True, slots=True)
class Strike:
    """One fault: ``at`` and ``until`` are seconds from the start of its round."""

    at: float
    until: float
    role: str
    number: int
    fault: Fault

    @property
    def target(self) -> str:
        """Return the target's name among the processes of its role, from 1."""
        return f"{self.role} {self.number}"

    def __str__(self) -> str:
        """Return the strike as it stands in a soak's output."""
        return f"{self.at:.1f}-{self.until:.1f} s: {self.target}: {self.fault.value}"


def draw_round(source: random.Random, sizes: Mapping[str, int]) -> tuple[Strike, ...]:
    """Draw the strikes of one round, by their beginning; ``sizes`` are processes by role."""
    strikes: list[Strike] = []
    struck: set[tuple[str, int]] = set()
    at = 0.0
    for _ in range(source.randint(1, MOST_STRIKES)):
        at += source.uniform(0.0, LONGEST_GAP_SECONDS)
        role = source.choice(sorted(sizes))
        number = source.randint(1, sizes[role])
        if (role, number) in struck or not _may_strike(role, struck, sizes):
            continue
        struck.add((role, number))
        lasts = source.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
        strikes.append(Strike(at, at + lasts, role, number, _draw_fault(source, role)))
    return tuple(_with_disk_loss(source, strikes))


def _may_strike(role: str, struck: set[tuple[str, int]], sizes: Mapping[str, int]) -> bool:
    if role != SOURCE:
        return True
    struck_sources = sum(1 for other, _ in struck if other == SOURCE)
    return (struck_sources + 1) * 2 < sizes[SOURCE]


def _draw_fault(source: random.Random, role: str) -> Fault:
    """Draw a fault; back ends have no links of their own in the stand-in network."""
    faults = PROCESS_FAULTS if role == BACK_END else (*PROCESS_FAULTS, *LINK_FAULTS)
    return source.choice(faults)


def _with_disk_loss(source: random.Random, strikes: list[Strike]) -> list[Strike]:
    replicas = [strike for strike in strikes if strike.role == SOURCE]
    if len(replicas) != 1 or source.random() >= DISK_LOSS_PART:
        return strikes
    (lost,) = replicas
    changed = Strike(lost.at, lost.until, lost.role, lost.number, Fault.FOLDER_LOST)
    return [changed if strike is lost else strike for strike in strikes]
