"""What every experiment runs on: a fleet of real processes with hollow nodes beside them."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import attrs

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Resource
from limelever_lab.bench.resources import route_resource, service_resources, share_resource
from limelever_lab.fleet.deployment import Deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.layout import FleetSize
from limelever_lab.fleet.operator import AcceptedChange
from limelever_lab.fleet.settings_files import SettingsBuilder, draw_secrets

BATCH_SERVICES = 100
"""Added services in one batch: 700 resources, below the source's bound."""

CONVERGED_LIMIT_SECONDS = 60.0
LARGEST_WEIGHT = 10000
SHORTEST_TIMEOUT_MS = 1000


@dataclass(frozen=True, slots=True)
class TestbedSettings:
    """Seed, size and the weighing of the fleet; ``batch_delay_ms`` ``None`` = the deployment's."""

    __test__ = False

    seed: int = 1
    services: int = 100
    scope_services: int = 10
    scopes: int = 40
    batch_delay_ms: int | None = None


class Testbed:
    """A running fleet with the deployment's resources and more; a context manager.

    Instances are kept at one a service, since the hollow nodes are the load here; the few real
    proxies and agents are those with which the hollow ones are compared.
    """

    __test__ = False

    def __init__(self, deployment: Deployment, folder: Path, settings: TestbedSettings) -> None:
        if settings.batch_delay_ms is not None:
            distribution = attrs.evolve(
                deployment.distribution, batch_delay_ms=settings.batch_delay_ms
            )
            deployment = attrs.evolve(deployment, distribution=distribution)
        self.settings = settings
        self.folder = folder
        self.fleet = Fleet(deployment, folder, FleetSize(instances=1), settings.seed)
        self.secrets = draw_secrets(random.Random(settings.seed))
        self.builder = SettingsBuilder(self.fleet.layout, self.secrets, folder)
        self._generator = random.Random(f"{settings.seed}/changes")

    def __enter__(self) -> Testbed:
        """Start the fleet and apply the resources."""
        try:
            self.fleet.start()
            self._apply_resources()
        except BaseException:
            self.fleet.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process that still runs."""
        self.fleet.__exit__()

    def change_common(self) -> AcceptedChange:
        """Change a share that is in the scope of every proxy."""
        return _accepted(self.try_change_common())

    def try_change_common(self) -> AcceptedChange | Failure:
        """Change a share that is in the scope of every proxy, or return why that failed."""
        call_class = self.fleet.layout.deployment.calls[0]
        weight = self._generator.randint(1, LARGEST_WEIGHT)
        share = share_resource(call_class.service, call_class.group, weight)
        return self.fleet.operator.put(share)

    def change_scoped(self) -> AcceptedChange:
        """Change a route of one of the added services."""
        number = self._generator.randrange(self.settings.services)
        timeout = SHORTEST_TIMEOUT_MS + self._generator.randrange(SHORTEST_TIMEOUT_MS)
        return self.put(route_resource(number, timeout))

    def put(self, *resources: Resource) -> AcceptedChange:
        """Apply resources in one batch; raises ``RuntimeError`` when that is refused."""
        return _accepted(self.fleet.operator.put(*resources))

    def wait_real(self, version: int) -> None:
        """Wait until the real relays, proxies and agents hold a version."""
        fleet = self.fleet
        members = [*fleet.relays, *fleet.proxies, *fleet.agents]
        fleet.wait_versions(members, version, CONVERGED_LIMIT_SECONDS)

    def _apply_resources(self) -> None:
        output = self.fleet.operator.run("apply", str(self.fleet.layout.deployment.resources_file))
        if output.status != 0:
            raise RuntimeError(f"apply was refused: {output.text}")
        generator = random.Random(f"{self.settings.seed}/resources")
        version = 0
        for first in range(0, self.settings.services, BATCH_SERVICES):
            numbers = range(first, min(first + BATCH_SERVICES, self.settings.services))
            batch = [item for number in numbers for item in service_resources(number, generator)]
            version = self.put(*batch).version
        self.wait_real(version)


def _accepted(answer: AcceptedChange | Failure) -> AcceptedChange:
    if isinstance(answer, Failure):
        raise RuntimeError(f"change was refused: {answer}")
    return answer


def wait_for(seconds: float) -> None:
    """Let the fleet run for a while."""
    time.sleep(seconds)


def durations(accepted_at: float, times: Sequence[float | None]) -> list[float]:
    """Return how long after acceptance each node had a version; those without it are left out."""
    return [max(0.0, at - accepted_at) for at in times if at is not None]
