"""What the demonstration measured of one deployment, and what had to hold."""

from __future__ import annotations

from dataclasses import dataclass

from limelever_lab.load.outcomes import Quantiles, Summary


@dataclass(frozen=True, slots=True)
class Check:
    """One thing that must hold."""

    name: str
    holds: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DeploymentResult:
    """One deployment's figures; ``control_bytes`` is the mean of proxies over the whole run."""

    deployment: str
    processes: int
    calls: Summary
    lost: int
    run_twice: int
    changes: int
    convergence: Quantiles
    control_bytes: float
    control_bytes_per_second: float
    seconds: float
    checks: tuple[Check, ...]

    @property
    def holds(self) -> bool:
        """Return whether everything held that must."""
        return all(check.holds for check in self.checks)
