"""A fleet of the platform's processes under requests that end each instance that begins them."""

from __future__ import annotations

import itertools
import random
import signal
import threading
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import httpcore
from crashing_instances import DEADLY, CrashingInstance, CrashJournal
from kept_connection import KeptConnection
from loopback_networks import LoopbackNetwork
from platform_machines import ControlMachine, NodeMachine, committed_voters
from platform_traffic import (
    DEADLINE_MS,
    HOST_NAME,
    NOT_RUN,
    OK,
    OUTBOUND_PORT,
    READ,
    WRITE,
    Answer,
    Callers,
    ask,
    ask_control,
    document_of,
    is_ready,
)

from limelever_lab.bench_calls.client import CLIENT_ERRORS

VOTERS, ZONES, SEEDS = 5, 2, 3
UPLOAD = "upload"
UPLOAD_BYTES = 60_000
KINDS = {READ: "safe", WRITE: "unsafe", UPLOAD: "upload"}
START_SECONDS = 60.0
POLL_SECONDS = 0.1
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.3, 0.9
CONTACT_SECONDS = 3.0
"""After the third crash all machines are to know: a bound of the platform."""

PIPELINE_SECONDS = 2.0
ALLOWED_LATE = 3
REPEATERS = 3
OTHER_CALLERS = 6
QUARANTINED_EVENTS = frozenset({"request-quarantined"})


@dataclass(frozen=True, slots=True)
class Repeat:
    """A coming of a request that is repeated, and its answer; ``at`` in monotonic seconds."""

    at: float
    seconds: float
    answer: Answer
    request: str
    node: str


def ask_plainly(node: NodeMachine, method: str, path: str, body: bytes | None, headers) -> Answer:
    """Send a request on a connection of its own."""
    return ask(node.ip, OUTBOUND_PORT, method, path, body, headers)


def ask_in_pipeline(node: NodeMachine, method: str, path: str, body, headers) -> Answer:
    """Send a request twice in a row on one connection; return the first answer."""
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    try:
        connection = KeptConnection(node.ip, OUTBOUND_PORT)
    except OSError:
        return Answer(0)
    try:
        connection.send(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() * 2, PIPELINE_SECONDS)
        first = connection.read(time.monotonic() + PIPELINE_SECONDS)
        connection.read(time.monotonic() + PIPELINE_SECONDS)
        return Answer(first.status, first.body)
    finally:
        connection.close()


def ask_by_http2(node: NodeMachine, method: str, path: str, body, headers) -> Answer:
    """Send a request over HTTP/2, with the protocol known beforehand."""
    with httpcore.ConnectionPool(http1=False, http2=True) as pool:
        try:
            url = f"http://{node.ip}:{OUTBOUND_PORT}{path}"
            answer = pool.request(method, url, headers=list(headers.items()), content=body)
        except CLIENT_ERRORS:
            return Answer(0)
        return Answer(answer.status, answer.content)


