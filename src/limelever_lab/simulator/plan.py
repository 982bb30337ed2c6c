"""Names, zones and addresses of a deployment's processes in the simulator."""

from __future__ import annotations

from dataclasses import dataclass

from limelever.common.sansio import Address
from limelever_lab.simulator.deployments import SimulatedDeployment
from limelever_lab.simulator.faults import Population

SOURCES = 3
KEEPER_PORT = 7002
LINK_PORT = 7001
OPERATOR_PORT = 7000


@dataclass(frozen=True, slots=True)
class Place:
    """One process: its name, zone, address; an agent's service, a proxy's scope."""

    name: str
    zone: str
    host: str
    service: str = ""
    scope: tuple[str, ...] = ()

    @property
    def address(self) -> Address:
        """Return where links to its main core are dialled."""
        return Address(self.host, LINK_PORT)

    @property
    def keeper_address(self) -> Address:
        """Return where links to its keeper are dialled."""
        return Address(self.host, KEEPER_PORT)

    @property
    def operator_address(self) -> Address:
        """Return where operators reach it."""
        return Address(self.host, OPERATOR_PORT)


@dataclass(frozen=True, slots=True)
class Plan:
    """All processes of a run: a relay and a proxy a zone, an agent an instance."""

    sources: tuple[Place, ...]
    relays: tuple[Place, ...]
    proxies: tuple[Place, ...]
    agents: tuple[Place, ...]

    @property
    def population(self) -> Population:
        """Return the names by role, for drawing faults."""
        return Population(
            _names(self.sources), _names(self.relays), _names(self.proxies), _names(self.agents)
        )


def plan_of(deployment: SimulatedDeployment) -> Plan:
    """Return the processes of a deployment."""
    zones = deployment.zones
    sources = [
        Place(f"source-{index + 1}", zones[index], f"10.0.1.{index + 1}")
        for index in range(SOURCES)
    ]
    relays = [
        Place(f"relay-{zone}", zone, f"10.0.2.{index + 1}") for index, zone in enumerate(zones)
    ]
    proxies = [
        Place(f"proxy-{zone}", zone, f"10.0.3.{index + 1}", scope=_scope(deployment, index))
        for index, zone in enumerate(zones)
    ]
    return Plan(tuple(sources), tuple(relays), tuple(proxies), _agents(deployment))


def _scope(deployment: SimulatedDeployment, index: int) -> tuple[str, ...]:
    """Return every service for the first proxies, and one for the last."""
    services = tuple(deployment.instances)
    return services if index < len(deployment.zones) - 1 else services[:1]


def _agents(deployment: SimulatedDeployment) -> tuple[Place, ...]:
    places: list[Place] = []
    for service, count in deployment.instances.items():
        for index in range(count):
            number = len(places) + 1
            zone = deployment.zones[index % len(deployment.zones)]
            name = f"{service}-{index + 1}"
            places.append(Place(name, zone, f"10.0.4.{number}", service))
    return tuple(places)


def _names(places: tuple[Place, ...]) -> tuple[str, ...]:
    return tuple(place.name for place in places)
