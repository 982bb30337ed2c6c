"""One process of the fleet: started, signalled and ended by its own process identifier."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from limelever_lab.fleet.ports import LOOPBACK

START_LIMIT_SECONDS = 30.0
STOP_LIMIT_SECONDS = 40.0
POLL_SECONDS = 0.05
KIBIBYTE = 1024


class LabProcess:
    """A program of this environment, with its log in the run folder.

    ``command`` is the program's name and arguments. A process may be started again after it
    ended; its log is continued. ``code`` is the folder from which the program's modules are taken
    at the next start; ``None`` takes those that are installed.
    """

    def __init__(self, name: str, command: Sequence[str], folder: Path) -> None:
        self.name = name
        self.log_file = folder / f"{name}.log"
        self.code: Path | None = None
        self._command = tuple(command)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; raises ``RuntimeError`` when it still runs."""
        if self.running:
            raise RuntimeError(f"{self.name} runs already")
        program = Path(sys.executable).parent / self._command[0]
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [str(program), *self._command[1:]],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment(),
            )

    def _environment(self) -> dict[str, str]:
        environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        if self.code is not None:
            environment["PYTHONPATH"] = str(self.code)
        return environment

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    def wait(self, limit: float = STOP_LIMIT_SECONDS) -> int:
        """Wait up to ``limit`` seconds for the end and return the exit status.

        Raises ``subprocess.TimeoutExpired`` when the process is still there.
        """
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._process.wait(limit)

    def exit_status(self) -> int | None:
        """Return the exit status, or ``None`` while the process runs."""
        return None if self._process is None else self._process.poll()

    def kill(self) -> None:
        """Kill the process at once and reap it."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def suspend(self) -> None:
        """Stop the process from running (SIGSTOP): its peers see silence, not a closed link."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a suspended process run on (SIGCONT)."""
        self.send(signal.SIGCONT)

    def request_stop(self) -> None:
        """Ask for a planned stop (SIGTERM)."""
        self.send(signal.SIGTERM)

    def end(self) -> None:
        """Kill the process if it still runs, also when it was suspended."""
        if self.running:
            self.kill()

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        if self._process is None or not self.running:
            return 0
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def proportional_bytes(self) -> int:
        """Return the resident memory with each shared page counted in parts."""
        if self._process is None or not self.running:
            return 0
        text = Path(f"/proc/{self._process.pid}/smaps_rollup").read_text()
        return int(text.partition("\nPss:")[2].split()[0]) * KIBIBYTE

    def processor_seconds(self) -> float:
        """Return the user and system time that the process has used."""
        if self._process is None or not self.running:
            return 0.0
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def written_bytes(self) -> int:
        """Return the bytes that the process caused to be written to storage."""
        if self._process is None or not self.running:
            return 0
        text = Path(f"/proc/{self._process.pid}/io").read_text()
        return int(text.partition("\nwrite_bytes:")[2].split()[0])

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        if not self.log_file.exists():
            return ""
        return "\n".join(self.log_file.read_text(errors="replace").splitlines()[-lines:])


def wait_until_listening(port: int, limit: float = START_LIMIT_SECONDS) -> None:
    """Wait until a loopback port accepts connections; raises ``TimeoutError``."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        with socket.socket() as probe:
            if probe.connect_ex((LOOPBACK, port)) == 0:
                return
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"nothing listens on port {port} after {limit} s")
