"""Disks lost for good: one at a time, with the other sources away or lost at the worst times.

While a lost disk is not repaired, no second one is lost: two disks of three lose what only
they held, whatever the protocol. All else may happen meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from limelever.common.sansio import Role
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.faults import Fault, FaultKind
from limelever_lab.simulator.process import Process

ABSENCE_CHANCE = 0.7
ABSENCE_SHARE = 0.4
LOSS_SHARE = 0.1
SECOND_LOSS_SHARE = 0.4
"""Parts of a fault's duration: a third source away, the machine down, the second one down."""
LONGEST_PAUSE = 0.6
RETURN_AFTER = 0.1
"""Seconds until the second machine is lost after the repair, and until the third is back then."""
PROXIES_DOWN = 0.3
WHOLE_STEP = 0.02
WHOLE_TRIES = 250
"""How often, and at what spacing in seconds, a loss waits until the last one is repaired."""
REPAIR_STEP = 0.2

HoldDown = Callable[[str, float, bool], None]
"""Kills a process for some seconds, silently or not."""


@dataclass(slots=True)
class DiskLosses:
    """Brings about lost disks; ``whole`` tells whether every source and keeper votes."""

    environment: Environment
    processes: Mapping[str, Process]
    hold_down: HoldDown
    whole: Callable[[], bool]
    _repairing: bool = False

    def strike(self, fault: Fault, names: tuple[str, ...], tries: int = WHOLE_TRIES) -> None:
        """Lose the first machine's disk once no earlier loss is open, or never."""
        if self._repairing or not self.whole():
            if tries:
                self.environment.after(WHOLE_STEP, lambda: self.strike(fault, names, tries - 1))
            return
        self._repairing = True
        away = 0.0
        pause = self.environment.random.uniform(0.0, LONGEST_PAUSE)
        if self.environment.random.random() < ABSENCE_CHANCE:
            away = fault.duration * ABSENCE_SHARE
            self._let_third_be_away(fault, names, away, pause)
        self.environment.after(away, lambda: self._lose(fault, names, pause))

    def _let_third_be_away(
        self, fault: Fault, names: tuple[str, ...], away: float, pause: float
    ) -> None:
        """Let the third source miss something; it is back when the second one is gone.

        The proxies die before, so that none of them tells it what it missed.
        """
        if fault.kind is FaultKind.SECOND_LOSS:
            away += fault.duration * LOSS_SHARE + pause + RETURN_AFTER
        for process in self.processes.values():
            if process.role is Role.SOURCE and process.name not in names:
                self.hold_down(process.name, away, False)
            if process.role is Role.PROXY:
                self.environment.after(away - PROXIES_DOWN / 2, self._proxy_killer(process.name))

    def _proxy_killer(self, name: str) -> Callable[[], None]:
        return lambda: self.hold_down(name, PROXIES_DOWN, False)

    def _lose(self, fault: Fault, names: tuple[str, ...], pause: float) -> None:
        down = fault.duration * LOSS_SHARE
        self.hold_down(names[0], down, False)
        self.processes[names[0]].lose_disk()
        self.environment.after(down, self._watch_repair)
        if fault.kind is FaultKind.SECOND_LOSS:
            gone = fault.duration * SECOND_LOSS_SHARE
            self.environment.after(down + pause, lambda: self.hold_down(names[1], gone, True))

    def _watch_repair(self) -> None:
        if self.whole():
            self._repairing = False
        else:
            self.environment.after(REPAIR_STEP, self._watch_repair)
