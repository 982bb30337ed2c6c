"""The soak of kept connections with instances that end under some requests.

Each round a seed draws some deadly requests, which callers repeat at nodes drawn at random while
machines are stopped, killed, paused and started, and instances that end by themselves.
"""

from __future__ import annotations

import random
import threading
from pathlib import Path

from crashing_instances import DEADLY, CrashingInstance, CrashJournal, crash_under
from deadly_fleet import ALLOWED_LATE, CONTACT_SECONDS, KINDS, Repeat, Repeater
from journal_instances import Journal, JournalHandler
from kept_soak import KeptSoak, Size
from loopback_networks import LoopbackNetwork
from platform_machines import NodeMachine
from platform_traffic import READ

MOST_DEADLY = 3
BODY_BYTES = 3000
SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS = 2.0, 10.0
"""Between two instances that end by themselves."""


class DeadlyJournalHandler(JournalHandler):
    """One request; a deadly one ends the process."""

    def do_GET(self):  # noqa: N802
        if DEADLY in self.path:
            crash_under(self, self.rfile.read(int(self.headers.get("Content-Length") or 0)))
        else:
            super().do_GET()

    do_POST = do_GET  # noqa: N815


class DeadlyJournalInstance(CrashingInstance):
    """An instance that keeps a journal of its work, and ends under some requests."""

    def __init__(self, machine: NodeMachine, crashes: CrashJournal, work: Journal) -> None:
        super().__init__(machine, crashes, DeadlyJournalHandler, work)

    def crash(self, life=None) -> bool:
        self.work.instance_ended(self.machine.name)
        return super().crash(life)


class DeadlySoak(KeptSoak):
    """A soak of kept connections with deadly requests."""

    def __init__(self, folder: Path, seed: int, network: LoopbackNetwork, size: Size) -> None:
        self.crashes = CrashJournal()
        super().__init__(folder, seed, network, size)
        self._comings: dict[str, Repeat] = {}
        self._by_themselves = 0

    def new_instance(self, node: NodeMachine):
        return DeadlyJournalInstance(node, self.crashes, self.journal)

    def run_round(self) -> None:
        """Run a round beside deadly requests and instances that end by themselves."""
        draw = random.Random(f"deadly-{self.seed}-{self.rounds}")
        repeaters = [self._deadly(draw, number) for number in range(draw.randint(1, MOST_DEADLY))]
        over = threading.Event()
        crashes = threading.Thread(target=self._crash_by_themselves, args=(draw, over))
        crashes.start()
        try:
            super().run_round()
        finally:
            over.set()
            crashes.join()
            for each in repeaters:
                each.stop()
                self._comings.update({coming.request: coming for coming in each.ended})
        self.more_broken += self._late_arrivals()

    def report(self) -> list[str]:
        deadly = {each.identity for each in self.crashes.arrivals}
        ended, arrivals = len(self.crashes.crashes), len(self.crashes.arrivals)
        return [
            *super().report(),
            f"{len(deadly)} deadly requests came {len(self._comings)} times, began {arrivals} "
            f"times and ended {ended} processes; {self._by_themselves} more ended by themselves",
        ]

    def _deadly(self, draw: random.Random, number: int) -> Repeater:
        kind = draw.choice(sorted(KINDS))
        name = f"{DEADLY}-{self.rounds}-{number}/0"
        body = b"" if kind == READ else draw.randbytes(BODY_BYTES)
        return Repeater(self.nodes, kind, name, self.seed, body)

    def _crash_by_themselves(self, draw: random.Random, over: threading.Event) -> None:
        while not over.wait(draw.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS)):
            self._by_themselves += draw.choice(self.instances).crash()

    def _late_arrivals(self) -> list[str]:
        """Return what calm nodes passed on too often after its third crash."""
        broken = []
        for identity in {each.identity for each in self.crashes.arrivals}:
            crashes = sorted(c.at for c in self.crashes.crashes if c.identity == identity)
            if len(crashes) < 3:
                continue
            late = [
                (round(each.at - crashes[2], 3), self._comings[each.request].node)
                for each in self.crashes.arrivals
                if each.identity == identity
                and each.at > crashes[2] + CONTACT_SECONDS
                and self._is_calm(each.request, each.at)
            ]
            if len(late) > ALLOWED_LATE:
                told = f"{identity[0]} {identity[1]}: {len(crashes)} crashes, late {late}"
                broken.append(f"a deadly request reached instances again and again: {told}")
        return broken

    def _is_calm(self, request: str, at: float) -> bool:
        coming = self._comings.get(request)
        if coming is None:
            return False
        return not self.strike_log.disrupted(coming.node, at - CONTACT_SECONDS, at)
