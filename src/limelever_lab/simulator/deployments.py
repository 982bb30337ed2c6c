"""The two deployments as the simulator runs them: smaller than today's, same zones and calls."""

from __future__ import annotations

from dataclasses import dataclass

from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Secret,
    Service,
    Share,
)
from limelever_lab.simulator.network_parts import Delays

CALL_TIMEOUT_MS = 4000
DRAIN_LIMIT_MS = 12000


@dataclass(frozen=True, slots=True)
class Operation:
    """One kind of call: its route, method and path; ``secret`` names what the route needs."""

    route: str
    service: str
    method: str
    path: str
    at_most_once: bool = False
    secret: str = ""


@dataclass(frozen=True, slots=True)
class SimulatedDeployment:
    """Zones, delays, services with their instances, operations and groups.

    ``batch_delay`` (seconds) is how the deployment weighs convergence against bytes.
    """

    name: str
    zones: tuple[str, ...]
    delays: Delays
    batch_delay: float
    instances: dict[str, int]
    operations: tuple[Operation, ...]
    groups: tuple[str, ...]

    def initial_resources(self) -> list[Resource]:
        """Return what operators create first."""
        resources = [
            Resource(service=Service(name=name, drain_limit_ms=DRAIN_LIMIT_MS))
            for name in self.instances
        ]
        for operation in self.operations:
            if operation.secret:
                secret = Secret(name=operation.secret, header="x-token", value=b"hidden-first")
                resources.append(Resource(secret=secret))
        resources += [Resource(route=route_of(operation)) for operation in self.operations]
        for service in self.instances:
            for group in self.groups:
                share = Share(service=service, group=group, weight=10)
                resources.append(Resource(share=share))
        return resources


def route_of(operation: Operation, timeout_ms: int = CALL_TIMEOUT_MS) -> Route:
    """Return the route resource of an operation."""
    kind = CALL_KIND_AT_MOST_ONCE if operation.at_most_once else CALL_KIND_REPEATABLE
    return Route(
        name=operation.route,
        service=operation.service,
        path_prefix=operation.path,
        methods=[operation.method],
        call_kind=kind,
        timeout_ms=timeout_ms,
        secrets=[operation.secret] if operation.secret else [],
    )


KOSZYK = SimulatedDeployment(
    name="koszyk",
    zones=("lodz-a", "lodz-b", "warsaw-north", "warsaw-south"),
    delays=Delays(within_zone=0.0002, between_zones=0.0005),
    batch_delay=0.01,
    instances={"order": 3, "catalogue": 2},
    operations=(
        Operation("basket", "order", "GET", "/basket"),
        Operation("placement", "order", "POST", "/orders", True, "payment-token"),
        Operation("photo", "catalogue", "POST", "/photos", False, "store-token"),
        Operation("stock", "catalogue", "GET", "/stock"),
    ),
    groups=("stores", "couriers"),
)

RESULTS = SimulatedDeployment(
    name="results",
    zones=("hall-a", "hall-b", "hall-c", "hall-d"),
    delays=Delays(within_zone=0.0004, between_zones=0.0015),
    batch_delay=0.2,
    instances={"results": 3, "archive": 2},
    operations=(
        Operation("finish-times", "results", "GET", "/times"),
        Operation("certification", "results", "POST", "/certifications", True, "federation-token"),
        Operation("chip-upload", "archive", "POST", "/chips", False, "marshal-token"),
        Operation("standings", "archive", "GET", "/standings"),
    ),
    groups=("clubs", "marshals"),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (KOSZYK, RESULTS)}
