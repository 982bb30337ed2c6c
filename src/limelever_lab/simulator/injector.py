"""Brings drawn faults about, and undoes them when their time is over."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from limelever.common.sansio import Role
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.faults import LEADER, Fault, FaultKind
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.process import Process

TORN_WRITE_STEP = 0.0003
TORN_WRITE_TRIES = 20000
"""How often, and at what spacing in seconds, a torn write looks for a write under way."""
ONLY_FROM_SOURCES_CHANCE = 0.6
RESTARTED_MEANWHILE = 2
RESTART_SECONDS = 0.5


@dataclass(slots=True)
class WorldActions:
    """Faults that only the world can bring about; each takes the fault.

    ``leader`` names the source process that leads now, or returns ``None``; ``disks_whole``
    tells whether a disk may be lost without losing the last copy of anything.
    """

    leader: Callable[[], str | None] = lambda: None
    disks_whole: Callable[[], bool] = lambda: True
    begin: Callable[[Fault], None] = lambda _fault: None
    end: Callable[[Fault], None] = lambda _fault: None


@dataclass(slots=True)
class Injector:
    """Schedules faults on the processes of a world."""

    environment: Environment
    network: Network
    processes: Mapping[str, Process]
    actions: WorldActions = field(default_factory=WorldActions)
    _armed: list[Fault] = field(default_factory=list)

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Let each fault strike at its time."""
        for fault in faults:
            self.environment.at(fault.at, self._striker(fault))

    def _striker(self, fault: Fault) -> Callable[[], None]:
        return lambda: self._strike(fault)

    def _strike(self, fault: Fault) -> None:
        names = tuple(self._resolve(target) for target in fault.targets)
        self.environment.trace.add(self.environment.now, "fault", f"{fault} on {names}")
        match fault.kind:
            case FaultKind.HERD_DEATH | FaultKind.RECONNECT_STORM | FaultKind.SOURCE_OUTAGE:
                self._kill_together(fault, names)
            case FaultKind.ONE_WAY_CUT | FaultKind.LATE_ANSWERS:
                self._cut_for(fault, [(names[0], names[1])])
            case FaultKind.CUT_OFF_CONTROL:
                self._cut_off(fault, names)
            case FaultKind.FROZEN_CONTROL:
                self._freeze(fault, names)
            case FaultKind.LOST_DISK | FaultKind.SECOND_LOSS if not self.actions.disks_whole():
                pass
            case FaultKind.LOST_DISK:
                self._lose_disk(fault, names[0])
            case FaultKind.SECOND_LOSS:
                self._lose_two(fault, names)
            case FaultKind.TORN_WRITE if len(names) == 1:
                self._tear(fault, names, TORN_WRITE_TRIES)
            case FaultKind.TORN_WRITE:
                self._armed.append(fault)
            case _:
                self.actions.begin(fault)
                self.environment.after(fault.duration, lambda: self.actions.end(fault))

    def _resolve(self, target: str) -> str:
        if target != LEADER:
            return target
        return self.actions.leader() or next(iter(self.processes))

    def _kill_together(self, fault: Fault, names: tuple[str, ...]) -> None:
        source = self.environment.random
        for name in names:
            self.hold_down(name, fault.duration * source.uniform(0.3, 1.0), source.random() < 0.5)

    def hold_down(self, name: str, duration: float, silent: bool = False) -> None:
        """Kill a process and start it again after ``duration`` seconds."""
        process = self.processes[name]
        process.kill(silent)
        process.held_down += 1
        self.environment.after(duration, lambda: self._release(process))

    def _release(self, process: Process) -> None:
        process.held_down -= 1
        process.start()

    def change_accepted(self) -> None:
        """Cut the power of an armed fault's processes: an answer has just been given.

        What was answered must be on the disks now; what a disk is still writing is torn.
        """
        armed, self._armed = self._armed, []
        for fault in armed:
            for name in fault.targets:
                self.environment.after(0.0, self._power_cut(name, fault.duration))

    def _power_cut(self, name: str, duration: float) -> Callable[[], None]:
        return lambda: self.hold_down(name, duration)

    def cut_pairs(self, pairs: list[tuple[str, str]], duration: float) -> None:
        """Cut one way between pairs of processes for ``duration`` seconds."""
        for origin, target in pairs:
            self.network.cut(origin, target)
        self.environment.after(duration, lambda: self._heal(pairs))

    def _cut_for(self, fault: Fault, pairs: list[tuple[str, str]]) -> None:
        self.cut_pairs(pairs, fault.duration)

    def _heal(self, pairs: list[tuple[str, str]]) -> None:
        for origin, target in pairs:
            self.network.heal(origin, target)

    def _cut_off(self, fault: Fault, names: tuple[str, ...]) -> None:
        """Cut a control process off, from everyone or only from the other sources.

        In the second case its readers still hear it. Two proxies die and come back meanwhile,
        so that they may meet it while it is behind.
        """
        name = names[0]
        source = self.environment.random
        only_sources = source.random() < ONLY_FROM_SOURCES_CHANCE
        pairs = []
        for other, process in self.processes.items():
            if other != name and (process.role is Role.SOURCE or not only_sources):
                pairs += [(name, other), (other, name)]
        self.cut_pairs(pairs, fault.duration)
        proxies = [item.name for item in self.processes.values() if item.role is Role.PROXY]
        for proxy in source.sample(proxies, min(len(proxies), RESTARTED_MEANWHILE)):
            delay = fault.duration * source.uniform(0.5, 0.9)
            self.environment.after(delay, self._power_cut(proxy, RESTART_SECONDS))

    def _freeze(self, fault: Fault, names: tuple[str, ...]) -> None:
        for name in names:
            process = self.processes[name]
            process.freeze()
            self.environment.after(fault.duration, process.thaw)

    def _lose_disk(self, fault: Fault, name: str) -> None:
        self.hold_down(name, fault.duration)
        self.processes[name].lose_disk()

    def _lose_two(self, fault: Fault, names: tuple[str, ...]) -> None:
        """Lose a disk, and a second machine as soon as the first is back.

        The second machine comes back with its disk: with it gone for good before the first
        has caught up, two of three disks are gone and nothing could keep what only they held.
        """
        first, second = names
        repair = fault.duration * 0.25
        self._lose_disk(Fault(fault.kind, fault.at, repair), first)
        pause = self.environment.random.uniform(0.0, 0.6)
        self.environment.after(
            repair + pause, lambda: self.hold_down(second, fault.duration * 0.6 - pause, True)
        )

    def _tear(self, fault: Fault, names: tuple[str, ...], tries: int) -> None:
        """Kill a process in the middle of its next disk write."""
        process = self.processes[names[0]]
        if any(node.writing for node in process.nodes):
            self.hold_down(process.name, fault.duration)
        elif tries:
            self.environment.after(TORN_WRITE_STEP, lambda: self._tear(fault, names, tries - 1))
