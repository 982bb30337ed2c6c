"""One upgrade of a fleet that is started already, and its way back."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.publisher.events import SNAPSHOT_SENT
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.metrics import Sample
from limelever_lab.fleet.probe import LIVENESS_LIMIT_SECONDS, ProbedFleet
from limelever_lab.upgrade.drain_check import DrainCheck

KILL_EVERY = 3
"""After each so many replacements a process that isn't being replaced is killed."""
GROUP_LEVEL = "limelever_group_feature_level"
EVENTS_TOTAL = "limelever_events_total"

Say = Callable[[str], None]


@dataclass(slots=True)
class UpgradeResult:
    """What the replacements came to; ``broken`` tells each promise that did not hold.

    ``starts`` counts starts of readers, each of which may cost a snapshot; ``snapshots`` those that
    publishers of this build sent, as earlier ones don't count them.
    """

    replaced: int = 0
    kills: int = 0
    changes: int = 0
    answered: int = 0
    starts: int = 0
    snapshots: int = 0
    broken: list[str] = field(default_factory=list)


class Upgrade:
    """Replaces every process of the system in turn: sources, relays, proxies, agents."""

    def __init__(self, fleet: ProbedFleet, seed: int, say: Say) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._say = say
        self._counted: dict[str, int] = {}
        self.result = UpgradeResult()

    def run(self, code: Path | None, readers_only: bool = False) -> UpgradeResult:
        """Replace all by the build whose modules lie in ``code``, under calls and changes.

        Once a drain was ordered, the sources' folders are refused by a build that reads no drains:
        ``readers_only`` leaves the sources as they are.
        """
        fleet = self._fleet.fleet
        readers = [*fleet.relays, *fleet.proxies, *fleet.agents]
        return self._under_calls(
            lambda: self._replace_all(readers if readers_only else fleet.members, code)
        )

    def drain(self) -> UpgradeResult:
        """Drain a zone, see that it is followed, and withdraw the drain, under calls."""
        return self._under_calls(self._drain)

    def _under_calls(self, action: Callable[[], None]) -> UpgradeResult:
        self._fleet.begin_calls()
        try:
            action()
        except (TimeoutError, RuntimeError) as error:
            self.result.broken.append(str(error))
        self._check_calls()
        return self.result

    def _replace_all(self, members: list[Member], code: Path | None) -> None:
        last_source = self._fleet.fleet.sources[-1]
        for member in members:
            if code is None and member is last_source:
                self._expect_unavailable(member)
            self._replace(member, code)
        self._check_level(code)

    def _expect_unavailable(self, earlier: Member) -> None:
        """With one source of the earlier build left, not the leader, a drain must be refused."""
        if self._fleet.fleet.leader() is earlier:
            self._say(f"{earlier.name}: kill -9, as it leads")
            self._count_snapshots(earlier)
            earlier.kill()
            self._change()
            self._start(earlier)
            self.result.kills += 1
        DrainCheck(self._fleet).expect_unavailable()
        self._say("a drain is refused as not available")

    def _drain(self) -> None:
        runs = DrainCheck(self._fleet).run()
        self._say(f"a drain was followed, {runs} calls ran in the other zones, and withdrawn")

    def _replace(self, member: Member, code: Path | None) -> None:
        planned = self._random.random() < 0.5
        self._say(f"{member.name}: {'planned stop' if planned else 'kill'}, other build")
        self._count_snapshots(member)
        if planned:
            status = member.stop()
            if status != 0:
                raise RuntimeError(f"{member.name} ended a planned stop with status {status}")
        else:
            member.kill()
        member.process.code = code
        self._start(member)
        self.result.replaced += 1
        if self.result.replaced % KILL_EVERY == 0:
            self._kill_another(member)
        self._change()

    def _kill_another(self, replaced: Member) -> None:
        others = [member for member in self._fleet.fleet.members if member is not replaced]
        struck = self._random.choice(others)
        self._say(f"{struck.name}: kill -9")
        self._count_snapshots(struck)
        struck.kill()
        self._change()
        self._start(struck)
        self.result.kills += 1

    def _start(self, member: Member) -> None:
        self._counted.pop(member.name, None)
        member.restart()
        self._fleet.wait_whole()
        self.result.starts += member not in self._fleet.fleet.sources

    def _change(self) -> None:
        """Have a change accepted, and in force at every reader that runs."""
        version = self._fleet.changes.apply()
        self.result.changes += 1
        readers = [*self._fleet.fleet.proxies, *self._fleet.fleet.agents]
        running = [reader for reader in readers if reader.process.running]
        self._fleet.fleet.wait_versions(running, version, LIVENESS_LIMIT_SECONDS)

    def _check_level(self, code: Path | None) -> None:
        """With all members of the group replaced by this build, its level has risen."""
        if code is not None:
            return
        sources = self._fleet.fleet.sources
        wait_until(
            lambda: all(group_level(member.samples()) == CURRENT_LEVEL for member in sources),
            LIVENESS_LIMIT_SECONDS,
            "the group's feature level rises",
        )

    def _count_snapshots(self, ending: Member | None = None) -> None:
        """Add what publishers have counted since the last time; their counts end with them."""
        publishers = [*self._fleet.fleet.sources, *self._fleet.fleet.relays]
        for publisher in publishers if ending is None else [ending]:
            now = snapshots_sent(publisher.samples())
            self.result.snapshots += max(0, now - self._counted.get(publisher.name, 0))
            self._counted[publisher.name] = now

    def _check_calls(self) -> None:
        self._count_snapshots()
        outcome = self._fleet.end_calls()
        self.result.answered += outcome.answered
        if not outcome.audit.holds:
            self.result.broken.append(f"calls: {outcome.audit}")
        if outcome.reversions:
            self.result.broken.append(f"versions went back: {outcome.reversions}")
        if not outcome.answered:
            self.result.broken.append("no call was answered")
        held, last = self._fleet.changes.held_weight(), self._fleet.changes.last_weight
        if held != last:
            self.result.broken.append(f"the source holds change {held} of {last}")
        starts, snapshots = self.result.starts, self.result.snapshots
        if snapshots > starts:
            self.result.broken.append(f"{snapshots} snapshots were sent for {starts} starts")


def group_level(samples: list[Sample]) -> int | None:
    """Return the feature level that a source publishes; ``None`` when it publishes none."""
    return next((int(s.value) for s in samples if s.name == GROUP_LEVEL), None)


def snapshots_sent(samples: list[Sample]) -> int:
    """Return how many snapshots a publisher has sent since it started."""
    label = ("code", str(SNAPSHOT_SENT))
    return sum(int(s.value) for s in samples if s.name == EVENTS_TOTAL and label in s.labels)
