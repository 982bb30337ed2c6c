"""A soak of the platform's processes: rounds of drawn faults under calls and changes.

Never are more than two of five control machines struck in a round, which is what the group is to
bear; a disk or machine is lost for good only while all five vote. After each round everything is
brought back, and the next begins once all promises of :meth:`Soak.settle` hold.
"""

from __future__ import annotations

import heapq
import itertools
import random
import signal
import time
from collections import Counter
from pathlib import Path

from keyed_audit import KeyedAudit
from keyed_calls import KeyedCallers, KeyedRuns, key_headers
from loopback_networks import LoopbackNetwork
from platform_machines import (
    GRACE_SECONDS,
    ControlMachine,
    Machine,
    NodeMachine,
    committed_voters,
)
from platform_tenants import STEADY_TENANTS, TenantOperator, TenantPlan
from platform_traffic import OK, READ, is_ready, send
from warming_instances import WarmingInstance, draw_restarts, too_many_while_cold
from zone_orders import Outages, ZoneOrders

VOTERS, NODES, SEEDS, ZONES = 5, 4, 3, 2
TOLERATED = 2
CALLERS = 4
MOST_STRIKES = 4
LONGEST_GAP_SECONDS, SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS = 2.0, 0.5, 5.0
SETTLE_SECONDS = 60.0
CHANGE_SECONDS = 0.7
STOP_SECONDS = GRACE_SECONDS + 2.0
POLL_SECONDS = 0.1

KILL, PAUSE, STOP, WIPE, REPLACE, RELOAD = "kill", "pause", "stop", "wipe", "replace", "reload"
FAULTS = {
    "control": (KILL, PAUSE, STOP, WIPE, REPLACE, RELOAD),
    "node": (KILL, PAUSE, STOP, RELOAD),
}


