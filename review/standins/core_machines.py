"""Machines of the core on loopback: an address, a settings file, a disk and one process each.

Processes are started with the command of the deploy file, and receive signals only.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT = 8144
LOCK_PORT = 20999
PORT_RANGE = "7380,7395"
START_SECONDS = 20.0
ASK_SECONDS = 1.0

BOUNDS = {
    "seedLagS": "3",
    "reuseAfterS": "2",
    "contactMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "graceS": "6",
    "lossSlackMs": "200",
    "configApplyMs": "2000",
    "rollbackSlackMs": "250",
    "maxStretchMs": "5000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "budgetSlack": "64",
    "recoverS": "15",
}
"""The bounds of the sample settings file in DEPLOY.md."""


def command_of(role: str) -> list[str]:
    """Return the deploy file's command of a role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


def take_network() -> tuple[str, socket.socket]:
    """Return the prefix of a loopback network that no other run uses, and the lock on it."""
    while True:
        prefix = f"127.{random.randint(1, 254)}.{random.randint(0, 255)}"
        try:
            return prefix, socket.create_server((f"{prefix}.254", LOCK_PORT))
        except OSError:
            continue


class Record:
    """The record of a run: one line an event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.start = time.monotonic()

    def note(self, text: str) -> float:
        """Write a line; return the time of it."""
        at = time.monotonic()
        with self._lock:
            self._file.write(f"{at - self.start:8.3f} {text}\n")
            self._file.flush()
        return at


class Machine:
    """One machine; its process comes and goes, its disk and address stay."""

    def __init__(self, folder: Path, role: str, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.role, self.zone = name, ip, role, zone
        self.folder = folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.settings = self.folder / "boot.conf"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, fields: dict[str, str]) -> None:
        """Replace the settings file whole."""
        new = self.settings.with_suffix(".new")
        new.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        new.replace(self.settings)

    def common_fields(self, seeds: list[str], first_start: bool) -> dict[str, str]:
        """Return what the settings of any machine hold."""
        return {
            "nodeName": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": "here",
            "zones.zone-a": "here",
            "zones.zone-b": "here",
            "listenAddrs.control": f"{self.ip}:{CONTROL_PORT}",
            "portRange": PORT_RANGE,
            "seeds": ",".join(seeds),
            "firstStart": str(first_start).lower(),
            "limits.linkMbps": "1000.0",
            "heartbeatMs": "1500",
            "faultTolerance.machines": "2",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LIMELEVER_SETTINGS": str(self.settings),
        }
        with self.log.open("a") as output:
            self.process = subprocess.Popen(
                command_of(self.role),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def status(self) -> int | None:
        """Return the status with which the process has ended, ``None`` while it runs."""
        return self.process.poll() if self.process is not None else None

    def freeze(self) -> None:
        """Freeze the process."""
        self.send(signal.SIGSTOP)

    def wake(self) -> None:
        """Wake the process."""
        self.send(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def events(self) -> list[dict]:
        """Return the events in the process's log."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines() if self.log.exists() else ():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def starts(self) -> int:
        """Return how often the process has begun, by its log."""
        return sum(event.get("event") == "process-started" for event in self.events())


