"""What every experiment's result holds besides its figures: seed, machine, load, libraries."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from dataclasses import asdict, dataclass
from importlib.metadata import version
from pathlib import Path
from typing import Any

LIBRARIES = ("trio", "hypercorn", "httpcore", "h11", "protobuf")


@dataclass(frozen=True, slots=True)
class MachineState:
    """Processors and load averages (1, 5 and 15 minutes) at one moment."""

    processors: int
    load: tuple[float, float, float]


@dataclass(frozen=True, slots=True)
class RunConditions:
    """Under which conditions a run was made.

    ``uncommitted_changes`` tells that the product differed from ``commit`` when it ran.
    """

    experiment: str
    deployment: str
    seed: int
    commit: str
    uncommitted_changes: bool
    python: str
    libraries: dict[str, str]
    before: MachineState
    after: MachineState


def machine_state() -> MachineState:
    """Return the state of the machine now."""
    return MachineState(os.cpu_count() or 1, os.getloadavg())


def run_conditions(
    experiment: str, deployment: str, seed: int, before: MachineState
) -> RunConditions:
    """Return the conditions of a run that ends now and began in state ``before``."""
    return RunConditions(
        experiment=experiment,
        deployment=deployment,
        seed=seed,
        commit=_git("rev-parse", "HEAD").strip(),
        uncommitted_changes=bool(_git("status", "--porcelain", "--", "src/limelever").strip()),
        python=platform.python_version(),
        libraries={name: version(name) for name in LIBRARIES},
        before=before,
        after=machine_state(),
    )


def _git(*words: str) -> str:
    """Return what git prints; nothing outside of a working tree."""
    root = Path(__file__).parents[3]
    completed = subprocess.run(("git", "-C", str(root), *words), capture_output=True, text=True)
    return completed.stdout if completed.returncode == 0 else ""


def write_result(path: Path, result: Any) -> None:
    """Write a result (a dataclass) as JSON, replacing the file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(asdict(result), indent=1) + "\n")
