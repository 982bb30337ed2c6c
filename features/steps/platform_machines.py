"""The platform's machines on loopback: an address each, a settings file, a disk and one process."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START = ROOT / "platform" / "start.py"
CONTROL_PORT, READY_PORT, INSTANCE_PORT, OUTBOUND_PORT = 8144, 8141, 8145, 8147
PORT_RANGE = "7380,7395"
GRACE_SECONDS = 6
SERVICE = "alpha"
MEMBERS_CHANGED = 2030
DISK_FORMATTED, REPLICA_REJOINS = "disk-formatted", "replica-rejoins"

COMMON = {
    "portRange": PORT_RANGE,
    "faultTolerance.machines": "2",
    "bounds.graceS": str(GRACE_SECONDS),
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.configApplyMs": "2000",
    "bounds.budgetSlack": "64",
    "limits.linkMbps": "1000.0",
}


class Machine:
    """One machine; its process comes and goes, its disk and address stay."""

    role = ""

    def __init__(self, folder: Path, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.folder = folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.settings = self.folder / "boot.conf"
        self.process: subprocess.Popen | None = None

    @property
    def control(self) -> str:
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def fields(self) -> dict[str, str]:
        return {
            **COMMON,
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "dataDir": str(self.folder / "data"),
            "listenAddrs.control": self.control,
        }

    def write_settings(self, seeds: list[str], first_start: bool) -> None:
        """Replace the settings file whole, as the platform does."""
        lines = {
            **self.fields(),
            "seeds": ",".join(seeds),
            "firstStart": str(first_start).lower(),
        }
        new = self.settings.with_suffix(".new")
        new.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        new.replace(self.settings)

    def start(self) -> None:
        self.start_as(START, {})

    def start_as(self, program: Path, variables: dict[str, str]) -> None:
        """Start the process by a program of the tests' own."""
        assert not self.running, self.name
        environment = {**os.environ, **variables, "LIMELEVER_SETTINGS": str(self.settings)}
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(program), self.role],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        if self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.running:
            self.process.kill()
            self.process.wait()

    def events(self) -> list[dict]:
        """Return the log's lines that are events."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines() if self.log.exists() else ():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found


class ControlMachine(Machine):
    """A machine of the core."""

    role = "control"

    def lose_disk(self) -> None:
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def identity(self) -> str:
        """Return the identity that this machine's replica took last."""
        taken = [
            event["fields"]["identity"]
            for event in self.events()
            if event.get("event") in (DISK_FORMATTED, REPLICA_REJOINS)
        ]
        return taken[-1] if taken else ""


class NodeMachine(Machine):
    """A machine with an instance."""

    role = "node"

    def fields(self) -> dict[str, str]:
        return {
            **super().fields(),
            "listenAddrs.outbound": f"{self.ip}:{OUTBOUND_PORT}",
            "listenAddrs.ready": f"{self.ip}:{READY_PORT}",
            "service": SERVICE,
            "appAddr": f"{self.ip}:{INSTANCE_PORT}",
        }


def committed_voters(machines: list[ControlMachine]) -> frozenset[str]:
    """Return the identities that vote by the newest member set that any log names as committed."""
    sets = [
        (event["fields"]["index"], event["fields"]["voters"])
        for machine in machines
        for event in machine.events()
        if event.get("code") == MEMBERS_CHANGED
    ]
    return frozenset(max(sets)[1]) if sets else frozenset()
