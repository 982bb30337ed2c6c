"""Starts processes of hollow nodes beside a fleet and asks them all."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from limelever.common.sansio import Address, Role
from limelever.common.settings import LogSettings
from limelever_lab.bench.machine import available_bytes
from limelever_lab.bench.resources import service_name
from limelever_lab.bench.testbed import Testbed
from limelever_lab.fleet.layout import loopback
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.fleet.toml_writer import write_settings
from limelever_lab.hollow.client import HollowClient
from limelever_lab.hollow.sample import HollowSample
from limelever_lab.hollow.settings import HollowSettings

NODES_PER_PROCESS = 250
SETTLED_LIMIT_SECONDS = 120.0
POLL_SECONDS = 0.25
LEAST_AVAILABLE_BYTES = 1 << 30
"""No process is started when less memory than this is available on the machine."""


@dataclass(frozen=True, slots=True)
class HollowProcess:
    """A process of hollow nodes, and the way to ask it."""

    process: LabProcess
    client: HollowClient
    nodes: int
    zone: str


class HollowFleet:
    """A group of hollow nodes that can grow; a context manager that kills its processes.

    ``publishers`` are the addresses the nodes subscribe to, by zone: the relays, or the baseline.
    """

    def __init__(
        self,
        testbed: Testbed,
        name: str,
        publishers: dict[str, tuple[Address, ...]],
        *,
        everything: bool = False,
        agents: bool = True,
    ) -> None:
        self._testbed = testbed
        self._name = name
        self._publishers = publishers
        self._everything = everything
        self._agents = agents
        self.processes: list[HollowProcess] = []

    def __enter__(self) -> HollowFleet:
        """Return the group; nothing is started yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process that still runs."""
        for hollow in self.processes:
            hollow.process.end()

    @property
    def nodes(self) -> int:
        """How many nodes there are."""
        return sum(hollow.nodes for hollow in self.processes)

    def grow(self, nodes: int, version: int) -> None:
        """Start processes until there are ``nodes``, and wait until all hold ``version``.

        Small groups are spread over all zones too. Raises ``MemoryError`` when the machine has
        too little memory left, ``TimeoutError`` when some node does not get the version.
        """
        zones = list(self._publishers)
        missing = nodes - self.nodes
        size = min(NODES_PER_PROCESS, max(1, -(-missing // len(zones))))
        while self.nodes < nodes:
            if available_bytes() < LEAST_AVAILABLE_BYTES:
                raise MemoryError(f"too little memory for more than {self.nodes} nodes")
            zone = zones[len(self.processes) % len(zones)]
            self._start(zone, min(size, nodes - self.nodes))
        for hollow in self.processes:
            hollow.process.log_tail(1)
        self.wait_settled(version)

    def wait_settled(self, version: int, limit: float = SETTLED_LIMIT_SECONDS) -> float:
        """Wait until all nodes are subscribed, registered and at ``version``; return the time."""
        end = time.monotonic() + limit
        while True:
            samples = self.samples()
            if all(_settled(sample, version, self._agents) for sample in samples):
                return time.monotonic()
            if time.monotonic() > end:
                raise TimeoutError(f"hollow nodes not at {version} after {limit} s: {samples}")
            time.sleep(POLL_SECONDS)

    def samples(self) -> list[HollowSample]:
        """Return the state of every process."""
        return [hollow.client.sample() for hollow in self.processes]

    def times(self, version: int) -> list[float | None]:
        """Return when each node had a version in force."""
        return [at for hollow in self.processes for at in hollow.client.times(version)]

    def wait_times(self, version: int, limit: float = SETTLED_LIMIT_SECONDS) -> list[float | None]:
        """Wait until all nodes have a version, and return when each had it.

        Nodes that do not have it after ``limit`` seconds are ``None``.
        """
        end = time.monotonic() + limit
        times = self.times(version)
        while None in times and time.monotonic() < end:
            time.sleep(POLL_SECONDS)
            times = self.times(version)
        return times

    def _start(self, zone: str, nodes: int) -> None:
        settings = self._settings(zone, nodes)
        path = self._testbed.folder / f"{settings.name}.toml"
        write_settings(path, settings)
        process = self._launch(settings.name, path)
        client = HollowClient(settings.control)
        self.processes.append(HollowProcess(process, client, nodes, zone))
        wait_until_listening(settings.control.port)

    def _launch(self, name: str, path: Path) -> LabProcess:
        command = ("python", "-m", "limelever_lab.hollow.process", str(path))
        process = LabProcess(name, command, self._testbed.folder)
        process.start()
        return process

    def _settings(self, zone: str, nodes: int) -> HollowSettings:
        testbed = self._testbed
        deployment = testbed.fleet.layout.deployment
        sizes = testbed.settings
        return HollowSettings(
            role=Role.PROXY,
            name=f"{self._name}-{len(self.processes)}",
            zone=zone,
            nodes=nodes,
            first_node=self.nodes,
            relays=self._publishers[zone],
            control=loopback(free_ports(1)[0]),
            common_services=tuple(service.name for service in deployment.services),
            services=tuple(service_name(number) for number in range(sizes.services)),
            scope_services=sizes.scope_services,
            scopes=sizes.scopes,
            everything=self._everything,
            agents=self._agents,
            credentials=testbed.secrets.of(Role.PROXY),
            agent_credential=testbed.secrets.of(Role.AGENT).own,
            links=testbed.builder.relay(testbed.fleet.layout.relays[0]).links,
            log=LogSettings(level="WARNING"),
            seed=sizes.seed,
        )


TABLES_SECONDS = 3.0
"""Endpoint tables follow the configuration; by then they have arrived."""


class ReconnectMeter:
    """Subscription bytes of some processes from its making, without those of quiet time."""

    def __init__(self, processes: Sequence[HollowProcess]) -> None:
        self._processes = processes
        self._nodes = sum(process.nodes for process in processes)
        self._before = self._bytes()

    def stop(self) -> float:
        """Wait until the tables have arrived and the link is quiet; return the bytes a node."""
        time.sleep(TABLES_SECONDS)
        moved = self._bytes() - self._before
        began = self._bytes()
        time.sleep(TABLES_SECONDS)
        quiet = self._bytes() - began
        return (moved - quiet) / self._nodes

    def _bytes(self) -> float:
        return total([process.client.sample() for process in self._processes]).subscription_bytes


def relay_addresses(testbed: Testbed) -> dict[str, tuple[Address, ...]]:
    """Return the relays' addresses by zone, the zone's own first, as a real proxy is given."""
    layout = testbed.fleet.layout
    return {place.zone: testbed.builder.proxy(place).relays for place in layout.proxies}


def total(samples: Sequence[HollowSample]) -> HollowTotals:
    """Add up what matters of several processes."""
    return HollowTotals(
        processor=sum(sample.processor for sample in samples),
        resident_bytes=sum(sample.resident_bytes for sample in samples),
        subscription_bytes=sum(s.subscription.bytes_in + s.subscription.bytes_out for s in samples),
        registration_bytes=sum(s.registration.bytes_in + s.registration.bytes_out for s in samples),
        subscription_frames_in=sum(s.subscription.frames_in for s in samples),
    )


@dataclass(frozen=True, slots=True)
class HollowTotals:
    """Sums over all processes: processor seconds, bytes both ways, frames from the relays."""

    processor: float
    resident_bytes: int
    subscription_bytes: float
    registration_bytes: float
    subscription_frames_in: float


def _settled(sample: HollowSample, version: int, agents: bool) -> bool:
    registered = sample.registered == sample.nodes or not agents
    return sample.subscribed == sample.nodes and registered and sample.lowest_version >= version
