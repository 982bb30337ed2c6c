"""A soak with callers that keep their connections, under series of strikes that overlap.

A seed draws each round's series, what callers send and how long instances take. All promises are
checked during the round; after it all is brought back and must serve by the newest configuration.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from answer_audit import AnswerAudit
from cpu_wait_monitor import CpuWaitMonitor
from journal_instances import Journal, JournalInstance
from kept_callers import KeptCallers
from loopback_networks import LoopbackNetwork
from machine_strikes import MachineStrikes
from platform_machines import ControlMachine, Machine, NodeMachine, committed_voters
from platform_traffic import OK, READ, is_ready, send
from process_faults import logged_faults
from quick_changes import QuickChanges
from route_prober import RouteProber
from strike_log import StrikeLog
from strike_series import Plans

VOTERS, ZONES = 5, 2
CALLERS_FOR_EACH_NODE = 4
SETTLE_SECONDS = 60.0
CALM_SECONDS = 3.5
"""Calls go on after the series of a round, so that calm machines are judged too."""

AFTER_CALLS_SECONDS = 1.0
POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Size:
    """How much a soak has of what."""

    nodes: int
    callers_for_each: int = CALLERS_FOR_EACH_NODE


class KeptSoak:
    """A fleet on loopback addresses of its own, its callers and operators, and its strikes."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork, size: Size) -> None:
        self.folder, self.seed, self._size = folder, seed, size
        self.control = [
            ControlMachine(folder, f"core-{n}", network.address(n), f"zone-{n % ZONES}")
            for n in range(1, VOTERS + 1)
        ]
        self.nodes = [
            NodeMachine(folder, f"sidecar-{n}", network.address(n), f"zone-{n % ZONES}")
            for n in range(VOTERS + 1, VOTERS + 1 + size.nodes)
        ]
        self.journal, self.strike_log = Journal(), StrikeLog()
        self.instances = [self.new_instance(node) for node in self.nodes]
        self.audit = AnswerAudit(self.journal, self.strike_log)
        self.changes = QuickChanges(self.control, seed)
        self.questions = RouteProber(self.nodes, self.changes, self.strike_log, seed)
        self.strikes = MachineStrikes(self.control, self.nodes, self.strike_log, seed)
        self._core_waits = CpuWaitMonitor(self.machines)
        self._plans = Plans(seed, VOTERS, size.nodes)
        self.rounds = 0
        self.more_broken: list[str] = []
        self._not_back: list[str] = []

    def new_instance(self, node: NodeMachine):
        """Start the instance beside a node."""
        return JournalInstance(node, self.journal)

    @property
    def machines(self) -> list[Machine]:
        return [*self.control, *self.nodes]

    @property
    def is_whole(self) -> bool:
        """Return whether all came back after each round, so that another may begin."""
        return not self._not_back

    @property
    def broken(self) -> list[str]:
        return [
            *self.audit.broken,
            *self.changes.broken,
            *self.questions.violations,
            *self.strikes.broken,
            *self.strikes.readiness.broken,
            *self._faults(),
            *self.more_broken,
            *self._not_back,
        ]

    def start(self) -> None:
        self._core_waits.start()
        for machine in self.machines:
            self.strikes.write_settings(machine, first_start=True)
            machine.start()
        self.changes.change()
        for machine in self.machines:
            self.strikes.write_settings(machine)
        self._settle()

    def close(self) -> None:
        self._core_waits.stop()
        for machine in self.machines:
            machine.kill()
        for instance in self.instances:
            instance.end()

    def run_round(self) -> None:
        """Strike the fleet by one drawn plan, under calls and changes, and judge all calls."""
        self.rounds += 1
        print(f"round {self.rounds} of seed {self.seed}", flush=True)
        callers = KeptCallers(self.nodes, self._size.callers_for_each, self.seed, self.rounds)
        self.changes.start()
        self.questions.start()
        try:
            self.strikes.play(self._plans.next())
            time.sleep(CALM_SECONDS)
        finally:
            self.changes.stop()
            self.questions.stop()
            callers.stop()
        self.strikes.readiness.judge()
        time.sleep(AFTER_CALLS_SECONDS)
        for exchange in callers.ended:
            self.audit.check(exchange)
        self.callers_stopped(callers)
        self.audit.counts["connections"] += callers.connections
        self.more_broken += callers.unasked
        if not any(each.status == OK for each in callers.ended):
            self.more_broken.append("no request was answered")
        self._settle()

    def callers_stopped(self, callers: KeptCallers) -> None:
        """Judge more of the round's requests."""

    def report(self) -> list[str]:
        """Return what was done and seen, as lines."""
        changes, readiness = self.changes, self.strikes.readiness
        return [
            f"seed {self.seed}, {self.rounds} rounds, {len(self.nodes)} nodes",
            f"strikes: {dict(Counter(self.strikes.counts).most_common())}",
            f"requests: {dict(self.audit.counts.most_common())}",
            f"{changes.changes} changes, {changes.races} of them of two at once; "
            f"the longest took {changes.longest_seconds:.1f} s; {changes.reads} reads",
            f"{self.questions.checked} direct requests judged",
            f"{readiness.ready} of {readiness.asked} nodes ready 4 s after SIGTERM",
            f"{len(self._faults())} faults logged",
            f"longest stop {self.strikes.longest_stop_seconds:.1f} s",
            f"{len(self.broken)} promises broken",
        ]

    def _faults(self) -> list[str]:
        """Return the faults that all machines' processes have logged."""
        return [line for each in self.machines for line in logged_faults(each.name, each.events())]

    def _settle(self) -> None:
        """With all back: five vote, a change is taken, and each node is ready and serves by it."""
        self._wait("five replicas vote", self._is_whole)
        self.changes.change()
        for node in self.nodes:
            self._wait(f"{node.name} is ready", lambda node=node: is_ready(node))
            self._wait(f"{node.name} serves the newest", lambda node=node: self._serves(node))
        for machine in self.machines:
            if not machine.running:
                status = machine.process.poll()
                self._not_back.append(f"{machine.name} ended by itself: {status}")

    def _is_whole(self) -> bool:
        voters = committed_voters(self.control)
        return len(voters) == VOTERS and voters == {each.identity() for each in self.control}

    def _serves(self, node: NodeMachine) -> bool:
        request = f"fe{time.monotonic_ns() % 10**14:014d}"
        path = f"/{self.changes.current.added}/{request}/0"
        return send(node, request, READ, path).status == OK

    def _wait(self, what: str, condition) -> None:
        end = time.monotonic() + SETTLE_SECONDS
        while not condition():
            if time.monotonic() > end:
                self._not_back.append(f"{what}: not within {SETTLE_SECONDS} s")
                return
            time.sleep(POLL_SECONDS)
