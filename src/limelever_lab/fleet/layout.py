"""Which processes a fleet has, and on which ports and in which zones they stand."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from limelever.common.sansio import Address
from limelever_lab.fleet.deployment import DeployedService, Deployment
from limelever_lab.fleet.ports import LOOPBACK, free_ports

SOURCE_REPLICAS = 3


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
class LinkLayout:
    """A slow link: what dials ``listen_port`` reaches ``target_port``."""

    name: str
    listen_port: int
    target_port: int
    control_port: int


@dataclass(frozen=True, slots=True)
class RelayLayout:
    """One relay; ``source_ports`` are those of links when it reaches the source over them."""

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
    """The whole fleet of a deployment."""

    deployment: Deployment
    sources: tuple[SourceLayout, ...]
    relays: tuple[RelayLayout, ...]
    proxies: tuple[ProxyLayout, ...]
    agents: tuple[AgentLayout, ...]
    links: tuple[LinkLayout, ...]
    platform_port: int


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many zones and instances a service a fleet has; 0 = as many as the deployment.

    ``linked_relays`` is how many relays reach the source over links that can be slowed and cut.
    """

    zones: int = 0
    instances: int = 0
    linked_relays: int = 0


def plan_fleet(deployment: Deployment, size: FleetSize) -> FleetLayout:
    """Place a fleet: a relay and a proxy a zone, agents over the zones in turn."""
    zones = deployment.zones[: size.zones or len(deployment.zones)]
    sources = tuple(
        SourceLayout(f"source-{number + 1}", zones[number % len(zones)], *free_ports(3))
        for number in range(SOURCE_REPLICAS)
    )
    links = tuple(_links(sources, size.linked_relays))
    return FleetLayout(
        deployment=deployment,
        sources=sources,
        relays=tuple(_relays(zones, sources, links, size.linked_relays)),
        proxies=tuple(ProxyLayout(f"proxy-{zone}", zone, *free_ports(2)) for zone in zones),
        agents=tuple(_agents(deployment, zones, size.instances)),
        links=links,
        platform_port=free_ports(1)[0],
    )


def _links(sources: tuple[SourceLayout, ...], relays: int) -> Iterator[LinkLayout]:
    for relay in range(relays):
        for source in sources:
            listen_port, control_port = free_ports(2)
            name = f"link-{relay}-{source.name}"
            yield LinkLayout(name, listen_port, source.link_port, control_port)


def _relays(
    zones: tuple[str, ...],
    sources: tuple[SourceLayout, ...],
    links: tuple[LinkLayout, ...],
    linked: int,
) -> Iterator[RelayLayout]:
    direct = tuple(source.link_port for source in sources)
    for number, zone in enumerate(zones):
        own = links[number * len(sources) : (number + 1) * len(sources)]
        ports = tuple(link.listen_port for link in own) if number < linked else direct
        link_port, admin_port = free_ports(2)
        yield RelayLayout(f"relay-{zone}", zone, link_port, admin_port, ports)


def _agents(
    deployment: Deployment, zones: tuple[str, ...], instances: int
) -> Iterator[AgentLayout]:
    place = 0
    for service in deployment.services:
        for number in range(min(instances or service.instances, service.instances)):
            zone = zones[place % len(zones)]
            yield AgentLayout(f"{service.name}-{number + 1}", zone, service, *free_ports(3))
            place += 1
