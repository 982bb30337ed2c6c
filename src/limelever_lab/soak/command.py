"""The ``soak`` command."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.fleet.deployment import DEPLOYMENT_NAMES
from limelever_lab.fleet.probe import ProbedFleet
from limelever_lab.soak.run import Soak, SoakResult

KEPT_SEEDS_FILE = Path("etc") / "soak-seeds.txt"
KEPT_SECONDS = 60.0
FIELDS = 3
SEED_BITS = 32
FAILED_STATUS = 1


@dataclass(frozen=True, slots=True)
class KeptSeed:
    """A seed that failed once: its deployment, and the cause as far as it is known."""

    deployment: str
    seed: int
    cause: str


def read_kept_seeds(path: Path = KEPT_SEEDS_FILE) -> tuple[KeptSeed, ...]:
    """Return the seeds kept as regression cases; raises ``ValueError`` for a damaged line."""
    if not path.exists():
        return ()
    kept = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS:
            raise ValueError(f"{path}: not `deployment | seed | cause`: {line}")
        kept.append(KeptSeed(fields[0], int(fields[1]), fields[2]))
    return tuple(kept)


def soak(
    deployment: Annotated[str, typer.Option(help="Deployment whose fleet is soaked.")] = "koszyk",
    seconds: Annotated[float, typer.Option(min=1.0, help="How long rounds are begun.")] = 180.0,
    seed: Annotated[int | None, typer.Option(help="Seed of the plan; drawn by default.")] = None,
    kept: Annotated[bool, typer.Option(help="Run the seeds that failed once.")] = False,
) -> None:
    """Break a fleet of real processes at random under calls, and check what must hold."""
    if deployment not in DEPLOYMENT_NAMES:
        raise typer.BadParameter(f"one of {', '.join(DEPLOYMENT_NAMES)}")
    if kept:
        cases = [(each.deployment, each.seed, KEPT_SECONDS) for each in read_kept_seeds()]
    else:
        drawn = secrets.randbits(SEED_BITS) if seed is None else seed
        cases = [(deployment, drawn, seconds)]
    failed = [case for case in cases if run_soak(*case).broken]
    typer.echo(f"{len(cases) - len(failed)} passed, {len(failed)} failed")
    if failed:
        raise typer.Exit(FAILED_STATUS)


def run_soak(deployment: str, seed: int, seconds: float) -> SoakResult:
    """Run one soak on a fleet of its own, and print what it came to."""
    started = time.monotonic()

    def say(text: str) -> None:
        typer.echo(f"{time.monotonic() - started:6.1f} s  {text}")

    say(f"{deployment}, seed {seed}: starting")
    fleet = ProbedFleet(deployment)
    try:
        fleet.start()
        result = Soak(fleet, seed, say).run(seconds)
        for broken in result.broken:
            say(f"BROKEN: {broken}")
        if result.broken:
            say(f"logs are kept in {_keep_logs(fleet, deployment, seed)}")
    finally:
        fleet.close()
    say(
        f"{deployment}, seed {seed}: {result.rounds} rounds, {result.strikes} faults, "
        f"{result.changes} changes, {result.answered} calls answered, {len(result.broken)} broken"
    )
    return result


def _keep_logs(fleet: ProbedFleet, deployment: str, seed: int) -> Path:
    """Copy the logs of all processes out of the fleet's folder, which is removed."""
    folder = Path(f"soak-{deployment}-{seed}")
    folder.mkdir(exist_ok=True)
    for target in fleet.targets():
        log = target.process.log_file
        if log.exists():
            (folder / log.name).write_bytes(log.read_bytes())
    return folder