class Core:
    """Five machines of the core, three of them seeds."""

    def __init__(self, record: Record, count: int = 5) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="limelever-review-"))
        self.prefix, self._lock = take_network()
        self.machines = [
            Machine(
                self.folder, "control", f"core-{n}", f"{self.prefix}.{n}", f"zone-{'ab'[n % 2]}"
            )
            for n in range(1, count + 1)
        ]
        self.others: list[Machine] = []
        self.seeds = [f"{machine.ip}:{CONTROL_PORT}" for machine in self.machines[:3]]
        for machine in self.machines:
            self.write_settings(machine, first_start=True)

    def write_settings(self, machine: Machine, *, first_start: bool) -> None:
        """Write the settings of a machine of the core."""
        fields = machine.common_fields(self.seeds, first_start)
        own = {
            "machineClass": "core",
            "serves": "control_plane",
            "countsInTolerance": "true",
            "dataDir": str(machine.folder / "data"),
        }
        machine.write_settings({**fields, **own})

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines:
            machine.start()

    def restart(self, machine: Machine) -> None:
        """Start a machine again, with its disk as it is."""
        self.write_settings(machine, first_start=False)
        machine.start()

    def close(self) -> None:
        """End all processes that were started and remove their files."""
        for machine in [*self.others, *self.machines]:
            machine.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        self._lock.close()

    def leader(self) -> Machine | None:
        """Return the machine that was elected last, by the logs; it steers the run only."""
        elected = [
            (event["fields"]["term"], machine)
            for machine in self.machines
            for event in machine.events()
            if event.get("event") == "leader-elected"
        ]
        return max(elected, key=lambda each: each[0])[1] if elected else None

    def term(self) -> int:
        """Return the newest term that anyone was elected in, by the logs."""
        terms = [
            event["fields"]["term"]
            for machine in self.machines
            for event in machine.events()
            if event.get("event") == "leader-elected"
        ]
        return max(terms, default=0)

    def voters(self) -> int:
        """Return how many voters the newest member set in the logs has."""
        sets = [
            (event["fields"]["index"], len(event["fields"]["voters"]))
            for machine in self.machines
            for event in machine.events()
            if event.get("event") == "members-changed"
        ]
        return max(sets)[1] if sets else 0


class Reply:
    """What came back of a call; status 0 says that nothing whole did."""

    def __init__(self, status: int, body: bytes = b"", location: str = "") -> None:
        self.status, self.body, self.location = status, body, location


def call(
    ip: str, method: str, path: str, body: bytes | None = None, limit: float = ASK_SECONDS
) -> Reply:
    """Make one call on a connection of its own."""
    connection = http.client.HTTPConnection(ip, CONTROL_PORT, timeout=limit)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Reply(response.status, response.read(), response.headers.get("Location", ""))
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()


def configuration(number: int, base: int, timeout_ms: int = 1500) -> bytes:
    """Return a configuration in the form of PROTOCOL.md."""
    services = [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConnections": 130,
            "protocol": "h1",
            "tls": False,
        }
    ]
    routes = [
        {
            "name": name,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 600,
            "priority": 1,
            "service": "huvo11a",
            "retryAttempts": 2,
        }
        for name, prefix, kind in (("r-read", "/read/", "safe"), ("r-write", "/write/", "unsafe"))
    ]
    value = {
        "version": f"r{number}",
        "baseVersion": f"r{base}" if base else 0,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"host": "ficu95.example", "pathRoutes": routes}],
    }
    return json.dumps(value).encode()


def version_in(body: bytes) -> int:
    """Return the number of the configuration in an answer."""
    return int(json.loads(body)["version"].removeprefix("r"))


class Operator:
    """The operator: sends a configuration until it is acknowledged, follows redirects."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.number = 0
        self.acknowledged_at = 0.0

    def change(self, machines: list[Machine], seconds: float) -> bool:
        """Send the next configuration to these machines until one acknowledges it."""
        number, base = self.number + 1, self.number
        body = configuration(number, base, 1500 + number)
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            ip = machines[turn % len(machines)].ip
            turn += 1
            for _ in range(3):
                reply = call(ip, "PUT", "/v1/config", body)
                if reply.status != 307:
                    break
                ip = reply.location.removeprefix("http://").split(":")[0]
            self.record.note(f"operator PUT r{number} on r{base} at {ip}: {reply.status}")
            if reply.status == 200:
                self.number = number
                self.acknowledged_at = self.record.note(f"r{number} is acknowledged")
                return True
            time.sleep(0.1)
        return False

    def read(self, machine: Machine) -> tuple[float, int, int]:
        """Ask one machine for the configuration; return when, the status and the version."""
        sent_at = time.monotonic()
        reply = call(machine.ip, "GET", "/v1/config")
        version = version_in(reply.body) if reply.status == 200 else 0
        return sent_at, reply.status, version