@dataclass
class Repeater:
    """Callers that send one and the same request to nodes drawn at random, again and again."""

    nodes: list[NodeMachine]
    kind: str
    name: str
    seed: int
    body: bytes = b""
    ask: Callable[..., Answer] = ask_plainly
    ended: list[Repeat] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(number,)) for number in range(REPEATERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _call(self, number: int) -> None:
        draw = random.Random(f"repeat-{self.seed}-{self.name}-{number}")
        for count in itertools.count():
            pause = draw.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            if self._over.wait(pause):
                return
            mark = zlib.crc32(self.name.encode()) % 0xFFFF
            request = f"{number + 0xD0:02x}{mark:04x}{count:010x}"
            node, begun = draw.choice(self.nodes), time.monotonic()
            answer = self._send(node, request)
            ended = Repeat(begun, time.monotonic() - begun, answer, request, node.name)
            self.ended.append(ended)

    def _send(self, node: NodeMachine, request: str) -> Answer:
        headers = {
            "Host": HOST_NAME,
            "Limelever-Attempt-Id": request,
            "Limelever-Deadline-Ms": str(DEADLINE_MS),
        }
        method = "GET" if self.kind == READ else "POST"
        path = f"/{self.kind}/{self.name}"
        return self.ask(node, method, path, self.body or None, headers)


class DeadlyFleet:
    """Five control machines, and nodes with an instance each."""

    def __init__(
        self,
        folder: Path,
        network: LoopbackNetwork,
        nodes: int,
        seed: int,
        kind: type[NodeMachine] = NodeMachine,
    ) -> None:
        self.seed = seed
        self.control = [
            ControlMachine(folder, f"core-{n}", network.address(n), f"zone-{n % ZONES}")
            for n in range(1, VOTERS + 1)
        ]
        self.nodes = [
            kind(folder, f"sidecar-{n}", network.address(n), f"zone-{n % ZONES}")
            for n in range(VOTERS + 1, VOTERS + 1 + nodes)
        ]
        self.journal = CrashJournal()
        self.instances = [CrashingInstance(node, self.journal) for node in self.nodes]
        self.repeats: list[Repeat] = []
        self.others = []
        self.killed = 0

    @property
    def machines(self):
        return [*self.control, *self.nodes]

    def start(self) -> None:
        self._write_settings(first_start=True)
        for machine in self.machines:
            machine.start()
        end = time.monotonic() + START_SECONDS
        body = document_of(1, 0, KINDS, DEADLINE_MS)
        while ask_control(self.control[0], "PUT", body).status != OK:
            assert time.monotonic() < end, "the first configuration was not taken"
            time.sleep(POLL_SECONDS)
        self._write_settings(first_start=False)
        for node in self.nodes:
            while not is_ready(node) or self._ask_once(node).status != OK:
                assert time.monotonic() < end, f"{node.name} does not serve"
                time.sleep(POLL_SECONDS)
        while len(committed_voters(self.control)) < VOTERS:
            assert time.monotonic() < end, "not all replicas vote"
            time.sleep(POLL_SECONDS)

    def close(self) -> None:
        for machine in self.machines:
            machine.kill()
        for instance in self.instances:
            instance.end()

    def play(self, seconds: float, repeaters: list[Repeater], beside=()) -> None:
        """Let callers repeat requests beside others for a time; ``beside`` are further threads."""
        others = Callers(self.nodes, OTHER_CALLERS, self.seed)
        over = threading.Event()
        threads = [threading.Thread(target=each, args=(over,)) for each in beside]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        over.set()
        for each in (*repeaters, others):
            each.stop()
        for thread in threads:
            thread.join()
        self.others += others.sent
        for each in repeaters:
            self.repeats += each.ended

    def crash_by_themselves(self, gap: float):
        """Return what ends an instance drawn at random each ``gap`` seconds."""
        draw = random.Random(f"crashes-{self.seed}")

        def crash(over: threading.Event) -> None:
            while not over.wait(gap):
                draw.choice(self.instances).crash()

        return crash

    def kill_nodes(self, gap: float):
        """Return what kills a node drawn at random each ``gap`` seconds, and starts it again."""
        draw = random.Random(f"kills-{self.seed}")

        def kill(over: threading.Event) -> None:
            while not over.wait(gap):
                node = draw.choice(self.nodes)
                node.kill()
                node.start()
                self.killed += 1

        return kill

    def stop_control(self, gap: float):
        """Return what stops control machines one after the other, and starts them again."""

        def stop(over: threading.Event) -> None:
            for machine in itertools.cycle(self.control):
                if over.wait(gap):
                    return
                machine.send(signal.SIGTERM)
                machine.process.wait()
                machine.start()

        return stop

    def late_arrivals(self) -> dict[tuple[str, str, bytes], int]:
        """Return how often each deadly request was begun later than ``CONTACT_SECONDS`` after its
        third crash."""
        late = {}
        for identity in {each.identity for each in self.journal.arrivals}:
            crashes = sorted(each.at for each in self.journal.crashes if each.identity == identity)
            if len(crashes) < 3:
                late[identity] = 0
                continue
            bound = crashes[2] + CONTACT_SECONDS
            arrivals = [each for each in self.journal.arrivals if each.identity == identity]
            late[identity] = sum(each.at > bound for each in arrivals)
        return late

    def report(self) -> str:
        """Return what was seen, as a line."""
        statuses: dict[int, int] = {}
        for each in self.repeats:
            statuses[each.answer.status] = statuses.get(each.answer.status, 0) + 1
        served = sum(each.answer.status == OK for each in self.others)
        late = {f"{key[0]} {key[1]}": count for key, count in self.late_arrivals().items()}
        return (
            f"{len(self.journal.crashes)} crashes by {len(self.journal.arrivals)} arrivals, late "
            f"{late}; answers to repeats {dict(sorted(statuses.items()))}; "
            f"others served {served} of {len(self.others)}; {self.killed} nodes killed"
        )

    def broken_promises(self) -> list[str]:
        """Return the promises to other callers that were broken."""
        broken = []
        for each in self.others:
            ran = self.journal.runs.get(each.request, 0)
            if each.kind == WRITE and ran > 1:
                broken.append(f"{each} ran {ran} times")
            if each.kind == WRITE and each.answer.status in NOT_RUN and ran:
                broken.append(f"{each} was refused as not run, and ran")
        return broken

    def quarantined(self) -> int:
        """Return how often nodes logged that they quarantined a request."""
        events = [event for node in self.nodes for event in node.events()]
        return sum(event.get("event") in QUARANTINED_EVENTS for event in events)

    def _ask_once(self, node: NodeMachine) -> Answer:
        headers = {
            "Host": HOST_NAME,
            "Limelever-Attempt-Id": f"aa{time.monotonic_ns() % 10**14:014d}",
            "Limelever-Deadline-Ms": str(DEADLINE_MS),
        }
        return ask(node.ip, OUTBOUND_PORT, "GET", f"/{READ}/once", None, headers)

    def _write_settings(self, first_start: bool) -> None:
        seeds = [machine.control for machine in self.control[:SEEDS]]
        for machine in self.machines:
            machine.write_settings(seeds, first_start)


def deadly(nodes: list[NodeMachine], kind: str, number: int, seed: int) -> Repeater:
    """Return callers of one deadly request."""
    body = b"" if kind == READ else _body(kind, number)
    return Repeater(nodes, kind, f"{DEADLY}-{number}", seed, body)


def sound(nodes: list[NodeMachine], kind: str, seed: int) -> Repeater:
    """Return callers of one sound request."""
    return Repeater(nodes, kind, "sound", seed)


def _body(kind: str, number: int) -> bytes:
    size = UPLOAD_BYTES if kind == UPLOAD else 40
    return random.Random(number).randbytes(size)
