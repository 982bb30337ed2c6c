"""Steps for the simulator's fixed seeds, its table of mechanisms and its reports of failures."""

from __future__ import annotations

import multiprocessing
import os
import sys
from unittest import mock

import typer
from behave import given, then, when
from behave.runner import Context
from typer.testing import CliRunner

from limelever_lab.simulator import command
from limelever_lab.simulator.break_table import first_failures, table_lines
from limelever_lab.simulator.checkers import Finding, Rule
from limelever_lab.simulator.faults import Fault, FaultKind
from limelever_lab.simulator.pairs import all_pairs, first_seeds_of_pairs
from limelever_lab.simulator.pool import HASH_SEED_VARIABLE, run_all
from limelever_lab.simulator.result import (
    RunFigures,
    RunOrder,
    RunResult,
    describe_failure,
    summary,
)
from limelever_lab.simulator.run import run_order
from limelever_lab.simulator.shrink import shrink

WORKERS = max(1, min(3, os.cpu_count() or 1))


def show(line: str) -> None:
    """Print a figure that is to be seen in a passing run, which captures the standard output."""
    print(f"      {line}", file=sys.__stdout__, flush=True)


def run_seeds(first: int, last: int, deployment: str) -> list[RunResult]:
    orders = [RunOrder(seed, deployment) for seed in range(first, last + 1)]
    return list(run_all(orders, WORKERS))


@when('the simulator runs seeds {first:d} to {last:d} of "{deployment}"')
def run_fixed_seeds(context: Context, first: int, last: int, deployment: str) -> None:
    context.deployment = deployment
    context.results = run_seeds(first, last, deployment)
    show(f"{deployment}: {summary(context.results)}")


@when(
    'the simulator runs the first seed of "{deployment}" that draws each pair of faults, '
    "past seed {last:d}"
)
def run_pairs(context: Context, deployment: str, last: int) -> None:
    context.pairs = first_seeds_of_pairs(deployment)
    seeds = sorted(seed for seed in context.pairs.values() if seed > last)
    context.results = list(run_all([RunOrder(seed, deployment) for seed in seeds], WORKERS))
    show(f"{deployment}, pairs of faults: {summary(context.results)}")


@then("every pair of faults was drawn, here or in seeds {first:d} to {last:d}")
def all_pairs_drawn(context: Context, first: int, last: int) -> None:
    run = {result.order.seed for result in context.results} | set(range(first, last + 1))
    drawn = {pair for pair, seed in context.pairs.items() if seed in run}
    assert drawn == all_pairs(), all_pairs() - drawn


@then("no seed broke a rule")
def no_rule_broken(context: Context) -> None:
    failed = [result for result in context.results if not result.passed]
    lines = [line for result in failed for line in describe_failure(result, result)]
    assert not failed, "\n".join(lines)


@then("the seeds drew every kind of fault")
def all_kinds_drawn(context: Context) -> None:
    drawn = {fault.kind for result in context.results for fault in result.faults}
    assert drawn == set(FaultKind), set(FaultKind) - drawn


@then("seeds {first:d} to {last:d} give the same digests when they run again")
def same_digests(context: Context, first: int, last: int) -> None:
    again = {r.order.seed: r.digest for r in run_seeds(first, last, context.deployment)}
    before = {r.order.seed: r.digest for r in context.results if r.order.seed in again}
    assert len(set(before.values())) == last - first + 1, "different seeds share a digest"
    assert again == before


def digests_under(hash_seed: int, orders: list[RunOrder]) -> list[str]:
    """Run ``orders`` in one process of its own, past the pool, which fixes the hash seed."""
    with mock.patch.dict(os.environ, {HASH_SEED_VARIABLE: str(hash_seed)}):
        pool = multiprocessing.get_context("spawn").Pool(1)
    with pool:
        return [result.digest for result in pool.map(run_order, orders)]


@when(
    'seeds {first:d} to {last:d} of "{deployment}" run in processes '
    "of the hash seeds {one:d} and {other:d}"
)
def run_under_hash_seeds(
    context: Context, first: int, last: int, deployment: str, one: int, other: int
) -> None:
    orders = [RunOrder(seed, deployment) for seed in range(first, last + 1)]
    context.digests = [digests_under(hash_seed, orders) for hash_seed in (one, other)]


@then("both processes give the same digests")
def same_under_hash_seeds(context: Context) -> None:
    one, other = context.digests
    assert len(set(one)) == len(one) > 1, "different seeds share a digest"
    assert one == other


@when('each mechanism of "{deployment}" is switched off over seeds {first:d} to {last:d}')
def switch_off_each(context: Context, deployment: str, first: int, last: int) -> None:
    context.rows = first_failures(range(first, last + 1), deployment, WORKERS)
    for line in table_lines(context.rows):
        show(line)


@then("every mechanism has a failing seed")
def all_noticed(context: Context) -> None:
    missed = [row.name for row in context.rows if row.seed is None]
    assert context.rows
    assert not missed, missed


def invoke(arguments: str) -> tuple[int, str]:
    application = typer.Typer()
    application.command()(command.simulate)
    result = CliRunner().invoke(application, [*arguments.split(), "--workers", "1"])
    return result.exit_code, result.output


@when('the simulator command runs with "{arguments}"')
def run_command(context: Context, arguments: str) -> None:
    context.status, context.output = invoke(arguments)


@then("its exit status is {status:d}")
def exit_status_is(context: Context, status: int) -> None:
    assert context.status == status, context.output


@then('it prints "{text}"')
def prints(context: Context, text: str) -> None:
    assert text in context.output, context.output


def findings_in(output: str) -> list[str]:
    return [line for line in output.splitlines() if line.startswith("  finding: ")]


@then("the command that it prints fails with the same findings")
def command_repeats(context: Context) -> None:
    [line] = [line for line in context.output.splitlines() if "repeat: " in line]
    arguments = line.partition("limelever-lab simulate ")[2]
    status, output = invoke(arguments)
    assert status == 1, output
    assert findings_in(output) == findings_in(context.output) != []


@given("a run of three faults that fails whenever fault {needed} strikes")
def failing_run(context: Context, needed: str) -> None:
    faults = tuple(Fault(FaultKind.HERD_DEATH, 8.0 + number, 1.0) for number in range(3))
    required = set() if needed == "none" else {int(part) for part in needed.split(" and ")}

    def run(order: RunOrder) -> RunResult:
        kept = range(3) if order.kept is None else order.kept
        failed = required <= set(kept)
        findings = (Finding(Rule.NOT_IN_FORCE, 20.0, "proxy", "detail"),) if failed else ()
        struck = tuple(faults[position] for position in kept)
        return RunResult(order, "", struck, findings, RunFigures())

    context.run = run


@when("the simulated failure is shrunk")
def shrink_failure(context: Context) -> None:
    context.shrunk = shrink(context.run(RunOrder(1)), 3, context.run)


@then('the faults kept are "{kept}"')
def faults_kept(context: Context, kept: str) -> None:
    assert not context.shrunk.passed
    assert context.shrunk.order.command.endswith(f"--faults {kept}")
