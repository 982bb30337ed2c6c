"""The stand-in network between a fleet's processes, as the launcher commands it."""

from __future__ import annotations

import trio

from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.standins.network import HEAL, NetworkFault, send_command


class FleetNetwork:
    """Cuts and heals links by the names of processes."""

    def __init__(self, process: LabProcess, control_port: int) -> None:
        self.process = process
        self._control_port = control_port

    def start(self) -> None:
        """Start the network and wait until all its links listen."""
        self.process.start()
        wait_until_listening(self._control_port)

    def strike(self, fault: NetworkFault, name: str, peer: str = "") -> None:
        """Break the links of one process, or only those with one peer."""
        self._command(f"{fault} {name} {peer}")

    def heal(self) -> None:
        """Undo all faults; connections that lost bytes are closed."""
        self._command(HEAL)

    def _command(self, command: str) -> None:
        if not trio.run(send_command, self._control_port, command):
            raise RuntimeError(f"the network did not understand: {command}")
