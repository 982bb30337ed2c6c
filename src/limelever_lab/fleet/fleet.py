"""A running fleet: source, relays, proxies, agents, back ends, and what surrounds them."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path

from limelever.common.errors import Failure
from limelever.common.settings import ProcessSettings
from limelever_lab.fleet.deployment import Deployment
from limelever_lab.fleet.layout import (
    OPERATOR,
    AgentLayout,
    FleetLayout,
    FleetSize,
    backend_name,
    plan_fleet,
)
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.network import FleetNetwork
from limelever_lab.fleet.operator import Operator
from limelever_lab.fleet.ports import LOOPBACK
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.fleet.settings_files import SettingsBuilder, draw_secrets
from limelever_lab.fleet.toml_writer import write_settings
from limelever_lab.load.audit import merge_counts
from limelever_lab.standins.network import write_links
from limelever_lab.standins.runs import RunCounts, read_journal

LEADER_LIMIT_SECONDS = 30.0
CONVERGENCE_LIMIT_SECONDS = 30.0
POLL_SECONDS = 0.02


class Fleet:
    """Starts every process of a deployment and ends them all; only its own, by identifier.

    Settings, logs, journals and data lie in ``folder``. Use it as a context manager: leaving it
    kills what still runs.
    """

    def __init__(
        self, deployment: Deployment, folder: Path, size: FleetSize | None = None, seed: int = 1
    ) -> None:
        self.layout: FleetLayout = plan_fleet(deployment, size or FleetSize())
        self.folder = folder
        self._seed = seed
        secrets = draw_secrets(random.Random(seed))
        self._builder = SettingsBuilder(self.layout, secrets, folder)
        layout = self.layout
        self.sources = [
            self._member(self._builder.source(s, True), s.admin_port) for s in layout.sources
        ]
        self.relays = [self._member(self._builder.relay(r), r.admin_port) for r in layout.relays]
        self.proxies = [self._member(self._builder.proxy(p), p.admin_port) for p in layout.proxies]
        self.agents = [self._member(self._builder.agent(a), a.admin_port) for a in layout.agents]
        self.backends = [self._backend(agent) for agent in layout.agents]
        self.network = self._network(layout)
        lag = (size or FleetSize()).platform_lag_ms
        self._platform_list = self._stand_in(
            "platform-list", "platform-list", {"--port": layout.platform_port, "--lag-ms": lag}
        )
        endpoints = {
            source.name: layout.reach(OPERATOR, source.operator_port) for source in layout.sources
        }
        self.operator = Operator(endpoints, secrets.operator_token, folder)

    def __enter__(self) -> Fleet:
        """Return the fleet; nothing is started yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the fleet."""
        self.close()

    def close(self) -> None:
        """Kill every process of the fleet that still runs."""
        for process in self._processes():
            process.end()

    @property
    def members(self) -> list[Member]:
        """Return the processes of the system itself."""
        return [*self.sources, *self.relays, *self.proxies, *self.agents]

    @property
    def targets(self) -> tuple[str, ...]:
        """Return the base addresses to which callers send."""
        return tuple(f"http://{LOOPBACK}:{proxy.edge_port}" for proxy in self.layout.proxies)

    def start(self) -> None:
        """Start everything, and wait until all but the proxies are ready.

        A proxy is ready once it holds a configuration, so it is waited for after the first
        change was applied.
        """
        if self.network is not None:
            self.network.start()
        for process in (self._platform_list, *self.backends):
            process.start()
        for agent in self.layout.agents:
            wait_until_listening(agent.backend_port)
        for member in self.members:
            member.process.start()
        _wait_all(self.sources)
        self.leader()
        self._end_bootstrap()
        _wait_all([*self.relays, *self.agents])

    def leader(self, limit: float = LEADER_LIMIT_SECONDS) -> Member:
        """Return the source's leader, once there is one; raises ``TimeoutError``."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            status = self.operator.status()
            if not isinstance(status, Failure) and status.leader:
                for member in self.sources:
                    if status.leader.startswith(member.name) and member.process.running:
                        return member
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f"the source has no leader after {limit} s")

    def wait_versions(
        self, members: Sequence[Member], version: int, limit: float = CONVERGENCE_LIMIT_SECONDS
    ) -> list[float]:
        """Wait until all hold a version; return when each did (monotonic seconds, to a poll)."""
        times: dict[str, float] = {}
        end = time.monotonic() + limit
        while len(times) < len(members):
            for member in members:
                if member.name not in times and member.version() >= version:
                    times[member.name] = time.monotonic()
            if time.monotonic() > end:
                behind = {m.name: m.version() for m in members if m.name not in times}
                raise TimeoutError(f"version {version} not in force after {limit} s: {behind}")
            time.sleep(POLL_SECONDS)
        return list(times.values())

    def run_counts(self) -> RunCounts:
        """Return what all back ends ran, also those that are down."""
        return merge_counts(read_journal(self._journal(agent)) for agent in self.layout.agents)

    def runs_of(self, agent: AgentLayout) -> int:
        """Return how many calls the back end beside an agent ran, also when it is down."""
        return sum(read_journal(self._journal(agent)).by_call.values())

    def stop(self) -> dict[str, int]:
        """Make a planned stop of everything, readers first; return the exit status of each."""
        statuses: dict[str, int] = {}
        for group in (self.proxies, self.agents, self.relays, self.sources):
            running = [member for member in group if member.process.running]
            for member in running:
                member.process.request_stop()
            statuses.update({member.name: member.process.wait() for member in running})
        return statuses

    def _end_bootstrap(self) -> None:
        """Rewrite the replicas' settings, so that an emptied disk cannot found a second group."""
        for place in self.layout.sources:
            self._write(self._builder.source(place, False))

    def _member(self, settings: ProcessSettings, admin_port: int) -> Member:
        path = self._write(settings)
        command = ("limelever", settings.role.value, "--settings", str(path))
        data = self._builder.data_folder(settings.name)
        data.mkdir(parents=True, exist_ok=True)
        process = LabProcess(settings.name, command, self.folder)
        return Member(process, settings.zone, admin_port, data)

    def _write(self, settings: ProcessSettings) -> Path:
        path = self.folder / f"{settings.name}.toml"
        write_settings(path, settings)
        return path

    def _journal(self, agent: AgentLayout) -> Path:
        return self.folder / f"{agent.name}.journal"

    def _backend(self, agent: AgentLayout) -> LabProcess:
        service = agent.service
        options = {
            "--service": service.name,
            "--port": agent.backend_port,
            "--instance": agent.name,
            "--seed": self._seed + agent.backend_port,
            "--slots": service.slots,
            "--queue": service.queue,
            "--cold-ms": service.cold_ms,
            "--journal": self._journal(agent),
        }
        return self._stand_in(backend_name(agent), "backend", options)

    def _network(self, layout: FleetLayout) -> FleetNetwork | None:
        if not layout.links:
            return None
        path = self.folder / "links.json"
        write_links(path, layout.links)
        options = {
            "--links": path,
            "--control-port": layout.network_port,
            "--delay-ms": layout.deployment.delays.between_zones_ms,
        }
        process = self._stand_in("network", "network", options)
        return FleetNetwork(process, layout.network_port)

    def _stand_in(self, name: str, command: str, options: Mapping[str, object]) -> LabProcess:
        words = [word for option, value in options.items() for word in (option, str(value))]
        return LabProcess(name, ("limelever-lab", command, *words), self.folder)

    def _processes(self) -> Iterable[LabProcess]:
        yield from (member.process for member in self.members)
        yield from self.backends
        if self.network is not None:
            yield self.network.process
        yield self._platform_list


def _wait_all(members: Iterable[Member]) -> None:
    for member in members:
        member.wait_ready()


def wait_until(condition: Callable[[], bool], limit: float, what: str) -> None:
    """Poll until a condition holds; raises ``TimeoutError`` naming ``what`` was awaited."""
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not after {limit} s")
        time.sleep(POLL_SECONDS)
