"""A soak of kept connections with instances that leave in all ways, and serve on for seconds."""

from __future__ import annotations

import itertools
import random
import threading
import time
from dataclasses import dataclass, field

from arrival_times import ArrivalTimes, TimedArrival
from journal_instances import Journal, JournalHandler, JournalInstance
from kept_callers import KeptCallers
from kept_soak import KeptSoak, Size
from leave_audit import LeaveAudit, LeavingRun
from leaving_instances import DRAINING, ENDED
from loopback_networks import LoopbackNetwork
from pause_record import PauseRecord
from platform_machines import CONTROL_PORT, Machine, NodeMachine
from platform_traffic import HEARTBEAT_SECONDS, OK, SLOTS, ask, heartbeat, is_ready
from stating_instances import HEALTH_PATH
from strike_log import KILL, PAUSE, STOP

MISDIRECTED, UNHEALTHY = 421, 503
ANSWER_SECONDS = 1.0
SHORTEST_READY_SECONDS, LONGEST_READY_SECONDS = 1.0, 5.0
SHORTEST_LEAVE_SECONDS, LONGEST_LEAVE_SECONDS = 5.0, 12.0
LONGEST_LATE_SECONDS = 6.0
SHARE_OF_LATE_REPORTS = 0.3
SHARE_OF_FALSE_HEALTH = 0.5
SHARE_THAT_REPORT_ON = 0.5
SHARE_THAT_LEAVE_BEFORE_STRIKES = 0.7
LARGEST_PART_LEAVING = 0.5


@dataclass
class LeavingState:
    """How the current run of an instance leaves; ``healthy`` is what its health responses say."""

    run: LeavingRun
    healthy: bool = True
    reports: bool = True
    state: str = "ready"
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))


class LeavingJournalInstance(JournalInstance):
    """The instance beside a node; one run after the other at the same address."""

    def __init__(self, machine: NodeMachine, journal: Journal, seed: int) -> None:
        self._draw = random.Random(f"reports-{seed}-{machine.name}")
        self._runs = itertools.count(1)
        self.runs_so_far: list[LeavingRun] = []
        self.current = self._next_run(machine)
        super().__init__(machine, journal)
        self.RequestHandlerClass = LeavingJournalHandler

    def _next_run(self, machine: NodeMachine) -> LeavingState:
        run = LeavingRun(f"i-{machine.name}-{next(self._runs)}", machine.name)
        self.runs_so_far.append(run)
        return LeavingState(run)

    def renew(self) -> None:
        """End the run, and its work with it; another one begins at once."""
        former = self.current
        self.work.instance_ended(self.name)
        self.current = self._next_run(self._machine)
        if former.run.how == DRAINING:
            self._call("DELETE", former.run.name, None)

    def leave(self, how: str, draw: random.Random) -> None:
        """Say that the run leaves, until that is acknowledged."""
        leaving = self.current
        leaving.run.how = how
        leaving.healthy = draw.random() < SHARE_OF_FALSE_HEALTH
        leaving.reports = how == DRAINING and draw.random() < SHARE_THAT_REPORT_ON
        leaving.state = DRAINING
        late = self._body(leaving, "ready")
        leaving.run.node_was_ready = is_ready(self._machine)
        leaving.run.said_at = time.monotonic()
        body = self._body(leaving, DRAINING) if how == DRAINING else None
        status = self._call("PUT" if body else "DELETE", leaving.run.name, body)
        if status == OK:
            leaving.run.acknowledged_at = time.monotonic()
        self._send_late(leaving.run.name, late, draw.uniform(0.0, LONGEST_LATE_SECONDS))
        self._send_late(leaving.run.name, late, draw.uniform(0.0, LONGEST_LATE_SECONDS))

    def _report(self) -> None:
        while not self._over.wait(HEARTBEAT_SECONDS):
            current = self.current
            if not current.reports:
                continue
            body = self._body(current, current.state)
            if current.state != DRAINING and self._draw.random() < SHARE_OF_LATE_REPORTS:
                delay = self._draw.uniform(0.0, LONGEST_LATE_SECONDS)
                self._send_late(current.run.name, body, delay)
            elif self._call("PUT", current.run.name, body) == OK and current.state == DRAINING:
                current.run.acknowledged_at = current.run.acknowledged_at or time.monotonic()

    def _send_late(self, run: str, body: bytes, delay: float) -> None:
        timer = threading.Timer(delay, self._call, ("PUT", run, body))
        timer.daemon = True
        timer.start()

    def _body(self, current: LeavingState, state: str) -> bytes:
        return heartbeat(self._machine, SLOTS, next(current.numbers), state=state)

    def _call(self, method: str, run: str, body: bytes | None) -> int:
        path = f"/v1/instances/{run}"
        return ask(self._machine.ip, CONTROL_PORT, method, path, body, limit=ANSWER_SECONDS).status


