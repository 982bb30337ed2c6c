"""A small deployment on loopback: core machines, sidecar machines, instances, operator, clients.

The processes of the system are started with the commands of ``deploy/system.toml`` and settings as
``DEPLOY.md`` shows them. Everything else is a stand-in that does what ``PROTOCOL.md`` allows.
Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTROL, READY, APP, INBOUND, OUTBOUND = 8144, 8141, 8145, 8146, 8147
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.5
MEMORY_LOOK_S = 0.02


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def line(self, *words: object) -> None:
        """Write a line."""
        print(f"{self.now():8.3f}", *words, file=self._file, flush=True)


class Machine:
    """One machine: an address of its own, a settings file, a disk if it is a core machine."""

    def __init__(self, site: Site, role: str, name: str, ip: str, zone: str, service: str) -> None:
        self.site, self.role, self.name, self.ip = site, role, name, ip
        self.zone, self.service = zone, service
        self.folder = site.folder / name
        self.folder.mkdir()
        self.settings = self.folder / "boot.conf"
        self.process: subprocess.Popen | None = None
        self.wanted = False
        self.memory_kills = 0
        self.own_ends = 0
        self.peak_mb = 0.0

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def fields(self, first_start: bool) -> dict[str, object]:
        """Return the settings, with the names of ``DEPLOY.md``."""
        machine_class = "sidecar" if self.role == "node" else "core"
        fields: dict[str, object] = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": machine_class,
            "serves": "sidecar" if self.role == "node" else "control_plane",
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            **{f"zones.{zone}": "region-1" for zone in ZONES},
            "listenAddrs.control": f"{self.ip}:{CONTROL}",
            "portRange": "7380,7395",
            "seeds": ",".join(f"{ip}:{CONTROL}" for ip in self.site.seeds),
            "firstStart": str(first_start).lower(),
            "countsInTolerance": str(self.role == "control").lower(),
            "limits.cpuShare": 0.86 if self.role == "node" else 2.23,
            "limits.cpuCores": 1,
            "limits.memoryMb": self.memory_mb,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "limits.diskMb": 0 if self.role == "node" else 256,
            "discovery": "local",
            "entry": "local",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover",
            "faultTolerance.machines": self.site.tolerated,
            "faultTolerance.zones": 0,
            "faultTolerance.regions": 0,
            "bounds.seedLagS": 3,
            "bounds.reuseAfterS": 2,
            "bounds.contactMs": 3000,
            "bounds.ackMs": 4000,
            "bounds.catchUpS": 4,
            "bounds.drainMs": 2000,
            "bounds.graceS": 6,
            "bounds.lossSlackMs": 200,
            "bounds.configApplyMs": 2000,
            "bounds.rollbackSlackMs": 250,
            "bounds.maxStretchMs": 5000,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.budgetSlack": 64,
            "bounds.recoverS": 15,
        }
        if self.role == "node":
            fields |= {
                "listenAddrs.inbound": f"{self.ip}:{INBOUND}",
                "listenAddrs.outbound": f"{self.ip}:{OUTBOUND}",
                "listenAddrs.ready": f"{self.ip}:{READY}",
                "appAddr": f"{self.ip}:{APP}",
                "service": self.service,
            }
        else:
            fields["dataDir"] = str(self.folder / "data")
        return fields

    @property
    def memory_mb(self) -> int:
        """Return the limit of the process's memory."""
        return 300 if self.role == "node" else 296

    def start(self, *, first_start: bool) -> None:
        """Write the settings file and start the process as the deploy file says."""
        lines = "".join(f"{key}={value}\n" for key, value in self.fields(first_start).items())
        self.settings.write_text(lines)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LIMELEVER_SETTINGS": str(self.settings),
        }
        with (self.folder / "log").open("a") as output:
            self.process = subprocess.Popen(
                self.site.commands[self.role].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.wanted = True
        self.site.record.line("platform starts", self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.running:
            self.process.send_signal(number)
            self.site.record.line("platform sends", number.name, "to", self.name)

    def stop(self) -> None:
        """End the process at once."""
        self.wanted = False
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_used_mb(self) -> float:
        """Return the memory of the process's own; pages of files, which are shared, don't count."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def keep_running(self) -> None:
        """Restart a process that ended; kill one that is over its memory, as the pages say."""
        while True:
            await asyncio.sleep(MEMORY_LOOK_S)
            if not self.wanted or self.process is None:
                continue
            if self.running:
                used = self.memory_used_mb()
                self.peak_mb = max(self.peak_mb, used)
                if used <= self.memory_mb:
                    continue
                self.memory_kills += 1
                limit = f"limits.memoryMb={self.memory_mb}"
                self.site.record.line(self.name, f"uses {used:.0f} MB, over {limit}: killed")
                self.process.kill()
                self.process.wait()
            else:
                self.own_ends += 1
                self.site.record.line(self.name, "ended by itself", self.process.returncode)
            await asyncio.sleep(0.5)
            if self.wanted:
                self.start(first_start=False)


class Site:
    """The machines of a deployment and the tasks that act for the platform."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="small-site-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.machines: list[Machine] = []
        self.seeds: list[str] = []
        self.tolerated = 2
        self.tasks: list[asyncio.Task] = []
        self._net = 1 + os.getpid() % 250

    def ip(self, number: int) -> str:
        """Return a loopback address of this site."""
        return f"127.{self._net}.7.{number}"

    def add_core(self, count: int) -> list[Machine]:
        """Add the core machines; the first three are the seeds."""
        added = [
            Machine(self, "control", f"core-{n}", self.ip(10 + n), ZONES[n % len(ZONES)], "")
            for n in range(count)
        ]
        self.machines += added
        self.seeds = [machine.ip for machine in added[:3]]
        return added

    def add_node(self, number: int, service: str, zone: str = "") -> Machine:
        """Add a sidecar machine for an instance of a service."""
        zone = zone or ZONES[number % len(ZONES)]
        node = Machine(self, "node", f"sidecar-{number}", self.ip(100 + number), zone, service)
        self.machines.append(node)
        return node

    def start(self) -> None:
        """Start all machines, for the first time."""
        for machine in self.machines:
            machine.start(first_start=True)
            self.tasks.append(asyncio.create_task(machine.keep_running()))

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def until_ready(self, nodes: list[Machine], seconds: float = 30.0) -> bool:
        """Wait until the platform's question is answered 200 by all these nodes."""
        end = time.monotonic() + seconds
        waiting = list(nodes)
        while waiting and time.monotonic() < end:
            answer = await call(waiting[0].ip, READY, "GET", "/v1/ready", timeout=1.0)
            if answer is not None and answer.status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.1)
        return not waiting


class Answer:
    """An HTTP answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    @property
    def is_final(self) -> bool:
        """Return whether a caller of ``control_plane`` ends its call with this answer."""
        refused = 400 <= self.status < 500 and self.status not in (408, 429)
        return refused or self.status < 300


def head(first: str, headers: dict[str, object]) -> bytes:
    """Return the encoded head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, names in lower case; ``None`` at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Return a whole answer, or ``None`` if the connection ended before."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Answer(int(first.split()[1]), headers, body)


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, object] | None = None,
    body: bytes = b"",
    timeout: float = 1.0,
) -> Answer | None:
    """Make one call on a new connection; ``None`` if it gets no whole answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": f"{ip}:{port}", **(headers or {})}
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = len(body)
            writer.write(head(f"{method} {path} HTTP/1.1", fields) + body)
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """The operator: calls a core machine, follows 307, and repeats what has no clear answer.

    It goes on calling the machine that has answered last, until that fails.
    """

    def __init__(self, site: Site, core: list[Machine]) -> None:
        self._site, self._core = site, core
        self._asked = core[0].ip
        self._turn = 0

    async def order(
        self, method: str, path: str, body: bytes = b"", seconds: float = 20.0
    ) -> Answer | None:
        """Make a call until it has a clear answer; ``None`` if it has none in time."""
        end, pause = time.monotonic() + seconds, 0.05
        while time.monotonic() < end:
            answer = await self._once(method, path, body)
            if answer is not None and answer.is_final:
                self._site.record.line("operator", method, path, "->", answer.status)
                return answer
            self._turn += 1
            self._asked = self._core[self._turn % len(self._core)].ip
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        self._site.record.line("operator", method, path, "-> no clear answer")
        return None

    async def _once(self, method: str, path: str, body: bytes) -> Answer | None:
        fields = {"Content-Type": "application/json"} if body else {}
        for _ in range(3):
            answer = await call(self._asked, CONTROL, method, path, fields, body)
            if answer is None or answer.status != 307:
                return answer
            place = answer.headers["location"].removeprefix("http://").partition("/")[0]
            self._asked = place.rpartition(":")[0]
        return None


class Run:
    """A request that an instance has run, as it came."""

    def __init__(self, request: str, method: str, path: str, size: int, checksum: int) -> None:
        self.id = request
        self.asked = (method, path, size, checksum)


class Instance:
    """An application instance beside a node: works on ``slots`` requests, queues a few more."""

    def __init__(self, node: Machine, name: str, work_s: float, slots: int = 6) -> None:
        self.node, self.id = node, name
        self._work_s, self._slots = work_s, slots
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._sequence = 0
        self.runs: list[Run] = []

    @property
    def ran(self) -> list[str]:
        """Return the ids of the requests that were run."""
        return [run.id for run in self.runs]

    async def start(self) -> None:
        """Listen and send heartbeats."""
        server = await asyncio.start_server(self._serve, self.node.ip, APP, limit=1 << 20)
        beat = asyncio.create_task(self._beat())
        self.node.site.tasks += [beat, asyncio.create_task(server.serve_forever())]

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            report = {
                "address": f"{self.node.ip}:{APP}",
                "info": {
                    "service": self.node.service,
                    "version": "v1",
                    "zone": self.node.zone,
                    "slots": self._slots,
                },
                "status": {"state": "ready", "seq": self._sequence, "warmupLeftMs": 0},
            }
            fields = {"Content-Type": "application/json"}
            body = json.dumps(report).encode()
            await call(self.node.ip, CONTROL, "PUT", f"/v1/instances/{self.id}", fields, body)
            await asyncio.sleep(HEARTBEAT_S)

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._slots}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                method, path, _ = first.split(" ", 2)
                size = left = int(headers.get("content-length", "0"))
                checksum = 0
                while left:
                    part = await reader.read(min(left, 1 << 20))
                    if not part:
                        return
                    left -= len(part)
                    checksum = zlib.crc32(part, checksum)
                run = Run(headers.get("limelever-attempt-id", ""), method, path, size, checksum)
                writer.write(await self._answer(run, headers))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # cancelled only as the whole site ends
        finally:
            writer.close()

    async def _answer(self, run: Run, headers: dict[str, str]) -> bytes:
        if run.asked[1] == "/health":
            return self._encoded("200 OK", {"Limelever-Instance-Id": self.id}, b"")
        request = run.id
        repeated = {"Limelever-Attempt-Id": request}
        if headers.get("limelever-target-instance", self.id) != self.id:
            return self._encoded("421 Misdirected Request", repeated, b"")
        record = self.node.site.record
        self._waiting += 1
        async with self._free:
            self._waiting -= 1
            self._running += 1
            record.line(self.id, "runs", request, *run.asked)
            self.runs.append(run)
            await asyncio.sleep(self._work_s)
            self._running -= 1
        body = f"{self.id} {request}\n".encode()
        sealed = {"Limelever-Response-Seal": f"seal-{self.id}-{request}"}
        return self._encoded("200 OK", repeated | sealed, body)

    def _encoded(self, status: str, headers: dict[str, object], body: bytes) -> bytes:
        fields = {"Limelever-Server-Load": self._load(), **headers, "Content-Length": len(body)}
        return head(f"HTTP/1.1 {status}", fields) + body


def route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, target_ms: int
) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "retryAttempts": 2,
    }


def configuration(
    version: int, base: int, host: str, services: list[str], routes: list[dict[str, object]]
) -> bytes:
    """Return a configuration as ``PROTOCOL.md`` shows it, with the limits of its example."""
    value = {
        "version": f"r{version}",
        "baseVersion": f"r{base}" if base else 0,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 130,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"host": host, "pathRoutes": routes}],
    }
    return json.dumps(value).encode()
