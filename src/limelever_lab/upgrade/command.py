"""The ``upgrade`` command."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.fleet.probe import ProbedFleet
from limelever_lab.upgrade.run import Say, Upgrade, UpgradeResult
from limelever_lab.upgrade.worktree import earlier_code

DEPLOYMENT = "koszyk"
SEED_BITS = 32
FAILED_STATUS = 1


def upgrade(
    from_commit: Annotated[str, typer.Option("--from", help="Commit of the earlier build.")],
    seed: Annotated[int | None, typer.Option(help="Seed of the plan; drawn by default.")] = None,
    back: Annotated[bool, typer.Option(help="Go back to the earlier build afterwards.")] = True,
) -> None:
    """Replace an earlier build by this one, machine by machine and back, under calls and kills.

    Example: limelever-lab upgrade --from HEAD~1 --seed 7
    """
    drawn = secrets.randbits(SEED_BITS) if seed is None else seed
    result = run_upgrade(from_commit, drawn, back)
    if result.broken:
        raise typer.Exit(FAILED_STATUS)


def _replace_builds(run: Upgrade, code: Path, back: bool, say: Say) -> None:
    """Upgrade, go back, upgrade again, use the new feature, and take the readers back."""
    stages: list[tuple[str, Callable[[], UpgradeResult]]] = [
        ("to this build", lambda: run.run(None)),
        ("a drain of a zone", run.drain),
    ]
    if back:
        stages[1:1] = [
            ("back to the earlier build", lambda: run.run(code)),
            ("to this build again", lambda: run.run(None)),
        ]
        stages.append(("readers back", lambda: run.run(code, readers_only=True)))
    for name, stage in stages:
        if not run.result.broken:
            say(name)
            stage()


def run_upgrade(commit: str, seed: int, back: bool) -> UpgradeResult:
    """Run an upgrade on a fleet of its own, and print what it came to."""
    started = time.monotonic()

    def say(text: str) -> None:
        typer.echo(f"{time.monotonic() - started:6.1f} s  {text}")

    say(f"{DEPLOYMENT}, from {commit}, seed {seed}: starting")
    with earlier_code(commit) as code:
        fleet = ProbedFleet(DEPLOYMENT)
        try:
            for member in fleet.fleet.members:
                member.process.code = code
            fleet.start()
            run = Upgrade(fleet, seed, say)
            _replace_builds(run, code, back, say)
        finally:
            fleet.close()
    result = run.result
    for broken in result.broken:
        say(f"BROKEN: {broken}")
    say(
        f"{result.replaced} replaced, {result.kills} killed, {result.changes} changes, "
        f"{result.answered} calls answered, {result.snapshots} snapshots for {result.starts} "
        f"starts of readers, {len(result.broken)} broken"
    )
    return result
