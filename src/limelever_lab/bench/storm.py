"""Reconnect storms: readers of a relay, all readers, all relays; what the source sees of each."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from limelever_lab.bench.baseline_fleet import BaselineFleet
from limelever_lab.bench.hollow_fleet import (
    HollowFleet,
    HollowProcess,
    ReconnectMeter,
    relay_addresses,
    total,
)
from limelever_lab.bench.quantiles import Quantiles
from limelever_lab.bench.results import Ratio
from limelever_lab.bench.source_meter import SourceMeter, SourceUse, quiet_use
from limelever_lab.bench.testbed import Testbed, durations, wait_for
from limelever_lab.fleet.member import Member

DETACHED_SECONDS = 1.0
STORM_LIMIT_SECONDS = 60.0
ONE_RELAY = "the readers of one relay"
ALL_READERS = "all readers"
ALL_RELAYS = "all relays"
ALL_RELAYS_NO_DISK = "all relays, their disks lost"
FULL_PUSH = "all full-push publishers"


@dataclass(frozen=True, slots=True)
class StormFigures:
    """One storm: a change is made as it begins, and is in force on the readers after ``back``.

    ``missing`` counts readers without it after ``STORM_LIMIT_SECONDS``. ``reader_bytes`` are
    subscription bytes a reader, both ways, tables included. ``source`` covers the time until
    the last reader, and so do the core seconds: ``reader_processor`` of each hollow proxy with
    its part of the process, ``publisher_processor`` of the busiest relay or full-push
    publisher, from its start if it was killed.
    """

    what: str
    readers: int
    back: Quantiles
    missing: int
    reader_bytes: float
    reader_processor: float
    publisher_processor: float
    source: SourceUse


@dataclass(frozen=True, slots=True)
class StormDetails:
    """All storms at each size, the source in quiet before them, and the full push beside."""

    relays: int
    quiet: tuple[SourceUse, ...]
    storms: tuple[StormFigures, ...]
    baseline: StormFigures


def run_storm(testbed: Testbed, sizes: Sequence[int]) -> tuple[StormDetails, list[str]]:
    """Run every storm at every size; return what was left out too."""
    unfinished: list[str] = []
    quiet: list[SourceUse] = []
    storms: list[StormFigures] = []
    with HollowFleet(testbed, "hollow", relay_addresses(testbed)) as hollow:
        for nodes in sizes:
            try:
                hollow.grow(nodes, testbed.change_common().version)
                quiet.append(quiet_use(testbed.fleet))
                storms += _storms(testbed, hollow)
            except (MemoryError, TimeoutError) as error:
                unfinished.append(f"{nodes} nodes: {str(error)[:400]}")
                break
    baseline = _baseline(testbed, max(sizes))
    details = StormDetails(len(testbed.fleet.relays), tuple(quiet), tuple(storms), baseline)
    return details, unfinished


def _storms(testbed: Testbed, hollow: HollowFleet) -> list[StormFigures]:
    relays = testbed.fleet.relays
    zone = hollow.processes[0].zone
    of_one = [process for process in hollow.processes if process.zone == zone]
    return [
        _readers_back(testbed, hollow, ONE_RELAY, of_one),
        _readers_back(testbed, hollow, ALL_READERS, hollow.processes),
        _publishers_back(testbed, hollow, ALL_RELAYS, relays, remove_data=False),
        _publishers_back(testbed, hollow, ALL_RELAYS_NO_DISK, relays, remove_data=True),
    ]


def _readers_back(
    testbed: Testbed, hollow: HollowFleet, what: str, processes: Sequence[HollowProcess]
) -> StormFigures:
    for process in processes:
        process.client.detach()
    wait_for(DETACHED_SECONDS)

    def attach() -> None:
        for process in processes:
            process.client.attach()

    storm = Storm(what, processes, testbed.fleet.relays, publishers_restart=False)
    return _measure(testbed, hollow, storm, attach)


def _publishers_back(
    testbed: Testbed,
    hollow: HollowFleet,
    what: str,
    publishers: Sequence[Member],
    *,
    remove_data: bool,
) -> StormFigures:
    def restart() -> None:
        for publisher in publishers:
            publisher.kill()
        for publisher in publishers:
            if remove_data:
                publisher.remove_data()
            publisher.process.start()

    storm = Storm(what, hollow.processes, publishers, publishers_restart=True)
    figures = _measure(testbed, hollow, storm, restart)
    for publisher in publishers:
        publisher.wait_ready()
    return figures


@dataclass(frozen=True, slots=True)
class Storm:
    """Who comes back, and from whom; the clocks of restarted publishers begin at zero."""

    what: str
    processes: Sequence[HollowProcess]
    publishers: Sequence[Member]
    publishers_restart: bool

    @property
    def readers(self) -> int:
        """How many readers come back."""
        return sum(process.nodes for process in self.processes)

    def reader_processor(self) -> float:
        """Return the core seconds that the readers' processes have used."""
        return total([process.client.sample() for process in self.processes]).processor

    def publisher_processors(self) -> list[float]:
        """Return the core seconds that each publisher has used."""
        return [publisher.process.processor_seconds() for publisher in self.publishers]


def _measure(
    testbed: Testbed, hollow: HollowFleet, storm: Storm, begin: Callable[[], None]
) -> StormFigures:
    """Begin a storm, make a change at once, and wait until the change is in force."""
    reader_processor = storm.reader_processor()
    spent_before = storm.publisher_processors()
    if storm.publishers_restart:
        spent_before = [0.0] * len(spent_before)
    readers = ReconnectMeter(storm.processes)
    meter = SourceMeter(testbed.fleet)
    begin()
    change = testbed.change_common()
    hollow.wait_times(change.version, STORM_LIMIT_SECONDS)
    times = [at for process in storm.processes for at in process.client.times(change.version)]
    source = meter.stop()
    spent = zip(storm.publisher_processors(), spent_before, strict=True)
    taken = durations(change.accepted_at, times)
    return StormFigures(
        what=storm.what,
        readers=storm.readers,
        back=Quantiles.of(taken),
        missing=len(times) - len(taken),
        reader_processor=(storm.reader_processor() - reader_processor) / storm.readers,
        publisher_processor=max(after - before for after, before in spent),
        reader_bytes=readers.stop(),
        source=source,
    )


def _baseline(testbed: Testbed, nodes: int) -> StormFigures:
    with (
        BaselineFleet(testbed) as publishers,
        HollowFleet(
            testbed, "baseline", publishers.addresses, everything=True, agents=False
        ) as hollow,
    ):
        hollow.grow(nodes, testbed.change_common().version)
        return _publishers_back(testbed, hollow, FULL_PUSH, publishers.members, remove_data=True)


def storm_ratios(details: StormDetails) -> tuple[Ratio, ...]:
    """Return the storms of all relays at the largest size over the full push's."""
    baseline = details.baseline
    ratios: list[Ratio] = []
    for storm in details.storms:
        if storm.readers != baseline.readers or storm.what == ALL_READERS:
            continue
        ratios += [
            Ratio(f"{storm.what}: back p99 ms", storm.back.p99_ms, baseline.back.p99_ms),
            Ratio(f"{storm.what}: bytes a reader", storm.reader_bytes, baseline.reader_bytes),
            Ratio(
                f"{storm.what}: control bytes of the source",
                storm.source.control_bytes,
                baseline.source.control_bytes,
            ),
        ]
    return tuple(ratios)
