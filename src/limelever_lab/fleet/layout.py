"""Which processes a fleet has, and on which ports and in which zones they stand."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from limelever.common.sansio import Address
from limelever_lab.fleet.deployment import DeployedService, Deployment
from limelever_lab.fleet.ports import LOOPBACK, free_ports
from limelever_lab.standins.network import NetworkLink

SOURCE_REPLICAS = 3
ANY_PROXY = "any-proxy"
OPERATOR = "operator"


def loopback(port: int) -> Address:
    """Return a loopback address."""
    return Address(LOOPBACK, port)


@dataclass(frozen=True, slots=True)
class SourceLayout:
    """One replica of the source."""

    name: str
    zone: str
    link_port: int
    operator_port: int
    admin_port: int


@dataclass(frozen=True, slots=True)
class RelayLayout:
    """One relay; ``source_ports`` are those of the replicas, whatever lies between."""

    name: str
    zone: str
    link_port: int
    admin_port: int
    source_ports: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ProxyLayout:
    """One proxy."""

    name: str
    zone: str
    edge_port: int
    admin_port: int


@dataclass(frozen=True, slots=True)
class AgentLayout:
    """One agent and the back end beside it."""

    name: str
    zone: str
    service: DeployedService
    link_port: int
    admin_port: int
    backend_port: int


@dataclass(frozen=True, slots=True)
class FleetLayout:
    """The whole fleet of a deployment; ``links`` is empty when nothing lies between processes."""

    deployment: Deployment
    sources: tuple[SourceLayout, ...]
    relays: tuple[RelayLayout, ...]
    proxies: tuple[ProxyLayout, ...]
    agents: tuple[AgentLayout, ...]
    platform_port: int
    links: tuple[NetworkLink, ...] = ()
    network_port: int = 0

    def reach(self, dialler: str, port: int) -> Address:
        """Return the address at which ``dialler`` reaches the listener on ``port``."""
        for link in self.links:
            if link.dialler == dialler and link.target_port == port:
                return loopback(link.listen_port)
        return loopback(port)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many zones and instances a service a fleet has; 0 = as many as the deployment.

    With ``network`` all links between processes lead through a stand-in that can cut them.
    ``platform_lag_ms`` is how far the platform's list of machines lags.
    """

    zones: int = 0
    instances: int = 0
    network: bool = False
    platform_lag_ms: int = 0


def plan_fleet(deployment: Deployment, size: FleetSize) -> FleetLayout:
    """Place a fleet: a relay and a proxy a zone, agents over the zones in turn."""
    zones = deployment.zones[: size.zones or len(deployment.zones)]
    sources = tuple(
        SourceLayout(f"source-{number + 1}", zones[number % len(zones)], *free_ports(3))
        for number in range(SOURCE_REPLICAS)
    )
    layout = FleetLayout(
        deployment=deployment,
        sources=sources,
        relays=tuple(_relay(zone, sources) for zone in zones),
        proxies=tuple(ProxyLayout(f"proxy-{zone}", zone, *free_ports(2)) for zone in zones),
        agents=tuple(_agents(deployment, zones, size.instances)),
        platform_port=free_ports(1)[0],
    )
    if not size.network:
        return layout
    links = tuple(plan_links(layout))
    return replace(layout, links=links, network_port=free_ports(1)[0])


def _relay(zone: str, sources: Iterable[SourceLayout]) -> RelayLayout:
    link_port, admin_port = free_ports(2)
    source_ports = tuple(source.link_port for source in sources)
    return RelayLayout(f"relay-{zone}", zone, link_port, admin_port, source_ports)


def backend_name(agent: AgentLayout) -> str:
    """Return the name of the back end beside an agent."""
    return f"backend-{agent.name}"


def plan_links(layout: FleetLayout) -> Iterator[NetworkLink]:
    """Return a link for each pair that dials; all proxies dial an agent over the same one."""
    for replica in layout.sources:
        yield from _links(replica.name, layout.sources)
        yield _link(OPERATOR, replica.name, replica.operator_port)
    readers: tuple[RelayLayout | ProxyLayout, ...] = (*layout.relays, *layout.proxies)
    for reader in readers:
        yield from _links(reader.name, (*layout.sources, *layout.relays))
    for agent in layout.agents:
        yield from _links(agent.name, layout.relays)
        yield _link(agent.name, backend_name(agent), agent.backend_port)
        yield _link(ANY_PROXY, agent.name, agent.link_port)


def _links(dialler: str, targets: Iterable[SourceLayout | RelayLayout]) -> Iterator[NetworkLink]:
    for target in targets:
        if target.name != dialler:
            yield _link(dialler, target.name, target.link_port)


def _link(dialler: str, target: str, target_port: int) -> NetworkLink:
    return NetworkLink(dialler, target, free_ports(1)[0], target_port)


def _agents(
    deployment: Deployment, zones: tuple[str, ...], instances: int
) -> Iterator[AgentLayout]:
    place = 0
    for service in deployment.services:
        for number in range(min(instances or service.instances, service.instances)):
            zone = zones[place % len(zones)]
            yield AgentLayout(f"{service.name}-{number + 1}", zone, service, *free_ports(3))
            place += 1
