"""Brings drawn faults about, and undoes them when their time is over."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from limelever.common.sansio import Role
from limelever_lab.simulator.disk_losses import DiskLosses
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.faults import LEADER, SERVING, Fault, FaultKind
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.process import Process

TORN_WRITE_STEP = 0.0003
TORN_WRITE_TRIES = 20000
"""How often, and at what spacing in seconds, a torn write looks for a write under way."""
ONLY_FROM_SOURCES_CHANCE = 0.85
SHORTEST_DARK = 0.3
LONGEST_DARK = 0.9
"""Seconds that a process is down after a power cut."""
SLOW_DISK_FACTOR = 5.0
"""How much slower disks sync while power cuts are due, so that these meet writes under way."""
RESTARTED_MEANWHILE = 2
RESTART_SECONDS = 0.5


class WorstMoment(StrEnum):
    """When an armed power cut strikes."""

    CHANGE_ACCEPTED = "change-accepted"
    CALL_BEGAN = "call-began"

    @property
    def other(self) -> WorstMoment:
        """Return the other moment."""
        if self is WorstMoment.CALL_BEGAN:
            return WorstMoment.CHANGE_ACCEPTED
        return WorstMoment.CALL_BEGAN


@dataclass(slots=True)
class ArmedCut:
    """A power cut that strikes at one moment and the other in turn, until its fault is over."""

    fault: Fault
    moment: WorstMoment


@dataclass(slots=True)
class WorldActions:
    """Faults that only the world can bring about; each takes the fault.

    ``leader`` names the source process that leads now and ``serving`` the one with the most
    subscribers, or they return ``None``; ``disks_whole``
    tells whether no lost disk is still to be repaired.
    """

    leader: Callable[[], str | None] = lambda: None
    serving: Callable[[], str | None] = lambda: None
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
    _armed: list[ArmedCut] = field(default_factory=list)
    _losses: DiskLosses = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the losses of disks."""
        self._losses = DiskLosses(
            self.environment, self.processes, self.hold_down, lambda: self.actions.disks_whole()
        )

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
            case FaultKind.LOST_DISK | FaultKind.SECOND_LOSS:
                self._losses.strike(fault, names)
            case FaultKind.TORN_WRITE:
                self._tear(fault, names, TORN_WRITE_TRIES)
            case FaultKind.POWER_CUT:
                self._arm(fault)
            case _:
                self.actions.begin(fault)
                self.environment.after(fault.duration, lambda: self.actions.end(fault))

    def _resolve(self, target: str) -> str:
        if target == SERVING:
            return self.actions.serving() or next(iter(self.processes))
        if target == LEADER:
            return self.actions.leader() or next(iter(self.processes))
        return target

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

    def _arm(self, fault: Fault) -> None:
        """Wait for the worst moments, right after an answer and after a once-only call began."""
        moment = self.environment.random.choice(list(WorstMoment))
        for name in fault.targets:
            self._slow_disks(name, SLOW_DISK_FACTOR)
            self.environment.after(fault.duration, self._slowing(name, 1.0))
        self._armed.append(ArmedCut(fault, moment))

    def _slowing(self, name: str, factor: float) -> Callable[[], None]:
        return lambda: self._slow_disks(name, factor)

    def _slow_disks(self, name: str, factor: float) -> None:
        for node in self.processes[name].nodes:
            node.sync_factor = factor

    def change_accepted(self) -> None:
        """Cut the power of armed sources: an operator has just been answered.

        What was answered must be on the disks now; what a disk is still writing is torn.
        """
        self._cut_power(WorstMoment.CHANGE_ACCEPTED, ())

    def once_only_call_began(self, proxy: str) -> None:
        """Cut the power of armed sources and of the proxy that had the call claimed.

        The claim must be on the disks now, and the caller, left without an answer, sends again.
        """
        self._cut_power(WorstMoment.CALL_BEGAN, (proxy,))

    def _cut_power(self, moment: WorstMoment, besides: tuple[str, ...]) -> None:
        now = self.environment.now
        self._armed = [item for item in self._armed if now < item.fault.end]
        for armed in self._armed:
            if armed.moment is moment and all(self.processes[n].alive for n in armed.fault.targets):
                armed.moment = moment.other
                for name in (*armed.fault.targets, *besides):
                    dark = self.environment.random.uniform(SHORTEST_DARK, LONGEST_DARK)
                    self.environment.after(0.0, self._power_cut(name, dark))

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

    def _tear(self, fault: Fault, names: tuple[str, ...], tries: int) -> None:
        """Kill a process in the middle of its next disk write."""
        process = self.processes[names[0]]
        if any(node.writing for node in process.nodes):
            self.hold_down(process.name, fault.duration)
        elif tries:
            self.environment.after(TORN_WRITE_STEP, lambda: self._tear(fault, names, tries - 1))
