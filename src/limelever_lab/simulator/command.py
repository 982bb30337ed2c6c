"""``limelever-lab simulate``: run seeds, print failures with what repeats them."""

from __future__ import annotations

from collections.abc import Sequence

import typer

from limelever_lab.simulator.break_table import first_failures, table_lines
from limelever_lab.simulator.breaks import BREAKS
from limelever_lab.simulator.deployments import DEPLOYMENTS
from limelever_lab.simulator.pool import DEFAULT_WORKERS, run_all, run_one
from limelever_lab.simulator.result import RunOrder, RunResult, describe_failure, summary
from limelever_lab.simulator.run import faults_of
from limelever_lab.simulator.shrink import shrink

DEFAULT_SEEDS = 100
USAGE_STATUS = 2
NO_FAULTS = "none"


def simulate(
    seeds: int = typer.Option(DEFAULT_SEEDS, min=1, help="How many seeds to run."),
    first: int = typer.Option(1, min=0, help="The first seed."),
    deployment: str = typer.Option("koszyk", help="koszyk or results."),
    broken: str = typer.Option("", "--break", help="Switch off one mechanism."),
    breaks: bool = typer.Option(False, "--breaks", help="Table: mechanism, first failing seed."),
    faults: str = typer.Option("", help="Positions of the faults to keep, or none."),
    workers: int = typer.Option(DEFAULT_WORKERS, min=1, help="Worker processes."),
    json: bool = typer.Option(False, "--json", help="One JSON line a seed."),
) -> None:
    """Run the shipped cores under virtual time and faults, from a seed."""
    if deployment not in DEPLOYMENTS or (broken and broken not in BREAKS):
        known = f"deployments {', '.join(DEPLOYMENTS)}; mechanisms {', '.join(BREAKS)}"
        typer.echo(f"unknown name; there are: {known}", err=True)
        raise typer.Exit(USAGE_STATUS)
    if breaks:
        raise typer.Exit(_print_breaks(seeds, first, deployment, workers))
    kept = _parse_kept(faults)
    orders = [RunOrder(seed, deployment, broken, kept) for seed in range(first, first + seeds)]
    results = _run_and_print(orders, workers, json)
    raise typer.Exit(0 if all(result.passed for result in results) else 1)


def _parse_kept(text: str) -> tuple[int, ...] | None:
    if not text:
        return None
    if text == NO_FAULTS:
        return ()
    try:
        return tuple(int(part) for part in text.split(","))
    except ValueError:
        typer.echo("--faults takes positions such as 0,1 or none", err=True)
        raise typer.Exit(USAGE_STATUS) from None


def _run_and_print(orders: Sequence[RunOrder], workers: int, json: bool) -> list[RunResult]:
    results = []
    for result in run_all(orders, workers):
        results.append(result)
        if json:
            typer.echo(result.as_json())
        elif not result.passed:
            _print_failure(result)
    if not json:
        _print_totals(results)
    return results


def _print_failure(result: RunResult) -> None:
    smallest = shrink(result, len(faults_of(result.order)), run_one)
    for line in describe_failure(result, smallest):
        typer.echo(line)


def _print_totals(results: Sequence[RunResult]) -> None:
    if len(results) == 1:
        only = results[0]
        for fault in only.faults:
            typer.echo(f"fault: {fault}")
        typer.echo(f"digest {only.digest}")
        typer.echo(f"figures {only.figures}")
    typer.echo(summary(results))


def _print_breaks(seeds: int, first: int, deployment: str, workers: int) -> int:
    """Print the table; the status is 1 when a broken mechanism was not noticed."""
    rows = first_failures(range(first, first + seeds), deployment, workers)
    for line in table_lines(rows):
        typer.echo(line)
    return int(any(row.seed is None for row in rows))
