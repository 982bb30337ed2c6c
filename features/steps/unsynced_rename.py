"""A kill between the rename of a file and the sync of its folder, and a later loss of power."""

from __future__ import annotations

import os
import random
import time

from power_loss_fleet import Changes, PowerLossFleet
from recorded_machine import ALL_LOST, RecordedMachine

SYNC_SECONDS = 0.1
LIMIT_SECONDS, POLL_SECONDS, RUNNING_SECONDS = 60.0, 0.002, 2.0
TAIL_BYTES = 4096


def lose_power_after_kill(fleet: PowerLossFleet, disks: int) -> None:
    """Kill a machine as it renames its snapshot; all lose power a while after it is back."""
    with Changes(fleet.operator):
        killed = _kill_after_rename(fleet)
    killed.end()
    killed.start_again(SYNC_SECONDS)
    time.sleep(RUNNING_SECONDS)
    fleet.kill_all()
    lost = [machine for machine in fleet.machines if machine is not killed][:disks]
    spent = {machine.identity() for machine in lost}
    unsynced = killed.lose_power(random.Random(0), ALL_LOST)
    for machine in lost:
        machine.lose_disk()
    names = [machine.name for machine in lost]
    fleet.recover(f"disks lost {names}, {unsynced} writes lost at {killed.name}", spent)


def _kill_after_rename(fleet: PowerLossFleet) -> RecordedMachine:
    """Kill a machine that has renamed a snapshot, and not synced its folder yet."""
    end = time.monotonic() + LIMIT_SECONDS
    while time.monotonic() < end:
        for machine in fleet.machines:
            if _has_renamed(machine):
                machine.kill()
                if _has_renamed(machine):
                    return machine
                machine.end()
                machine.start_again(SYNC_SECONDS)
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"no snapshot was renamed within {LIMIT_SECONDS} s")


def _has_renamed(machine: RecordedMachine) -> bool:
    """Return whether the last call in the machine's record renames a snapshot."""
    with machine.record.open("rb") as record:
        record.seek(max(0, record.seek(0, os.SEEK_END) - TAIL_BYTES))
        *_, last, rest = [b"", b"", *record.read().split(b"\n")]
    return not rest and last.startswith(b'{"call":"rename"') and last.endswith(b'/files/snapshot"}')