class Soak:
    """A fleet on loopback addresses of its own, and the faults that strike it."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork) -> None:
        self._folder, self._network = folder, network
        self._draw = random.Random(seed)
        self._machines = 0
        self.broken: list[str] = []
        self.struck: Counter[str] = Counter()
        self.answered = 0
        self.runs = KeyedRuns()
        self.control = [self._new(ControlMachine, "core") for _ in range(VOTERS)]
        self.nodes = [self._new(NodeMachine, "sidecar") for _ in range(NODES)]
        self.gone: list[Machine] = []
        self.instances = [WarmingInstance(node, self.runs) for node in self.nodes]
        self.plan = TenantPlan(seed)
        self.operator = TenantOperator(self.control, random.Random(seed), plan=self.plan)
        self.audit = KeyedAudit(self.plan, self.runs)
        self.spent: set[str] = set()
        self._seed = seed
        self._restarts = random.Random(f"restarts-{seed}")
        self.outages = Outages()
        self.zones = ZoneOrders(self.control, self.instances, self.outages, seed)

    def _new(self, kind, name):
        self._machines += 1
        zone = f"zone-{self._machines % ZONES}"
        ip = self._network.address(self._machines)
        return kind(self._folder, f"{name}-{self._machines}", ip, zone)

    @property
    def machines(self) -> list[Machine]:
        return [*self.control, *self.nodes]

    def start(self) -> None:
        self._write_settings(first_start=True)
        for machine in self.machines:
            machine.start()
        self.operator.change()
        self._write_settings(first_start=False)
        self._settle()

    def close(self) -> None:
        for machine in (*self.machines, *self.gone):
            machine.kill()
        for instance in self.instances:
            instance.end()

    # --- rounds -------------------------------------------------------------------------------

    def run_round(self) -> None:
        seed = self._seed + sum(self.struck.values())
        callers = KeyedCallers(self.nodes, CALLERS, seed, self.plan)
        try:
            self.zones.begin_round()
            self._carry_out(self._agenda())
            self.zones.join()
            self._settle()
        finally:
            callers.stop()
        time.sleep(1.0)
        self.answered += sum(each.answer.status == OK for each in callers.sent)
        self.broken += self.audit.broken(callers.sent, self.operator.newest + 1)
        self.broken += self.audit.in_logs([*self.machines, *self.gone])
        self.broken += self.operator.broken
        self.broken += too_many_while_cold(self.instances)
        self.broken += self.zones.check(callers.sent)
        if not any(each.answer.status == OK for each in callers.sent):
            self.broken.append("no request was answered")
        self.runs.clear()

    def finish(self) -> None:
        """Withdraw the last drain, after it was in effect with all machines back."""
        self.zones.withdraw_last()
        self._wait("the zones are used again", self.zones.are_used)
        self.broken += self.zones.check([])

    def _agenda(self):
        """Return what happens in a round, by time: faults, and what brings their machines back."""
        order, agenda, struck, at = itertools.count(), [], set(), 0.0
        kills: dict[str, float] = {}
        for _ in range(self._draw.randint(1, MOST_STRIKES)):
            at += self._draw.uniform(0.0, LONGEST_GAP_SECONDS)
            role = self._draw.choice(sorted(FAULTS))
            group = self.control if role == "control" else self.nodes
            machine, fault = self._draw.choice(group), self._draw.choice(FAULTS[role])
            if machine in struck or len(struck.intersection(self.control)) >= TOLERATED:
                continue
            struck.add(machine)
            until = at + self._draw.uniform(SHORTEST_FAULT_SECONDS, LONGEST_FAULT_SECONDS)
            self.struck[fault] += 1
            if fault == KILL:
                kills[machine.name] = at
            strike, back = self._actions(machine, fault)
            if fault != RELOAD:
                strike, back = self.outages.noted(machine.name, strike, back)
            heapq.heappush(agenda, (at, next(order), f"{fault} {machine.name}", strike))
            heapq.heappush(agenda, (until, next(order), f"{fault} {machine.name} over", back))
        for at, each in draw_restarts(self._restarts, self.instances, kills):
            what = f"end of the back end of {each.name}"
            heapq.heappush(agenda, (at, next(order), what, each.crash))
        return agenda

    def _carry_out(self, agenda) -> None:
        begun = time.monotonic()
        while agenda:
            at, _, what, action = heapq.heappop(agenda)
            while time.monotonic() < begun + at:
                self.operator.change()
                self.operator.read()
                time.sleep(min(CHANGE_SECONDS, max(0.0, begun + at - time.monotonic())))
            print(f"{time.monotonic() - begun:5.1f} s  {what}", flush=True)
            action()

    def _actions(self, machine, fault):
        """Return what strikes a machine, and what brings it back."""
        restart = machine.start
        return {
            KILL: (machine.kill, restart),
            PAUSE: (
                lambda: machine.send(signal.SIGSTOP),
                lambda: machine.send(signal.SIGCONT),
            ),
            STOP: (
                lambda: machine.send(signal.SIGTERM),
                lambda: self._start_after_stop(machine),
            ),
            WIPE: (lambda: self._wipe(machine), restart),
            REPLACE: (lambda: self._replace(machine), lambda: None),
            RELOAD: (lambda: machine.send(signal.SIGHUP), lambda: None),
        }[fault]

    def _start_after_stop(self, machine) -> None:
        status = machine.process.wait(STOP_SECONDS)
        if status != 0:
            self.broken.append(f"{machine.name} ended a planned stop with {status}")
        machine.start()

    def _wipe(self, machine) -> None:
        machine.kill()
        self.spent.add(machine.identity())
        machine.lose_disk()

    def _replace(self, machine) -> None:
        """Lose a machine for good; one with an empty disk comes at another address."""
        machine.kill()
        self.control.remove(machine)
        self.gone.append(machine)
        self.spent.add(machine.identity())
        newcomer = self._new(ControlMachine, "core")
        self.control.append(newcomer)
        self._write_settings(first_start=False)
        newcomer.start()
        for other in self.machines:
            if other is not newcomer:
                other.send(signal.SIGHUP)

    def _write_settings(self, first_start: bool) -> None:
        seeds = [machine.control for machine in self.control[:SEEDS]]
        for machine in self.machines:
            machine.write_settings(seeds, first_start)

    # --- what must hold -----------------------------------------------------------------------

    def _settle(self) -> None:
        """With all back: five vote, a change is taken, and each node is ready and serves by it."""
        self._wait("five replicas vote", self._whole)
        self.operator.change()
        newest = self.operator.newest
        for node in self.nodes:
            self._wait(f"{node.name} is ready", lambda node=node: is_ready(node))
            self._wait(f"{node.name} serves by r{newest}", lambda node=node: self._serves(node))
            self.broken += self.audit.by_wandering_keys(node, newest)
        self._wait("zones whose drain was withdrawn are used again", self.zones.are_used)
        for machine in self.machines:
            if not machine.running:
                self.broken.append(f"{machine.name} ended by itself: {machine.process.poll()}")

    def _whole(self) -> bool:
        voters = committed_voters([*self.control, *self.gone])
        here = {machine.identity() for machine in self.control}
        return len(voters) == VOTERS and voters <= here and not voters & self.spent

    def _serves(self, node) -> bool:
        newest = self.operator.newest
        request = f"probe-{newest}-{node.name}"
        shown = key_headers(self.plan.key_of(STEADY_TENANTS[0]))
        return send(node, request, READ, f"/v{newest}/{request}", shown).status == OK

    def _wait(self, what, condition) -> None:
        end = time.monotonic() + SETTLE_SECONDS
        while not condition():
            if time.monotonic() > end:
                self.broken.append(f"{what}: not within {SETTLE_SECONDS} s")
                return
            time.sleep(POLL_SECONDS)
