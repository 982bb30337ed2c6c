"""A late heartbeat brings an instance back that had said it goes, once its node has restarted."""

from __future__ import annotations

import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from core_machines import Core, Operator, Record  # noqa: E402
from nodes import Client, Instance, add_nodes, wait_until  # noqa: E402

DRAIN_SECONDS = 2.0
"""``drainMs``."""

CONTACT_SECONDS = 3.0
"""``contactMs``."""

LATE_SECONDS = 2.5
"""How late the heartbeat is."""

HELD, BROKEN, UNFIT = 0, 1, 2
CLIENTS = 6


class Case:
    """One run of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.core = Core(record)
        self.operator = Operator(record)
        self.nodes = add_nodes(self.core, 3)
        self.instances = [Instance(node, record, work_seconds=0.3) for node in self.nodes]

    def run(self, *, trouble: bool) -> int:
        """Play it; return the exit status."""
        self.core.start()
        for node in self.nodes:
            node.write(self.core.seeds, first_start=True)
            node.start()
        if not self.operator.change(self.core.machines, 25.0):
            return UNFIT
        if not wait_until(lambda: all(node.is_ready() for node in self.nodes), 20.0):
            return UNFIT
        for instance in self.instances:
            instance.begin_heartbeats()
        time.sleep(4.0)
        clients = [Client(self.nodes[0], self.record, f"c{n}") for n in range(CLIENTS)]
        self.send(clients, 1.0)
        leaving = self.instances[2]
        if not leaving.reached:
            self.record.note("no request reached the instance while it took work")
            return UNFIT
        return self.go(leaving, clients, trouble=trouble)

    def go(self, leaving: Instance, clients: list[Client], *, trouble: bool) -> int:
        """Let the instance go, its node restart and a heartbeat come late; judge what follows."""
        machine = leaving.machine
        late = leaving.heartbeat()
        composed_at = self.record.note(f"{leaving.identifier} sends a heartbeat, which is late")
        time.sleep(0.2)
        status = leaving.leave()
        gone_at = self.record.note(f"{leaving.identifier} says DELETE to {machine.name}: {status}")
        if status != 200:
            return UNFIT
        time.sleep(0.3)
        if trouble:
            machine.kill()
            self.record.note(f"{machine.name} is killed")
            time.sleep(0.5)
            machine.write(self.core.seeds, first_start=False)
            machine.start()
        started_at = self.record.note(f"{machine.name} runs")
        if not wait_until(machine.is_ready, 15.0):
            return UNFIT
        self.record.note(f"{machine.name} is ready")
        if trouble:
            time.sleep(max(0.0, composed_at + LATE_SECONDS - time.monotonic()))
            status = leaving.send(late)
            seconds = time.monotonic() - composed_at
            self.record.note(f"the heartbeat arrives {seconds:.1f} s late: {status}")
        in_touch_at = max(started_at + CONTACT_SECONDS, gone_at + DRAIN_SECONDS) + 0.2
        time.sleep(max(0.0, in_touch_at - time.monotonic()))
        judged_from = self.record.note("all machines are in touch")
        threads = self.begin(clients, 3.0)
        time.sleep(2.5)
        leaving.end()
        self.record.note(f"{leaving.identifier} ends")
        for thread in threads:
            thread.join()
        return self.judge(leaving, clients, gone_at, judged_from)

    def judge(
        self, leaving: Instance, clients: list[Client], gone_at: float, judged_from: float
    ) -> int:
        """Count the requests that reached the instance though it was acknowledged as gone."""
        sent = {each.request: each for client in clients for each in client.answers}
        wrong = [
            (at, request)
            for at, request in leaving.reached
            if at > gone_at + DRAIN_SECONDS and sent[request].sent_at >= judged_from
        ]
        for at, request in wrong:
            self.record.note(
                f"BROKEN: {request} reached {leaving.identifier} {at - gone_at:.2f} s after the "
                f"acknowledgement, and ended with {sent[request].status}"
            )
        lost = [request for _, request in wrong if sent[request].status != 200]
        self.record.note(
            f"{len(wrong)} requests reached it, {len(lost)} of them got no answer of it"
        )
        return BROKEN if wrong else HELD

    def begin(self, clients: list[Client], seconds: float) -> list[threading.Thread]:
        """Let the clients send for some seconds."""
        until = time.monotonic() + seconds

        def send(client: Client) -> None:
            while time.monotonic() < until:
                client.ask()
                time.sleep(0.05)

        threads = [threading.Thread(target=send, args=(client,)) for client in clients]
        for thread in threads:
            thread.start()
        return threads

    def send(self, clients: list[Client], seconds: float) -> None:
        """Let the clients send for some seconds and wait for the end of it."""
        for thread in self.begin(clients, seconds):
            thread.join()

    def close(self) -> None:
        """End everything."""
        self.core.close()
        for instance in self.instances:
            instance.end()


def main() -> int:
    """Run the case and say how it ended."""
    record = Record(HERE / "record.txt")
    case = Case(record)
    try:
        status = case.run(trouble=os.environ.get("TROUBLE", "1") != "0")
    finally:
        case.close()
    words = {HELD: "the rule held", BROKEN: "DRAIN is broken", UNFIT: "the case couldn't run"}
    record.note(words[status])
    print(words[status])
    return status


if __name__ == "__main__":
    sys.exit(main())
