"""Recovery: a replica lost, repaired, a second lost; readers hundreds of versions behind."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass

from limelever.common.errors import Failure
from limelever_lab.bench.baseline_fleet import BaselineFleet
from limelever_lab.bench.hollow_fleet import HollowFleet, ReconnectMeter, relay_addresses
from limelever_lab.bench.quantiles import MILLISECONDS, Quantiles
from limelever_lab.bench.results import Ratio
from limelever_lab.bench.testbed import Testbed, durations, wait_for
from limelever_lab.bench.write_probe import ProbedWrite, WriteProbe
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.fleet.member import Member

READERS = 100
MISSED_CHANGES = 400
REST_SECONDS = 3.0
REPAIR_LIMIT_SECONDS = 60.0
CATCH_UP_LIMIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Moment:
    """Something that was done or seen, in seconds from the start of the course."""

    at: float
    what: str


@dataclass(frozen=True, slots=True)
class WritePoint:
    """A write: begun at ``at`` seconds, answered after ``answered_ms``, everywhere ``in_force_ms``
    after acceptance; ``None`` when it failed or some reader did not get it.
    """

    at: float
    answered_ms: float
    in_force_ms: float | None
    failure: str


@dataclass(frozen=True, slots=True)
class CatchUp:
    """Readers that come back ``behind`` versions late: time and subscription bytes of each."""

    what: str
    behind: int
    readers: int
    back: Quantiles
    missing: int
    reader_bytes: float


@dataclass(frozen=True, slots=True)
class RecoveryDetails:
    """The course of losses with its writes, and the readers that were behind."""

    moments: tuple[Moment, ...]
    writes: tuple[WritePoint, ...]
    repair_seconds: float
    longest_write_ms: dict[str, float]
    failed_writes: int
    versions_out_of_order: int
    catch_up: tuple[CatchUp, ...]


class ReplicaLosses:
    """The course: rest, a follower and its disk lost, repaired, the leader lost, back, rest."""

    def __init__(self, testbed: Testbed) -> None:
        self._testbed = testbed
        self._started = time.monotonic()
        self.moments: list[Moment] = []
        self.repair_seconds = 0.0

    def run(self) -> list[ProbedWrite]:
        """Run the course under steady writes and return these."""
        fleet = self._testbed.fleet
        probe = WriteProbe(self._testbed)
        probe.start()
        wait_for(REST_SECONDS)
        leader = fleet.leader()
        follower = next(member for member in fleet.sources if member is not leader)
        spent = self._identities(follower.name)
        self._lose_disk(follower)
        wait_for(REST_SECONDS)
        self._repair(follower, spent)
        leader = fleet.leader()
        leader.kill()
        self._note("second replica lost (leader)")
        fleet.leader()
        self._note("new leader")
        wait_for(REST_SECONDS)
        leader.restart()
        self._note("second replica back")
        wait_for(REST_SECONDS)
        return probe.stop()

    @property
    def started(self) -> float:
        """When the course began (monotonic)."""
        return self._started

    def _lose_disk(self, replica: Member) -> None:
        replica.kill()
        replica.remove_data()
        self._note("replica and its disk lost")

    def _repair(self, replica: Member, spent: set[str]) -> None:
        began = time.monotonic()
        replica.process.start()
        self._note("replica started with an empty disk")
        wait_until(
            lambda: self._is_whole(replica.name, spent),
            REPAIR_LIMIT_SECONDS,
            f"{replica.name} a voter",
        )
        self.repair_seconds = time.monotonic() - began
        self._note("replica repaired")

    def _is_whole(self, name: str, spent: set[str]) -> bool:
        status = self._testbed.fleet.operator.status()
        if isinstance(status, Failure):
            return False
        named = [member for member in status.members if member.name == name]
        return len(named) == 1 and named[0].voter and named[0].identity not in spent

    def _identities(self, name: str) -> set[str]:
        status = self._testbed.fleet.operator.status()
        members = () if isinstance(status, Failure) else status.members
        return {member.identity for member in members if member.name == name}

    def _note(self, what: str) -> None:
        self.moments.append(Moment(time.monotonic() - self._started, what))


def run_recovery(testbed: Testbed) -> tuple[RecoveryDetails, list[str]]:
    """Run the losses, then the readers that are behind, then the baseline's."""
    with HollowFleet(testbed, "hollow", relay_addresses(testbed)) as hollow:
        hollow.grow(READERS, testbed.change_common().version)
        losses = ReplicaLosses(testbed)
        writes = losses.run()
        version = testbed.change_common().version
        hollow.wait_times(version, CATCH_UP_LIMIT_SECONDS)
        points = tuple(_point(hollow, losses.started, write) for write in writes)
        catch_up = [
            _catch_up(testbed, hollow, "delta over the relays' window", ()),
            _catch_up(testbed, hollow, "relays restarted meanwhile", testbed.fleet.relays),
        ]
    catch_up.append(_baseline(testbed))
    versions = [write.version for write in writes if write.version]
    details = RecoveryDetails(
        moments=tuple(losses.moments),
        writes=points,
        repair_seconds=losses.repair_seconds,
        longest_write_ms=_longest(losses.moments, points),
        failed_writes=sum(bool(point.failure) for point in points),
        versions_out_of_order=sum(a >= b for a, b in zip(versions, versions[1:], strict=False)),
        catch_up=tuple(catch_up),
    )
    return details, [f"{c.missing} readers: {c.what}" for c in catch_up if c.missing]


