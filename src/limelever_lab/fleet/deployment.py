"""Deployments: zones, sizes, delays and calls, read from ``etc/deployments/NAME.toml``."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import attrs

from limelever.common.settings import between, not_empty
from limelever.common.settings.structure import structure

DEPLOYMENTS_FOLDER = Path(__file__).resolve().parents[3] / "etc" / "deployments"
DEPLOYMENT_NAMES = ("koszyk", "results")


@attrs.frozen(kw_only=True)
class DeployedService:
    """One service and the size of its back ends; ``cold_ms`` is how long a start stays slow."""

    name: str = attrs.field(validator=not_empty)
    instances: int = attrs.field(validator=between(1, 64))
    slots: int = attrs.field(default=6, validator=between(1, 1024))
    queue: int = attrs.field(default=12, validator=between(0, 1024))
    connections: int = attrs.field(default=130, validator=between(1, 4096))
    cold_ms: int = attrs.field(default=0, validator=between(0, 600000))


@attrs.frozen(kw_only=True)
class CallClass:
    """One class of calls: who makes it, what it asks, its part of the arrivals.

    ``path`` may hold ``{number}``, which is replaced by a drawn number.
    """

    operation: str = attrs.field(validator=not_empty)
    service: str = attrs.field(validator=not_empty)
    group: str = attrs.field(validator=not_empty)
    method: Literal["GET", "POST"]
    path: str = attrs.field(validator=not_empty)
    weight: int = attrs.field(validator=between(1, 1000))
    at_most_once: bool = False
    body_bytes: int = attrs.field(default=0, validator=between(0, 16 << 20))


@attrs.frozen(kw_only=True)
class DelaySettings:
    """One-way delays and probe time, in milliseconds."""

    between_zones_ms: float
    to_clients_ms: float
    connect_ms: float = 1.0
    health_probe_ms: float = 0.0


@attrs.frozen(kw_only=True)
class DistributionSettings:
    """How the deployment weighs convergence time against control bytes."""

    batch_delay_ms: int = attrs.field(default=0, validator=between(0, 60000))
    compress_from_bytes: int = attrs.field(default=0, validator=between(0, 1 << 30))


@attrs.frozen(kw_only=True)
class Deployment:
    """One deployment of the product, as large as it is today."""

    name: str = attrs.field(validator=not_empty)
    region: str = attrs.field(validator=not_empty)
    zones: tuple[str, ...] = attrs.field(validator=not_empty)
    resources: str = attrs.field(validator=not_empty)
    delays: DelaySettings
    distribution: DistributionSettings = DistributionSettings()
    services: tuple[DeployedService, ...] = attrs.field(validator=not_empty)
    calls: tuple[CallClass, ...] = attrs.field(validator=not_empty)

    @property
    def resources_file(self) -> Path:
        """Return the file of resources that operators apply."""
        return DEPLOYMENTS_FOLDER / self.resources


def load_deployment(name: str) -> Deployment:
    """Read one of the deployments; raises cattrs' validation errors for a damaged file."""
    table = tomllib.loads((DEPLOYMENTS_FOLDER / f"{name}.toml").read_text())
    return structure(table, Deployment)
