"""Callers that keep their connections while these are open, and note how each request ended."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, field

from journal_instances import MILLISECONDS, answer_to
from kept_connection import CLOSED, RESET, WHOLE, KeptConnection, Reply
from platform_machines import OUTBOUND_PORT, NodeMachine
from platform_traffic import HOST_NAME, READ, WRITE, is_ready

UPLOAD = "upload"
UNSENT = "unsent"
"""The end of a request whose bytes the connection didn't take."""

SHORT_DEADLINE_MS, LONG_DEADLINE_MS = 1500, 8000
"""The longer one is longer than a stop takes."""

PATIENCE_SECONDS = 2.0
"""Beyond the deadlines of a request and those before it: then the caller closes the connection."""

SEND_SECONDS = 2.0
LEAST_BODY_BYTES, MOST_BODY_BYTES = 20_000, 200_000
MOST_PIPELINED = 3
USUAL_WORK_MS, LONG_WORK_MS = 20, 5500
SHARES_OF_LONG_WORK = {False: (0.05, 0.4), True: (0.4, 0.9)}
"""By whether a round is overloaded: of requests of callers that aren't patient and those that are.
Overloaded, more work comes than the instances have slots for, and requests wait at the nodes."""

SHARE_OF_OVERLOAD = 0.5
SMALL_BODY = b"{}"
SHARE_TO_ANY_NODE = 0.1
SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS = 0.02, 0.3
NODES_AT_FULL_PACE = 8
"""With more nodes each caller sends less often, so that the callers' own process keeps up."""

PLAIN, PIPELINING, UPLOADING, PATIENT = "plain", "pipelining", "uploading", "patient"
HABITS = (PLAIN, PIPELINING, UPLOADING, PATIENT)


@dataclass(slots=True)
class Exchange:
    """A request on a kept connection, and how it ended; times are monotonic seconds."""

    request: str
    kind: str
    node: str
    port: int
    opened_at: float
    deadline_ms: int
    work_ms: int
    body: bytes = field(repr=False)
    behind: int = 0
    sent_at: float = 0.0
    first_in_line_at: float = 0.0
    ended_at: float = 0.0
    end: str = UNSENT
    received: int = 0
    status: int = 0
    is_own: bool = True
    headers: dict[str, str] = field(default_factory=dict, repr=False)

    @property
    def path(self) -> str:
        return f"/{self.kind}/{self.request}/{self.work_ms}"

    def bytes(self) -> bytes:
        method = "GET" if self.kind == READ else "POST"
        length = "" if self.kind == READ else f"Content-Length: {len(self.body)}\r\n"
        head = (
            f"{method} {self.path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Limelever-Attempt-Id: {self.request}\r\n"
            f"Limelever-Deadline-Ms: {self.deadline_ms}\r\n{length}\r\n"
        )
        return head.encode() + self.body

    def take(self, reply: Reply) -> None:
        self.ended_at = time.monotonic()
        self.end, self.received, self.status = reply.end, reply.received, reply.status
        self.headers = reply.headers
        if reply.end == WHOLE and reply.status == 200:
            self.is_own = reply.body == answer_to(self.request, self.body)


