"""Control machines that lose power at one moment, in rounds, while an operator changes them.

Each round writes without pause to slow disks, one of which may be full for a while, and ends in a
loss of power at every machine; up to two disks are lost as well, and power may be lost again during
the recovery. All start again, and the newest configuration that was acknowledged has to be read
back, and never an older one.
"""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from loopback_networks import LoopbackNetwork
from platform_machines import committed_voters
from platform_traffic import OK, Operator, ask_control, version_of
from recorded_machine import ALL_LOST, DRAWN, RecordedMachine

VOTERS, SEEDS, TOLERATED = 5, 3, 2
RECOVER_SECONDS = 15.0
"""``bounds.recoverS``."""

WHOLE_SECONDS = 40.0
FIRST_START_SECONDS = 0.3
"""Within which all machines start."""

SYNCS = (0.002, 0.01, 0.04, 0.15)
"""Times of a sync, from a fast disk's to a slow one's."""

NEXT_CHANGE_SECONDS, NEXT_CHANGE_POLL_SECONDS = 2.0, 0.0005
LATEST_LOSS_SECONDS = 2.5
"""Latest loss of power during a recovery; by then disks that were lost are replaced."""

POLL_SECONDS = 0.05


@dataclass
class Changes:
    """An operator that changes the configuration without pause, until it is stopped."""

    operator: Operator
    over: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Changes:
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.over.set()
        self._thread.join()

    def _run(self) -> None:
        while not self.over.is_set():
            number = self.operator.newest + 1
            answer = ask_control(
                self.operator.draw.choice(self.operator.machines),
                "PUT",
                self.operator.document(number),
            )
            if answer.status == OK:
                self.operator.newest = number
            else:
                time.sleep(POLL_SECONDS)

    def await_next(self) -> None:
        """Wait until the next change is acknowledged, or for a while."""
        newest, end = self.operator.newest, time.monotonic() + NEXT_CHANGE_SECONDS
        while self.operator.newest == newest and time.monotonic() < end:
            time.sleep(NEXT_CHANGE_POLL_SECONDS)


class PowerLossFleet:
    """Five control machines, and what was seen after each loss of power."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork) -> None:
        self.draw = random.Random(seed)
        self.machines = [
            RecordedMachine(folder, f"core-{number}", network.address(number), f"zone-{number % 2}")
            for number in range(1, VOTERS + 1)
        ]
        self.operator = Operator(self.machines, random.Random(seed))
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
            if draw.random() < 0.5:
                changes.await_next()
            self._kill_all()

    def kill_amid_changes(self, seconds: float) -> None:
        """Kill all processes after changes of that long."""
        with Changes(self.operator):
            time.sleep(seconds)
            self._kill_all()

    def _kill_all(self) -> None:
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
            machine.start_on_disk(SYNCS[0])

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
