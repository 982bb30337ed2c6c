"""Faults that strike one process of a running fleet, and how each is undone."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from limelever_lab.fleet.network import FleetNetwork
from limelever_lab.fleet.processes import LabProcess
from limelever_lab.standins.network import NetworkFault


class Fault(StrEnum):
    """What may happen to a process; links are cut silently, towards all its peers."""

    KILLED = "kill -9"
    SUSPENDED = "SIGSTOP"
    STOPPED = "SIGTERM"
    FOLDER_LOST = "data folder removed"
    CUT_OFF = "link cut both ways"
    DEAF = "link cut inwards"
    MUTE = "link cut outwards"
    RESET = "connections dropped"


LINK_FAULTS = {
    Fault.CUT_OFF: NetworkFault.ISOLATE,
    Fault.DEAF: NetworkFault.DEAFEN,
    Fault.MUTE: NetworkFault.MUTE,
    Fault.RESET: NetworkFault.CUT,
}


@dataclass(frozen=True, slots=True)
class Target:
    """A process that can be struck; ``wait_up`` waits until it serves again after a start.

    ``remove_data`` is ``None`` for a process that keeps no data of its own.
    """

    process: LabProcess
    wait_up: Callable[[], None]
    remove_data: Callable[[], None] | None = None

    @property
    def name(self) -> str:
        """Return the process's name, which its links have too."""
        return self.process.name

    def strike(self, fault: Fault, network: FleetNetwork) -> None:
        """Let a fault happen; raises ``ValueError`` when the process has no data folder."""
        if fault in LINK_FAULTS:
            network.strike(LINK_FAULTS[fault], self.name)
        elif fault is Fault.SUSPENDED:
            self.process.suspend()
        elif fault is Fault.STOPPED:
            self.process.request_stop()
        else:
            self._kill(fault)

    def bring_back(self, network: FleetNetwork) -> None:
        """Undo whatever struck the process, without waiting until it serves."""
        network.heal()
        self.process.resume()
        if not self.process.running:
            self.process.start()

    def recover(self, network: FleetNetwork) -> None:
        """Undo whatever struck the process; returns once it serves again."""
        self.bring_back(network)
        self.wait_up()

    def _kill(self, fault: Fault) -> None:
        self.process.kill()
        if fault is not Fault.FOLDER_LOST:
            return
        if self.remove_data is None:
            raise ValueError(f"{self.name} has no data folder")
        self.remove_data()


def count_events(process: LabProcess, code: int) -> int:
    """Return how often a process has logged an event, over all its starts."""
    if not process.log_file.exists():
        return 0
    return process.log_file.read_text(errors="replace").count(f'"code": {code},')
