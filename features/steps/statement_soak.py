"""The soak of kept connections with instances that state limits and leaves, and start again.

Each round a seed draws when each instance states a limit, another one or none, and when it leaves:
it goes on reporting that it is ready, ends some seconds later, and a new run takes its place.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections import defaultdict
from pathlib import Path

from journal_instances import Journal, JournalHandler, JournalInstance
from kept_callers import Exchange as KeptExchange
from kept_callers import KeptCallers
from kept_soak import KeptSoak, Size
from loopback_networks import LoopbackNetwork
from platform_machines import CONTROL_PORT, NodeMachine
from platform_traffic import HEARTBEAT_SECONDS, SLOTS, ask, heartbeat
from statement_audit import StatementAudit
from stating_instances import (
    INSTANCE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    Arrival,
    Exchange,
    Statement,
)
from strike_log import DISRUPTIONS

MISDIRECTED = 421
HIGHEST_LIMIT = 12.0
SHORTEST_STATEMENT_SECONDS, LONGEST_STATEMENT_SECONDS = 1.0, 8.0
SHORTEST_LEAVE_SECONDS, LONGEST_LEAVE_SECONDS = 3.0, 7.0
SHARE_OF_LEAVES, SHARE_OF_LIMITS = 0.2, 0.6


class Run:
    """One process of an instance, with an identifier of its own."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.statements = [Statement(0.0)]
        self.arrivals: list[Arrival] = []

    def state(self, limit: float | None = None, *, leaving: bool = False) -> None:
        self.statements.append(Statement(time.monotonic(), limit, leaving))


class StatingJournalInstance(JournalInstance):
    """The instance beside a node; one run after the other at the same address."""

    def __init__(self, machine: NodeMachine, journal: Journal) -> None:
        self._numbers = itertools.count(1)
        self.runs_so_far = [Run(f"i-{machine.name}-{next(self._numbers)}")]
        super().__init__(machine, journal)
        self.RequestHandlerClass = StatingJournalHandler

    @property
    def run(self) -> Run:
        return self.runs_so_far[-1]

    def renew(self) -> None:
        """End the run, and its work with it; another one begins at once."""
        former = self.run.name
        self.work.instance_ended(self.name)
        name = f"i-{self._machine.name}-{next(self._numbers)}"
        self.runs_so_far.append(Run(name))
        path = f"/v1/instances/{former}"
        ask(self._machine.ip, CONTROL_PORT, "DELETE", path, limit=1.0)

    def _report(self) -> None:
        for number in itertools.count(1):
            path = f"/v1/instances/{self.run.name}"
            body = heartbeat(self._machine, SLOTS, number)
            ask(self._machine.ip, CONTROL_PORT, "PUT", path, body, limit=1.0)
            if self._over.wait(HEARTBEAT_SECONDS):
                return


class StatingJournalHandler(JournalHandler):
    """Turns away what is meant for another run, and answers with what its run states."""

    def do_GET(self):  # noqa: N802
        self.run = self.server.run
        target = self.headers.get("Limelever-Target-Instance", self.run.name)
        request = self.headers.get("Limelever-Attempt-Id", "")
        if target != self.run.name:
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            self.send_response(MISDIRECTED)
            self.send_header("Limelever-Attempt-Id", request)
            self.send_header("Limelever-Not-Executed", "1")
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        if request:
            self.run.arrivals.append(Arrival(time.monotonic(), request))
            super().do_GET()
        else:
            self._answer_health()

    do_POST = do_GET  # noqa: N815

    def _answer_health(self):
        self.send_response(200)
        self.send_header("Limelever-Instance-Id", self.run.name)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def send_response(self, code, message=None):
        if self.run is not self.server.run:
            raise ConnectionAbortedError("the process of this run has ended")
        super().send_response(code, message)

    def end_headers(self):
        stated = self.run.statements[-1]
        self.send_header(INSTANCE_HEADER, self.run.name)
        if stated.limit is not None:
            self.send_header(LIMIT_HEADER, f"{stated.limit:.3f}")
        if stated.leaving:
            self.send_header(LEAVING_HEADER, "1")
        super().end_headers()


class StatementSoak(KeptSoak):
    """A soak of kept connections with instances that state limits and leaves."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork, size: Size) -> None:
        super().__init__(folder, seed, network, size)
        self.statements = self.leaves = self.limited_arrivals = 0

    def new_instance(self, node: NodeMachine):
        return StatingJournalInstance(node, self.journal)

    def run_round(self) -> None:
        """Run a round beside instances that state limits and leaves."""
        over = threading.Event()
        threads = [
            threading.Thread(target=self._play, args=(instance, self._draw(instance), over))
            for instance in self.instances
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
        """Judge the round's requests by what instances had stated."""
        strikes = defaultdict(list)
        for node in self.nodes:
            struck = self.strike_log.of(node.name, 0.0, time.monotonic())
            strikes[node.name] = [each.at for each in struck if each.what in DISRUPTIONS]
        runs = [run for instance in self.instances for run in instance.runs_so_far]
        exchanges = [_stated(each) for each in callers.ended if each.sent_at]
        audit = StatementAudit(runs, exchanges, strikes)
        self.limited_arrivals += sum(len(audit.counted(run)) for run in runs)
        self.more_broken += audit.over_limit() + audit.after_leave()

    def report(self) -> list[str]:
        return [
            *super().report(),
            f"{self.statements} statements, {self.leaves} leaves, {self.limited_arrivals} requests "
            "of nodes that had passed on a limit",
        ]

    def _draw(self, instance: StatingJournalInstance) -> random.Random:
        return random.Random(f"statements-{self.seed}-{self.rounds}-{instance.name}")

    def _play(
        self, instance: StatingJournalInstance, draw: random.Random, over: threading.Event
    ) -> None:
        while True:
            pause = draw.uniform(SHORTEST_STATEMENT_SECONDS, LONGEST_STATEMENT_SECONDS)
            if over.wait(pause):
                break
            self._change(instance, draw, over)
        if instance.run.statements[-1] != Statement(0.0):
            instance.renew()

    def _change(
        self, instance: StatingJournalInstance, draw: random.Random, over: threading.Event
    ) -> None:
        kind = draw.random()
        self.statements += 1
        if kind < SHARE_OF_LEAVES:
            self.leaves += 1
            instance.run.state(instance.run.statements[-1].limit, leaving=True)
            over.wait(draw.uniform(SHORTEST_LEAVE_SECONDS, LONGEST_LEAVE_SECONDS))
            instance.renew()
        elif kind < SHARE_OF_LEAVES + SHARE_OF_LIMITS:
            instance.run.state(draw.uniform(0.0, HIGHEST_LIMIT))
        else:
            instance.run.state()


def _stated(exchange: KeptExchange) -> Exchange:
    """Return a caller's exchange with what its answer stated."""
    headers = exchange.headers
    return Exchange(
        exchange.request,
        exchange.node,
        exchange.sent_at,
        exchange.ended_at,
        exchange.status,
        headers.get(INSTANCE_HEADER.lower(), ""),
        LIMIT_HEADER.lower() in headers,
        LEAVING_HEADER.lower() in headers,
    )
