"""Control machines that lose power at one moment, in rounds, while an operator changes them.

Each round writes without pause to slow disks, one of which may be full for a while; processes may
be killed and started again. It ends in a loss of power at every machine; up to two disks are lost
as well, and power may be lost again during the recovery. All start again, and the newest
configuration that was acknowledged has to be read back, and never an older one.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from continuous_changes import Changes, RoutesOperator
from loopback_networks import LoopbackNetwork
from platform_machines import committed_voters
from platform_traffic import OK, ask_control, version_of
from recorded_machine import ALL_LOST, DRAWN, RecordedMachine

VOTERS, SEEDS, TOLERATED = 5, 3, 2
ROUTES = (0, 300)
"""Routes of a configuration that stay: it takes two sectors, or over a hundred."""

KILLED_BEFORE = 0.4
"""Part of the rounds in which processes are killed and started again before the loss of power."""

RECOVER_SECONDS = 15.0
"""``bounds.recoverS``."""

WHOLE_SECONDS = 40.0
FIRST_START_SECONDS = 0.3
"""Within which all machines start."""

SYNCS = (0.002, 0.01, 0.04, 0.15)
"""Times of a sync, from a fast disk's to a slow one's."""

LATEST_LOSS_SECONDS = 2.5
"""Latest loss of power during a recovery; by then disks that were lost are replaced."""

POLL_SECONDS = 0.05


class PowerLossFleet:
    """Five control machines, and what was seen after each loss of power."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork) -> None:
        self.draw = random.Random(seed)
        self.machines = [
            RecordedMachine(folder, f"core-{number}", network.address(number), f"zone-{number % 2}")
            for number in range(1, VOTERS + 1)
        ]
        routes = random.Random(f"routes-{seed}").choice(ROUTES)
        self.operator = RoutesOperator(self.machines, random.Random(seed), routes=routes)
        self.broken: list[str] = []
        self.seen: list[str] = []
        self.counts: Counter[str] = Counter()

    def start(self, syncs: Sequence[float] = SYNCS) -> None:
        """Start all for the first time, until a configuration is taken and all vote."""
        self.start_all(first_start=True, syncs=syncs)
        self.operator.change()
        self._await_whole(set())

    def close(self) -> None:
        for machine in self.machines:
            machine.kill()

    def run_round(self) -> None:
        """Lose power amid changes, perhaps again during the recovery, until all is whole."""
        draw = self.draw
        self._change_until_the_loss()
        lost = draw.sample(self.machines, draw.randint(0, TOLERATED))
        spent = {machine.identity() for machine in lost}
        self.counts[f"{len(lost)} disks lost"] += 1
        what = self._leave_drawn(lost)
        for _ in range(draw.choice((0, 0, 1, 2))):
            self.start_all(first_start=False)
            self.kill_amid_changes(draw.uniform(0.1, LATEST_LOSS_SECONDS))
            self.counts["losses during a recovery"] += 1
            what = f"{what}; then {self._leave_drawn([])}"
        print(what, flush=True)
        self.recover(what, spent)

    def recover(self, what: str, spent: set[str]) -> None:
        """Start all; identities that are ``spent`` must not vote in the end."""
        self.start_all(first_start=False)
        self._await_read_back(what)
        if not self.broken:
            self._await_whole(spent)

    # --- what happens -------------------------------------------------------------------------

    def _change_until_the_loss(self) -> None:
        """Change the configuration until a moment that is drawn, or just after a change."""
        draw = self.draw
        with Changes(self.operator) as changes:
            full = draw.choice([*self.machines, None, None, None])
            time.sleep(draw.uniform(0.2, 0.8))
            if full is not None:
                full.full.touch()
            time.sleep(draw.uniform(0.05, 0.8))
            if draw.random() < KILLED_BEFORE:
                self._kill_and_restart(draw.sample(self.machines, draw.randint(1, VOTERS)))
            if draw.random() < 0.5:
                changes.await_next()
            self.kill_all()

    def _kill_and_restart(self, machines: list[RecordedMachine]) -> None:
        """Kill processes, which are started again before power is lost."""
        for machine in machines:
            machine.process.kill()
        for machine in machines:
            machine.end()
            machine.start_again(self.draw.choice(SYNCS))
        self.counts["kills before"] += len(machines)
        time.sleep(self.draw.uniform(0.1, LATEST_LOSS_SECONDS))

    def kill_amid_changes(self, seconds: float) -> None:
        """Kill all processes after changes of that long."""
        with Changes(self.operator):
            time.sleep(seconds)
            self.kill_all()

    def kill_all(self) -> None:
        for machine in self.machines:
            machine.process.kill()
        for machine in self.machines:
            machine.end()

    def _leave_drawn(self, lost: list[RecordedMachine]) -> str:
        """Leave on the disks what a loss of power may, nothing on those ``lost``; return what."""
        left = self.draw.choice((DRAWN, DRAWN, DRAWN, ALL_LOST))
        unsynced = {}
        for machine in self.machines:
            unsynced[machine.name] = machine.lose_power(self.draw, left)
            if machine in lost:
                machine.lose_disk()
        names = [machine.name for machine in lost]
        return f"r{self.operator.newest}, disks lost {names}, {left} of {unsynced}"

    def start_all(self, first_start: bool, syncs: Sequence[float] = SYNCS) -> None:
        """Start all processes at nearly the same time, on disks whose speed is drawn."""
        seeds = [machine.control for machine in self.machines[:SEEDS]]
        order = self.draw.sample(self.machines, VOTERS)
        for machine in order:
            machine.write_settings(seeds, first_start)
            machine.start_on_disk(self.draw.choice(syncs))
            time.sleep(self.draw.uniform(0, FIRST_START_SECONDS / VOTERS))

    # --- what must hold -----------------------------------------------------------------------

    def _await_read_back(self, what: str) -> None:
        """The newest acknowledged configuration is read within ``RECOVER_SECONDS``."""
        begun, known = time.monotonic(), {machine.name: 0 for machine in self.machines}
        while time.monotonic() < begun + RECOVER_SECONDS:
            for machine in self.machines:
                self._restart_ended(machine)
                answer = ask_control(machine, "GET")
                known[machine.name] = answer.status
                if answer.status == OK:
                    self._check_version(machine, version_of(answer.body), what)
                    took = time.monotonic() - begun
                    self.seen.append(f"read back after {took:.1f} s")
                    self.counts["longest read back, ms"] = max(
                        self.counts["longest read back, ms"], int(took * 1000)
                    )
                    return
            time.sleep(POLL_SECONDS)
        ended = {machine.name: machine.failures() for machine in self.machines}
        ends = {name: (len(reasons), reasons[-1]) for name, reasons in ended.items() if reasons}
        self.broken.append(
            f"{what}: nothing was read back within {RECOVER_SECONDS} s, last {known}; ends {ends}"
        )

    def _restart_ended(self, machine: RecordedMachine) -> None:
        """Start a process that has ended, with what its disk holds, as the platform does."""
        if not machine.running:
            self.counts["ends by itself"] += 1
            machine.end()
            machine.start_again(SYNCS[0])

    def _check_version(self, machine: RecordedMachine, version: int, what: str) -> None:
        newest = self.operator.newest
        if version < newest:
            self.broken.append(f"{what}: {machine.name} gave r{version}, r{newest} was taken")
        self.operator.newest = max(newest, version)

    def _await_whole(self, spent: set[str]) -> None:
        """With all back five replicas vote, each reads the newest, and none older meanwhile."""
        end = time.monotonic() + WHOLE_SECONDS
        while time.monotonic() < end:
            answers = []
            for machine in self.machines:
                self._restart_ended(machine)
                answers.append(ask_control(machine, "GET"))
                if answers[-1].status == OK:
                    self._check_version(machine, version_of(answers[-1].body), "with all back")
            if all(answer.status == OK for answer in answers) and self._all_vote(spent):
                return
            time.sleep(POLL_SECONDS)
        voters = sorted(committed_voters(self.machines))
        self.broken.append(f"not whole within {WHOLE_SECONDS} s: {voters}, spent {sorted(spent)}")

    def _all_vote(self, spent: set[str]) -> bool:
        voters = committed_voters(self.machines)
        return voters == {machine.identity() for machine in self.machines} and not voters & spent
