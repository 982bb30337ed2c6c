"""A late heartbeat brings an instance back that had said it goes, once its node has restarted."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from core_machines import Record  # noqa: E402
from nodes import Client, Deployment, Instance, send_for, wait_until  # noqa: E402
from runs import BROKEN, HELD, UNFIT, run_case  # noqa: E402

DRAIN_SECONDS = 2.0
"""``drainMs``."""

CONTACT_SECONDS = 3.0
"""``contactMs``."""

LATE_SECONDS = 2.5
"""How late the heartbeat is."""

CLIENTS = 6
WORK_SECONDS = 0.3


class Case:
    """One run of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, 3, WORK_SECONDS)

    def run(self, *, trouble: bool) -> int:
        """Play it; return the exit status."""
        if not self.deployment.begin():
            return UNFIT
        node = self.deployment.nodes[0]
        clients = [Client(node, self.record, f"c{n}") for n in range(CLIENTS)]
        for thread in send_for(clients, 1.0):
            thread.join()
        leaving = self.deployment.instances[2]
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
            machine.write(self.deployment.core.seeds, first_start=False)
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
        threads = send_for(clients, 3.0)
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

    def close(self) -> None:
        """End everything."""
        self.deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, "DRAIN", Case))
