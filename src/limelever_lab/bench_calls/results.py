"""What every experiment's result holds besides its figures: seed, code, machine, libraries."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from importlib.metadata import version
from pathlib import Path
from typing import Any

from limelever_lab.bench.machine import Machine, MachineLoad, machine_since

LIBRARIES = ("trio", "hypercorn", "httpcore", "h11", "protobuf")


@dataclass(frozen=True, slots=True)
class RunConditions:
    """Under which conditions a run was made."""

    experiment: str
    deployment: str
    seed: int
    libraries: dict[str, str]
    machine: Machine


def run_conditions(
    experiment: str, deployment: str, seed: int, before: MachineLoad
) -> RunConditions:
    """Return the conditions of a run that ends now and began under the load ``before``."""
    return RunConditions(
        experiment=experiment,
        deployment=deployment,
        seed=seed,
        libraries={name: version(name) for name in LIBRARIES},
        machine=machine_since(before),
    )


def write_result(path: Path, result: Any) -> None:
    """Write a result (a dataclass) as JSON, replacing the file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(asdict(result), indent=1) + "\n")
