"""A leader that counts echoes of an earlier term answers reads with an old configuration."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from core_machines import Core, Machine, Operator, Record  # noqa: E402
from runs import BROKEN, HELD, UNFIT, run_case  # noqa: E402

APPLY_SECONDS = 2.0
"""``configApplyMs``."""

RUN_SECONDS = 105.0
ATTEMPT_SECONDS = 35.0
START_SECONDS = 5.0
READ_SECONDS = 2.0
LEAD_SECONDS = 5.0
"""How long a machine leads before the trouble."""


class Case:
    """One run of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.core = Core(record)
        self.operator = Operator(record)
        self.until = record.start + RUN_SECONDS

    def run(self, *, trouble: bool) -> int:
        """Play it; return the exit status."""
        if not self.begin():
            return UNFIT
        if not trouble:
            return self.calm()
        played = False
        while time.monotonic() + ATTEMPT_SECONDS < self.until:
            status = self.attempt()
            if status == BROKEN:
                return BROKEN
            played = played or status == HELD
            self.wake_all()
        return HELD if played else UNFIT

    def close(self) -> None:
        """End all processes."""
        self.core.close()

    def begin(self) -> bool:
        """Start the core and wait until it has five voters and a configuration."""
        self.core.start()
        if not self.operator.change(self.core.machines, 20.0):
            return False
        until = time.monotonic() + 20.0
        while self.core.voters() < len(self.core.machines):
            if time.monotonic() > until:
                return False
            time.sleep(0.2)
        return True

    def calm(self) -> int:
        """Change and read the configuration without any disruption."""
        for _ in range(3):
            if not self.operator.change(self.core.machines, 8.0):
                return UNFIT
            time.sleep(APPLY_SECONDS + 0.1)
            for machine in self.core.machines:
                if self.judge(machine, self.operator.read(machine)):
                    return BROKEN
        return HELD

    def judge(self, machine: Machine, answer: tuple[float, int, int]) -> bool:
        """Return whether a read breaks the rule: sent later than the bound, and answered older."""
        sent_at, status, version = answer
        late = sent_at > self.operator.acknowledged_at + APPLY_SECONDS
        broken = status == 200 and late and version < self.operator.number
        seconds = sent_at - self.operator.acknowledged_at
        note = f"GET at {machine.name}, {seconds:.3f} s after the last ack: {status}"
        if status == 200:
            note += f" r{version}"
        self.record.note(
            note + (f"  BROKEN: r{self.operator.number} is in force" if broken else "")
        )
        return broken

    def wake_all(self) -> None:
        """Wake or start all machines, and wait until the operator is served again."""
        for machine in self.core.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.wake()
            else:
                self.core.restart(machine)
        self.record.note("all machines are awake")
        self.operator.change(self.core.machines, 15.0)

    def attempt(self) -> int:
        """Freeze two machines; let a third lose and regain the lead; then go on without it."""
        leader = self.core.leader()
        if leader is None:
            return UNFIT
        term = self.core.term()
        others = [machine for machine in self.core.machines if machine is not leader]
        slow, quick = others[:2], others[2:]
        self.record.note(f"{leader.name} leads in term {term}")
        time.sleep(LEAD_SECONDS)
        for machine in slow:
            machine.freeze()
        self.record.note(f"{slow[0].name} and {slow[1].name} are frozen")
        changed = self.operator.change([leader], 4.0)
        time.sleep(0.5)
        if not changed or not self.regain(leader, quick, term):
            return UNFIT
        for machine in slow:
            machine.wake()
        self.record.note(f"{slow[0].name} and {slow[1].name} are awake")
        time.sleep(0.4)
        return self.leave_behind(leader, others)

    def regain(self, leader: Machine, quick: list[Machine], term: int) -> bool:
        """Freeze the two other machines until the leader has lost its lead and asks for votes.

        They wake for a moment in between, to take what the leader sent before it lost the lead.
        """
        for machine in quick:
            machine.freeze()
        time.sleep(1.25)
        for machine in quick:
            machine.wake()
        time.sleep(0.05)
        for machine in quick:
            machine.freeze()
        time.sleep(0.72)
        for machine in quick:
            machine.wake()
        names = " and ".join(machine.name for machine in quick)
        self.record.note(f"{names} were frozen for 2 s, but for 0.05 s in between")
        until = time.monotonic() + 4.0
        while self.core.term() == term and time.monotonic() < until:
            time.sleep(0.02)
        now, led = self.core.term(), self.core.leader()
        self.record.note(f"{led.name if led else 'nobody'} leads in term {now}")
        return led is leader and now > term

    def leave_behind(self, leader: Machine, others: list[Machine]) -> int:
        """Kill and start all others; freeze the leader while they change the configuration."""
        for machine in others:
            machine.kill()
        self.record.note(f"all but {leader.name} are killed")
        starts = {machine.name: machine.starts() for machine in others}
        for machine in others:
            self.core.restart(machine)
        until = time.monotonic() + START_SECONDS
        while all(machine.starts() == starts[machine.name] for machine in others):
            if time.monotonic() > until:
                return UNFIT
            time.sleep(0.002)
        leader.freeze()
        frozen_at = self.record.note(f"{leader.name} is frozen, all others start")
        changed = self.operator.change(others, 6.0)
        for machine in others:
            machine.freeze()
        leader.wake()
        seconds = time.monotonic() - frozen_at
        self.record.note(f"{leader.name} is awake after {seconds:.2f} s, all others are frozen")
        if not changed:
            return UNFIT
        time.sleep(APPLY_SECONDS + 0.2)
        broken = False
        until = time.monotonic() + READ_SECONDS
        while time.monotonic() < until:
            broken = self.judge(leader, self.operator.read(leader)) or broken
            time.sleep(0.1)
        return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(HERE, "CONFIG", Case))
