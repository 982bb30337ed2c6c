"""One member of a fleet: a process with an admin listener, and what can be done to it."""

from __future__ import annotations

import shutil
import time
from pathlib import Path

import httpcore

from limelever_lab.fleet.http import get_text
from limelever_lab.fleet.metrics import (
    Sample,
    claim_bytes,
    configuration_version,
    control_bytes,
    parse_metrics,
)
from limelever_lab.fleet.ports import LOOPBACK
from limelever_lab.fleet.processes import LabProcess

READY_LIMIT_SECONDS = 30.0
READY_POLL_SECONDS = 0.05
HTTP_OK = 200
NETWORK_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class Member:
    """A process of the system under test, with its data folder."""

    def __init__(self, process: LabProcess, zone: str, admin_port: int, data_folder: Path) -> None:
        self.process = process
        self.zone = zone
        self.data_folder = data_folder
        self._admin = f"http://{LOOPBACK}:{admin_port}"

    @property
    def name(self) -> str:
        """Return the process's name."""
        return self.process.name

    def is_ready(self) -> bool:
        """Return whether ``/readyz`` says so now."""
        try:
            return get_text(f"{self._admin}/readyz")[0] == HTTP_OK
        except NETWORK_ERRORS:
            return False

    def wait_ready(self, limit: float = READY_LIMIT_SECONDS) -> None:
        """Wait until the process is ready; raises ``TimeoutError`` with the end of its log."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.is_ready():
                return
            if not self.process.running:
                break
            time.sleep(READY_POLL_SECONDS)
        status = self.process.exit_status()
        reason = "runs, not ready" if status is None else f"ended with status {status}"
        raise TimeoutError(f"{self.name} {reason}:\n{self.process.log_tail()}")

    def samples(self) -> list[Sample]:
        """Return the metrics; none when the process does not answer."""
        try:
            return parse_metrics(get_text(f"{self._admin}/metrics")[1])
        except NETWORK_ERRORS:
            return []

    def version(self) -> int:
        """Return the configuration version in force, 0 when unknown."""
        return configuration_version(self.samples())

    def control_bytes(self) -> float:
        """Return the control bytes, both ways, since the process started."""
        return control_bytes(self.samples())

    def claim_bytes(self) -> float:
        """Return the bytes exchanged with keepers, both ways, since the process started."""
        return claim_bytes(self.samples())

    def kill(self) -> None:
        """Kill the process as a crash would (SIGKILL)."""
        self.process.kill()

    def restart(self) -> None:
        """Start the process again and wait until it is ready."""
        self.process.start()
        self.wait_ready()

    def stop(self) -> int:
        """Make a planned stop and return the exit status."""
        self.process.request_stop()
        return self.process.wait()

    def remove_data(self) -> None:
        """Remove the data folder of a process that is down, as a lost disk would."""
        if self.process.running:
            raise RuntimeError(f"{self.name} runs")
        shutil.rmtree(self.data_folder, ignore_errors=True)
        self.data_folder.mkdir(parents=True)