class LeavingJournalHandler(JournalHandler):
    """Turns away what is meant for another run; health responses may be wrong."""

    def setup(self):
        self.times = ArrivalTimes(time.monotonic())
        super().setup()

    def parse_request(self):
        self.times = ArrivalTimes(self.times.accepted_at)
        self.times.first_line_read(self.connection)
        return super().parse_request()

    def read_body(self):
        body = super().read_body()
        self.times.last_byte_at = time.monotonic()
        return body

    def do_GET(self):  # noqa: N802
        self.current = self.server.current
        name = self.current.run.name
        request = self.headers.get("Limelever-Attempt-Id", "")
        if self.path == HEALTH_PATH:
            self.refuse(OK if self.current.healthy else UNHEALTHY, name)
        elif self.headers.get("Limelever-Target-Instance", name) != name:
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            self.refuse(MISDIRECTED, name, request)
        else:
            arrival = TimedArrival(time.monotonic(), request, self.times)
            self.current.run.arrivals.append(arrival)
            super().do_GET()

    do_POST = do_GET  # noqa: N815

    def refuse(self, status: int, name: str, request: str = "") -> None:
        self.send_response(status)
        self.send_header("Limelever-Instance-Id", name)
        if request:
            self.send_header("Limelever-Attempt-Id", request)
            self.send_header("Limelever-Not-Executed", "1")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def send_response(self, code, message=None):
        if self.current is not self.server.current:
            raise ConnectionAbortedError("the process of this run has ended")
        super().send_response(code, message)


class LeaveSoak(KeptSoak):
    """A soak of kept connections with instances that leave."""

    def __init__(self, folder, seed: int, network: LoopbackNetwork, size: Size) -> None:
        super().__init__(folder, seed, network, size)
        self._leaving: set[str] = set()
        self._lock = threading.Lock()
        self._strike_draw = random.Random(f"leaves-before-strikes-{seed}")
        self.strike_log.before_strike = self._leave_before_strike
        self.leaves = self.acknowledged = self.struck = 0
        self.pauses = PauseRecord()

    def start(self) -> None:
        self.pauses.start()
        super().start()

    def close(self) -> None:
        self.pauses.stop()
        super().close()

    def new_instance(self, node: NodeMachine):
        return LeavingJournalInstance(node, self.journal, self.seed)

    def run_round(self) -> None:
        """Run a round beside instances that leave."""
        over = threading.Event()
        threads = [
            threading.Thread(target=self._play, args=(each, over)) for each in self.instances
        ]
        for thread in threads:
            thread.start()
        try:
            super().run_round()
        finally:
            over.set()
            for thread in threads:
                thread.join()

    def callers_stopped(self, callers: KeptCallers) -> None:
        """Judge the round's requests by the leaves that were acknowledged."""
        runs = [run for instance in self.instances for run in instance.runs_so_far]
        left = [run for run in runs if run.said_at is not None]
        homes = {each.request: each.node for each in callers.ended}
        audit = LeaveAudit(left, homes, self.strike_log, self.pauses)
        self.leaves = len(left)
        self.acknowledged = sum(run.acknowledged_at is not None for run in left)
        self.struck = sum(audit.was_struck(run) for run in left)
        self.more_broken += audit.arrived_late() + audit.not_acknowledged()

    def report(self) -> list[str]:
        return [
            *super().report(),
            f"{self.leaves} leaves, {self.acknowledged} acknowledged, the node of {self.struck} "
            "was struck while the instance served on",
            f"the test process stood still: {', '.join(map(str, self.pauses.pauses)) or 'never'}",
        ]

    def _play(self, instance: LeavingJournalInstance, over: threading.Event) -> None:
        draw = random.Random(f"leaves-{self.seed}-{self.rounds}-{instance.name}")
        while not over.wait(draw.uniform(SHORTEST_READY_SECONDS, LONGEST_READY_SECONDS)):
            if self._may_leave(instance.name):
                instance.leave(draw.choice((DRAINING, ENDED)), draw)
                over.wait(draw.uniform(SHORTEST_LEAVE_SECONDS, LONGEST_LEAVE_SECONDS))
                self._renew(instance)

    def _leave_before_strike(self, machine: Machine, what: str) -> None:
        """Let an instance leave right before its node is struck, and serve on for seconds."""
        draw = self._strike_draw
        if what not in (KILL, STOP, PAUSE) or draw.random() > SHARE_THAT_LEAVE_BEFORE_STRIKES:
            return
        found = [each for each in self.instances if each.name == machine.name]
        if not found or not self._may_leave(machine.name):
            return
        found[0].leave(draw.choice((DRAINING, ENDED)), draw)
        seconds = draw.uniform(SHORTEST_LEAVE_SECONDS, LONGEST_LEAVE_SECONDS)
        timer = threading.Timer(seconds, self._renew, (found[0],))
        timer.daemon = True
        timer.start()

    def _renew(self, instance: LeavingJournalInstance) -> None:
        instance.renew()
        with self._lock:
            self._leaving.discard(instance.name)

    def _may_leave(self, name: str) -> bool:
        """Let some instances of the service stay, so that there is one to serve."""
        with self._lock:
            largest = len(self.instances) * LARGEST_PART_LEAVING
            if name in self._leaving or len(self._leaving) + 1 > largest:
                return False
            self._leaving.add(name)
            return True
