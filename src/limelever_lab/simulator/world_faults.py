"""The faults that need more than processes and links: operators, health, the platform list."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from limelever.agent.interface import BackendProbed, DrainRequested
from limelever.common.sansio import Role
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    MachineNotice,
)
from limelever.proxy.call_types import StopRequested
from limelever.relay.interface import PlatformListRead
from limelever_lab.simulator.back_end import BackEnd
from limelever_lab.simulator.call_checker import CallChecker
from limelever_lab.simulator.callers import Callers
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.faults import Fault, FaultKind
from limelever_lab.simulator.injector import Injector
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.node import INCARNATION_BASE
from limelever_lab.simulator.operators import Operators
from limelever_lab.simulator.process import Process

RACES = 6
CHANGES_MISSED = 200
LIE_INTERVAL = 0.5
LIST_INTERVAL = 3.0
BUSY_STEP = 0.01
BUSY_TRIES = 100
"""How often, and at what spacing in seconds, a planned stop waits for calls in flight."""
CUT_FROM_CONTROL_CHANCE = 0.8
"""How often the news of a leaving back end does not get through."""


@dataclass(slots=True)
class WorldFaults:
    """Begins and ends the faults that the injector leaves to the world."""

    environment: Environment
    network: Network
    processes: Mapping[str, Process]
    injector: Injector
    operators: Operators
    callers: Callers
    calls: CallChecker
    back_ends: Mapping[str, BackEnd]

    def begin(self, fault: Fault) -> None:
        """Let a fault strike."""
        match fault.kind:
            case FaultKind.RACING_OPERATORS:
                for number in range(RACES):
                    delay = fault.duration * number / RACES
                    self.environment.after(delay, self.operators.race)
            case FaultKind.LOST_ANSWERS:
                self.operators.losing_answers = True
            case FaultKind.FAR_BEHIND:
                self.injector.hold_down(fault.targets[0], fault.duration)
                self.operators.burst(CHANGES_MISSED, fault.duration * 0.8)
            case FaultKind.LYING_LOAD:
                self._repeat(fault, LIE_INTERVAL, lambda: self._lie(fault.targets[0]))
            case FaultKind.LAGGING_LIST:
                self._lag(fault)
            case FaultKind.LEAVING_BACK_END:
                self._when_busy(fault.targets[0], lambda: self._leave(fault), BUSY_TRIES)
            case FaultKind.FAILING_BACK_END:
                self._fail_service(fault.targets[0], True)
            case FaultKind.PLANNED_STOP:
                name = fault.targets[0]
                self._when_busy(name, lambda: self._stop(name), BUSY_TRIES)

    def end(self, fault: Fault) -> None:
        """Let a fault be over."""
        if fault.kind is FaultKind.LOST_ANSWERS:
            self.operators.losing_answers = False
        if fault.kind is FaultKind.FAILING_BACK_END:
            self._fail_service(fault.targets[0], False)
        if fault.kind in (FaultKind.LEAVING_BACK_END, FaultKind.PLANNED_STOP):
            self._bring_back(fault.targets[0])

    def _when_busy(self, name: str, action: Callable[[], None], tries: int) -> None:
        """Wait a little for a moment at which the process has calls in flight."""
        back_end = self.back_ends.get(name)
        busy = back_end.busy if back_end is not None else bool(self.calls.open_calls(name))
        if busy or not tries:
            action()
        else:
            self.environment.after(BUSY_STEP, lambda: self._when_busy(name, action, tries - 1))

    def _repeat(self, fault: Fault, interval: float, action: Callable[[], None]) -> None:
        count = int(fault.duration / interval)
        for number in range(count):
            self.environment.after(number * interval, action)

    def _fail_service(self, name: str, failing: bool) -> None:
        """Let every back end of a service fail most calls, or go on as before."""
        service = name.rpartition("-")[0]
        for other, back_end in self.back_ends.items():
            if other.rpartition("-")[0] == service:
                back_end.failing = failing

    def _lie(self, name: str) -> None:
        healthy = self.environment.random.random() < 0.5
        self.processes[name].nodes[0].deliver(BackendProbed(healthy=healthy))

    def _lag(self, fault: Fault) -> None:
        """Say for a while that an earlier run of a live machine is leaving or gone."""
        target = self.processes[fault.targets[0]].nodes[0]
        stale = INCARNATION_BASE + target.lives - 1
        source = self.environment.random
        state = source.choice((ENDPOINT_STATE_DRAINING, ENDPOINT_STATE_GONE))
        notice = MachineNotice(instance=target.names.name, state=state, observed_incarnation=stale)
        self._repeat(fault, LIST_INTERVAL, lambda: self._publish(notice))

    def _publish(self, notice: MachineNotice) -> None:
        for process in self.processes.values():
            if process.role is Role.RELAY:
                process.nodes[0].deliver(PlatformListRead((notice,)))

    def _leave(self, fault: Fault) -> None:
        """Let a back end leave, often while the news of it does not reach the proxies."""
        name = fault.targets[0]
        process = self.processes[name]
        if not process.alive or process.nodes[0].frozen:
            return
        self.back_ends[name].leaving = True
        if self.environment.random.random() < CUT_FROM_CONTROL_CHANCE:
            relays = [item.name for item in self.processes.values() if item.role is Role.RELAY]
            pairs = [(name, relay) for relay in relays]
            pairs += [(relay, proxy) for relay in relays for proxy in self.callers.names]
            self.injector.cut_pairs(pairs, fault.duration)
        self.calls.leaving_since[name] = self.environment.now
        process.nodes[0].deliver(DrainRequested())

    def _stop(self, name: str) -> None:
        process = self.processes[name]
        if not process.alive or process.nodes[0].frozen:
            return
        if process.role is Role.PROXY:
            self.callers.closed.add(name)
            process.nodes[0].deliver(StopRequested())
        else:
            self.calls.leaving_since[name] = self.environment.now
            process.nodes[0].deliver(DrainRequested())

    def _bring_back(self, name: str) -> None:
        """Start a process again that was stopped as planned; end it first if it lingers."""
        process = self.processes[name]
        process.kill()
        process.held_down = 0
        if name in self.back_ends:
            self.back_ends[name].leaving = False
        self.callers.closed.discard(name)
        self.calls.leaving_since.pop(name, None)
        process.start()
