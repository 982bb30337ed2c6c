"""Plays series of strikes on machines, each series in a thread, and watches planned stops."""

from __future__ import annotations

import random
import signal
import subprocess
import threading
import time
from datetime import UTC, datetime, timedelta

from platform_machines import GRACE_SECONDS, Machine
from stopped_readiness import StoppedReadiness
from strike_log import KILL, PAUSE, RELOAD, SETTINGS, START, STOP, StrikeLog
from strike_series import RESUME, WAIT_STOPPED, Series, Step

STOP_SECONDS = GRACE_SECONDS + 2.0
"""Within them a planned stop has ended; those beyond the grace time are a choice, for the load."""

SEEDS = 3
PROCESS_STARTED = "process-started"
STOP_EVENTS = frozenset({"process-stopping", "stop-limit-passed", "process-stopped"})


class MachineStrikes:
    """What the series of one run have in common."""

    def __init__(
        self, control: list[Machine], nodes: list[Machine], strikes: StrikeLog, seed: int
    ) -> None:
        self._control, self._nodes, self._strikes = control, nodes, strikes
        self._draw = random.Random(f"settings-{seed}")
        self._begun: dict[str, int] = {}
        self._stop_at: dict[str, float] = {}
        self._early: set[str] = set()
        self.broken: list[str] = []
        self.counts: dict[str, int] = {}
        self.longest_stop_seconds = 0.0
        self.readiness = StoppedReadiness(strikes)

    def play(self, all_series: list[Series]) -> None:
        """Play all series at once, to their ends."""
        threads = [threading.Thread(target=self._play, args=(series,)) for series in all_series]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def write_settings(self, machine: Machine, first_start: bool = False) -> None:
        """Write a machine's settings file; its seeds are some of the control machines."""
        seeds = [each.control for each in self._control[:SEEDS]]
        if not first_start:
            self._draw.shuffle(seeds)
        machine.write_settings(seeds, first_start)

    def _play(self, series: Series) -> None:
        group = self._control if series.is_control else self._nodes
        for step in series.steps:
            time.sleep(step.after)
            self._carry_out(step, group[step.machine])

    def _carry_out(self, step: Step, machine: Machine) -> None:
        self.counts[step.what] = self.counts.get(step.what, 0) + 1
        {
            STOP: self._stop,
            WAIT_STOPPED: self._wait_stopped,
            START: self._start,
            RELOAD: self._reload,
            SETTINGS: self._change_settings,
            KILL: self._kill,
            PAUSE: self._pause,
            RESUME: self._resume,
        }[step.what](machine)

    def _stop(self, machine: Machine) -> None:
        if not machine.running:
            return
        is_first = machine.name not in self._stop_at
        self._stop_at.setdefault(machine.name, time.monotonic())
        if not self._has_begun(machine):
            self._early.add(machine.name)
        self._strikes.note(machine, STOP)
        machine.send(signal.SIGTERM)
        if is_first and machine in self._nodes:
            self.readiness.watch(machine)

    def _has_begun(self, machine: Machine) -> bool:
        """Return whether the process has said that it started: before, SIGTERM just ends it."""
        return _starts(machine) > self._begun.get(machine.name, 0)

    def _wait_stopped(self, machine: Machine) -> None:
        begun = self._stop_at.pop(machine.name, time.monotonic())
        try:
            status = machine.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.broken.append(f"{machine.name} did not stop within {STOP_SECONDS} s")
            machine.kill()
            return
        seconds = time.monotonic() - begun
        self.longest_stop_seconds = max(self.longest_stop_seconds, seconds)
        if seconds > GRACE_SECONDS:
            print(f"{machine.name} stopped in {seconds:.3f} s: {_last_words(machine, seconds)}")
        allowed = (0, -signal.SIGTERM) if machine.name in self._early else (0,)
        self._early.discard(machine.name)
        if status not in allowed:
            self.broken.append(f"{machine.name} ended a planned stop with {status}")

    def _start(self, machine: Machine) -> None:
        self._begun[machine.name] = _starts(machine)
        self._strikes.note(machine, START)
        machine.start()
        if self._strikes.is_out(machine):
            self._strikes.unplanned_over(machine)

    def _reload(self, machine: Machine) -> None:
        if machine.running:
            self._strikes.note(machine, RELOAD)
            machine.send(signal.SIGHUP)

    def _change_settings(self, machine: Machine) -> None:
        self._strikes.note(machine, SETTINGS)
        self.write_settings(machine)

    def _kill(self, machine: Machine) -> None:
        self._stop_at.pop(machine.name, None)
        self._strikes.note(machine, KILL)
        machine.kill()

    def _pause(self, machine: Machine) -> None:
        self._strikes.note(machine, PAUSE)
        machine.send(signal.SIGSTOP)

    def _resume(self, machine: Machine) -> None:
        print(f"{time.monotonic():10.3f}  SIGCONT {machine.name}", flush=True)
        machine.send(signal.SIGCONT)
        self._strikes.unplanned_over(machine)


def _last_words(machine: Machine, seconds: float) -> list[str]:
    """Return when a process that has just ended logged how its stop went, from SIGTERM on."""
    asked_at = datetime.now(UTC) - timedelta(seconds=seconds)
    events = [(datetime.fromisoformat(each["time"]), each["event"]) for each in machine.events()]
    return [
        f"{event} {(at - asked_at).total_seconds():+.3f}"
        for at, event in events
        if event in STOP_EVENTS and at >= asked_at
    ]


def _starts(machine: Machine) -> int:
    return sum(event.get("event") == PROCESS_STARTED for event in machine.events())
