"""A loss of power at all machines that takes the first sector of an append from one of them."""

from __future__ import annotations

from power_loss import RecordedFile, applied, sector_parts
from power_loss_fleet import PowerLossFleet
from recorded_machine import RecordedMachine

SLOW_SYNCS = (0.15,)
"""An append is open during its sync: for most of the time, on such a disk."""

CHANGES_SECONDS, ATTEMPTS = 0.7, 20


def lose_power_in_append(fleet: PowerLossFleet, disks: int) -> None:
    """Lose power while a machine appends; the first ``disks`` others lose their disks."""
    torn = _machine_killed_in_append(fleet)
    lost = [machine for machine in fleet.machines if machine is not torn][:disks]
    spent = {machine.identity() for machine in lost}
    _take_first_sector(torn)
    for machine in lost:
        machine.lose_disk()
    names = [machine.name for machine in lost]
    fleet.recover(f"r{fleet.operator.newest}, disks lost {names}, torn at {torn.name}", spent)


def _machine_killed_in_append(fleet: PowerLossFleet) -> RecordedMachine:
    for _ in range(ATTEMPTS):
        fleet.kill_amid_changes(CHANGES_SECONDS)
        for machine in fleet.machines:
            if _has_open_append(_log_of(machine)):
                return machine
        fleet.recover("no append was open", set())
    raise AssertionError(f"no append was open in {ATTEMPTS} losses of power")


def _log_of(machine: RecordedMachine) -> RecordedFile:
    return machine.recorded.file_at(machine.data / "replica" / "log")


def _has_open_append(log: RecordedFile) -> bool:
    if not log.pending:
        return False
    last = log.pending[-1]
    return last.offset == len(applied(log.synced, log.pending[:-1])) and len(sector_parts(last)) > 1


def _take_first_sector(machine: RecordedMachine) -> None:
    log = _log_of(machine)
    *earlier, last = log.pending
    content = applied(log.synced, [*earlier, *sector_parts(last)[1:]])
    (machine.data / "replica" / "log").write_bytes(content)