def _point(hollow: HollowFleet, started: float, write: ProbedWrite) -> WritePoint:
    in_force = None
    if write.version:
        times = hollow.times(write.version)
        taken = durations(write.accepted_at, times)
        in_force = max(taken) * MILLISECONDS if len(taken) == len(times) else None
    return WritePoint(write.began - started, write.duration_ms, in_force, write.failure)


def _longest(moments: list[Moment], points: tuple[WritePoint, ...]) -> dict[str, float]:
    """Return the longest answer of the writes under way between each moment and the next.

    Moments so close to the next that no write was under way between them are left out.
    """
    ends = [moment.at for moment in moments[1:]] + [float("inf")]
    longest = {"rest before": _slowest(points, 0.0, moments[0].at)}
    for moment, end in zip(moments, ends, strict=True):
        longest[moment.what] = _slowest(points, moment.at, end)
    return {what: slowest for what, slowest in longest.items() if slowest}


def _slowest(points: tuple[WritePoint, ...], begin: float, end: float) -> float:
    during = [p for p in points if p.at < end and p.at + p.answered_ms / MILLISECONDS > begin]
    return max((point.answered_ms for point in during), default=0.0)


def _catch_up(
    testbed: Testbed, hollow: HollowFleet, what: str, publishers: Sequence[Member]
) -> CatchUp:
    for process in hollow.processes:
        process.client.detach()
    for _ in range(MISSED_CHANGES):
        testbed.change_scoped()
    version = testbed.change_common().version
    for publisher in publishers:
        publisher.kill()
        publisher.restart()
    wait_for(REST_SECONDS)
    meter = ReconnectMeter(hollow.processes)
    began = time.monotonic()
    for process in hollow.processes:
        process.client.attach()
    times = hollow.wait_times(version, CATCH_UP_LIMIT_SECONDS)
    taken = durations(began, times)
    return CatchUp(
        what=what,
        behind=MISSED_CHANGES + 1,
        readers=hollow.nodes,
        back=Quantiles.of(taken),
        missing=len(times) - len(taken),
        reader_bytes=meter.stop(),
    )


def _baseline(testbed: Testbed) -> CatchUp:
    with (
        BaselineFleet(testbed) as publishers,
        HollowFleet(
            testbed, "baseline", publishers.addresses, everything=True, agents=False
        ) as hollow,
    ):
        hollow.grow(READERS, testbed.change_common().version)
        return _catch_up(testbed, hollow, "full push of the whole state", ())


def recovery_ratios(details: RecoveryDetails) -> tuple[Ratio, ...]:
    """Return the readers behind over the full push, and faults over the rest before them."""
    *own, pushed = details.catch_up
    ratios = []
    for catch_up in own:
        ratios += [
            Ratio(f"{catch_up.what}: back p99 ms", catch_up.back.p99_ms, pushed.back.p99_ms),
            Ratio(f"{catch_up.what}: bytes a reader", catch_up.reader_bytes, pushed.reader_bytes),
        ]
    rest = details.longest_write_ms["rest before"]
    for what, longest in details.longest_write_ms.items():
        ratios.append(Ratio(f"longest write ms, {what}", longest, rest))
    return tuple(ratios)
