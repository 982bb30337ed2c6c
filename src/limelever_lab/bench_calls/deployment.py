"""A fleet for experiments on calls: one service whose back ends echo, in a deployment's zones."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import attrs

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Service,
    Share,
)
from limelever_lab.fleet.deployment import DeployedService, Deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.layout import AgentLayout, FleetSize
from limelever_lab.fleet.ports import LOOPBACK
from limelever_lab.fleet.processes import LabProcess

SERVICE = "echo"
REPEATABLE_PATH = "/repeatable"
AT_MOST_ONCE_PATH = "/once"
UNKNOWN_PATH = "/unknown"
MAX_BODY_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class GroupShare:
    """A group and its weight."""

    group: str
    weight: int


@dataclass(frozen=True, slots=True)
class EchoFleetSize:
    """Zones, instances and slots of the fleet, and the service time of a back end in seconds."""

    zones: int
    instances: int
    slots: int
    service_seconds: float = 0.0


def echo_deployment(deployment: Deployment, size: EchoFleetSize) -> Deployment:
    """Return a deployment with the zones and delays of another and the echo service alone."""
    service = DeployedService(name=SERVICE, instances=size.instances, slots=size.slots)
    return attrs.evolve(deployment, services=(service,))


def open_echo_fleet(deployment: Deployment, folder: Path, size: EchoFleetSize, seed: int) -> Fleet:
    """Return a fleet, not yet started, whose back ends are echoing ones."""
    fleet = Fleet(
        echo_deployment(deployment, size),
        folder,
        FleetSize(zones=size.zones, instances=size.instances),
        seed,
    )
    fleet.backends = [_backend(agent, folder, size) for agent in fleet.layout.agents]
    return fleet


def start_echo_fleet(fleet: Fleet, timeout_ms: int, shares: tuple[GroupShare, ...] = ()) -> None:
    """Start the fleet and wait until routes and shares are in force; raises ``RuntimeError``."""
    fleet.start()
    accepted = fleet.operator.put(*_resources(timeout_ms, shares))
    if isinstance(accepted, Failure):
        raise RuntimeError(f"resources were refused: {accepted}")
    fleet.wait_versions([*fleet.proxies, *fleet.agents], accepted.version)
    for proxy in fleet.proxies:
        proxy.wait_ready()


def backend_addresses(fleet: Fleet) -> tuple[str, ...]:
    """Return the base addresses of the back ends themselves."""
    return tuple(f"http://{LOOPBACK}:{agent.backend_port}" for agent in fleet.layout.agents)


def _backend(agent: AgentLayout, folder: Path, size: EchoFleetSize) -> LabProcess:
    command = ("python", "-m", "limelever_lab.bench_calls", "fast-backend")
    options = {"port": agent.backend_port, "service-ms": size.service_seconds * 1000}
    if size.service_seconds:
        options |= {"slots": size.slots, "queue": 2 * size.slots}
    words = [word for name, value in options.items() for word in (f"--{name}", str(value))]
    return LabProcess(f"backend-{agent.name}", (*command, *words), folder)


def _resources(timeout_ms: int, shares: tuple[GroupShare, ...]) -> list[Resource]:
    service = Service(name=SERVICE, max_body_bytes=MAX_BODY_BYTES, slow_start_ms=1)
    kinds = ((REPEATABLE_PATH, CALL_KIND_REPEATABLE), (AT_MOST_ONCE_PATH, CALL_KIND_AT_MOST_ONCE))
    routes = [
        Route(
            name=path.strip("/"),
            service=SERVICE,
            path_prefix=path,
            call_kind=kind,
            timeout_ms=timeout_ms,
        )
        for path, kind in kinds
    ]
    return [
        Resource(service=service),
        *(Resource(route=route) for route in routes),
        *(
            Resource(share=Share(service=SERVICE, group=share.group, weight=share.weight))
            for share in shares
        ),
    ]