class KeptCallers:
    """Threads, some for each node, each with one connection that it keeps."""

    def __init__(self, nodes: list[NodeMachine], for_each: int, seed: int, round_: int) -> None:
        self._overloaded = random.Random(f"load-{seed}-{round_}").random() < SHARE_OF_OVERLOAD
        print(f"overloaded: {self._overloaded}", flush=True)
        self.ended: list[Exchange] = []
        self.unasked: list[str] = []
        self.connections = 0
        self._nodes, self._round = nodes, round_
        self._slower = max(1.0, len(nodes) / NODES_AT_FULL_PACE)
        self._over = threading.Event()
        homes = [node for node in nodes for _ in range(for_each)]
        self._threads = [
            threading.Thread(target=self._run, args=(home, number, f"{seed}-{round_}-{number}"))
            for number, home in enumerate(homes)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let each caller read its last answers, and end."""
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, home: NodeMachine, number: int, seed: str) -> None:
        draw = random.Random(seed)
        habit = HABITS[number % len(HABITS)]
        long_share = SHARES_OF_LONG_WORK[self._overloaded][habit == PATIENT]
        caller = Caller(draw, habit, f"{self._round:02x}{number:04x}", long_share)
        while not self._over.is_set():
            node = self._target(home, draw)
            try:
                connection = KeptConnection(node.ip, OUTBOUND_PORT)
            except OSError:
                self._over.wait(SHORTEST_PAUSE_SECONDS)
                continue
            self.connections += 1
            try:
                self._keep(caller, connection, node)
            finally:
                connection.close()

    def _target(self, home: NodeMachine, draw: random.Random) -> NodeMachine:
        """Return the caller's own node if it is ready, another ready one, or at times any."""
        to_any, other = draw.random() < SHARE_TO_ANY_NODE, draw.choice(self._nodes)
        if to_any:
            return other
        return home if is_ready(home) or not is_ready(other) else other

    def _keep(self, caller: Caller, connection: KeptConnection, node: NodeMachine) -> None:
        while not self._over.wait(caller.pause() * self._slower):
            seen = connection.idle()
            if seen:
                if seen not in (CLOSED, RESET):
                    self.unasked.append(f"{node.name} sent {seen} at {time.monotonic():.3f}")
                return
            exchanges = caller.next(node, connection)
            kept_open = exchange_all(connection, exchanges)
            self.ended += exchanges
            if not kept_open:
                return


class Caller:
    """Draws what one caller sends."""

    def __init__(self, draw: random.Random, habit: str, prefix: str, long_share: float) -> None:
        self._draw, self._habit, self._prefix = draw, habit, prefix
        self._long_share = long_share
        self._count = 0

    def pause(self) -> float:
        return self._draw.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)

    def next(self, node: NodeMachine, connection: KeptConnection) -> list[Exchange]:
        """Return what is sent next, at once: one request, or some that may run again."""
        count = self._draw.randint(2, MOST_PIPELINED) if self._habit == PIPELINING else 1
        return [self._one(node, connection, behind) for behind in range(count)]

    def _one(self, node: NodeMachine, connection: KeptConnection, behind: int) -> Exchange:
        draw, habit = self._draw, self._habit
        kind = {PIPELINING: READ, UPLOADING: UPLOAD}.get(habit) or draw.choice((READ, WRITE))
        is_patient = habit == PATIENT or draw.random() < 0.5
        work = USUAL_WORK_MS
        if draw.random() < self._long_share:
            work = draw.randint(USUAL_WORK_MS, LONG_WORK_MS)
        self._count += 1
        return Exchange(
            request=f"{self._prefix}{self._count:010x}",
            kind=kind,
            node=node.name,
            port=connection.port,
            opened_at=connection.opened_at,
            deadline_ms=LONG_DEADLINE_MS if is_patient else SHORT_DEADLINE_MS,
            work_ms=work,
            body=self._body(kind),
            behind=behind,
        )

    def _body(self, kind: str) -> bytes:
        if kind == READ:
            return b""
        if kind == WRITE:
            return SMALL_BODY
        return self._draw.randbytes(self._draw.randint(LEAST_BODY_BYTES, MOST_BODY_BYTES))


def exchange_all(connection: KeptConnection, exchanges: list[Exchange]) -> bool:
    """Send requests at once and read their answers; return whether the connection may be kept.

    Of those that the connection didn't take whole, only what was answered all the same is noted.
    """
    was_sent = connection.send(b"".join(each.bytes() for each in exchanges), SEND_SECONDS)
    sent_at = time.monotonic()
    for each in exchanges:
        each.sent_at = sent_at if was_sent else 0.0
    kept_open, longest_ms = was_sent, 0
    for each in exchanges:
        longest_ms = max(longest_ms, each.deadline_ms)
        if not kept_open and each.behind:
            each.ended_at, each.end = time.monotonic(), CLOSED if was_sent else UNSENT
            continue
        each.first_in_line_at = time.monotonic()
        reply = connection.read(sent_at + longest_ms / MILLISECONDS + PATIENCE_SECONDS)
        if was_sent or reply.end == WHOLE:
            each.take(reply)
        kept_open = kept_open and reply.end == WHOLE and not reply.closes
    for each in exchanges:
        each.body = b""
    return kept_open
