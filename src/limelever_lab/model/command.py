"""The console command ``limelever-lab check-model``."""

import dataclasses
import json
from collections.abc import Sequence
from typing import Annotated

import typer

from limelever_lab.model.catalogue import MODELS
from limelever_lab.model.checker import CheckResult, check_all

TRUE_PROTOCOL = "-"
ROW = "{:<16} {:<24} {:>9} {:<12} {:>14} {:>8}"
HEADINGS = ("model", "variant", "states", "verdict", "counterexample", "cpu s")


def check_model(
    json_output: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    variant: Annotated[
        str | None, typer.Option("--variant", help="Check only this broken variant.")
    ] = None,
) -> None:
    """Check the core protocol's models, and that every broken variant is refuted."""
    results = check_all(MODELS, variant)
    if not results:
        raise typer.BadParameter(f"no model has a variant named {variant!r}")
    typer.echo(as_json(results) if json_output else as_table(results))
    if not all(result.as_expected for result in results):
        raise typer.Exit(code=1)


def as_table(results: Sequence[CheckResult]) -> str:
    """Return one line per check; a counterexample is given by its length in steps."""
    rows = [ROW.format(*HEADINGS)]
    rows.extend(ROW.format(*_cells(result)) for result in results)
    rows.extend(_unexpected(result) for result in results if not result.as_expected)
    return "\n".join(rows)


def as_json(results: Sequence[CheckResult]) -> str:
    """Return every result with its counterexample in full."""
    documents = []
    for result in results:
        document = dataclasses.asdict(result)
        document["verdict"] = result.verdict.value
        document["as_expected"] = result.as_expected
        documents.append(document)
    return json.dumps(documents, indent=2)


def _cells(result: CheckResult) -> tuple[str, ...]:
    return (
        result.model,
        result.variant or TRUE_PROTOCOL,
        str(result.states),
        result.verdict.value,
        str(len(result.counterexample)) if result.counterexample else TRUE_PROTOCOL,
        f"{result.cpu_seconds:.2f}",
    )


def _unexpected(result: CheckResult) -> str:
    """Explain a check that did not come out as it must."""
    lines = [f"\nUNEXPECTED: {result.model} {result.variant or 'true protocol'}"]
    lines.append(f"  verdict: {result.verdict.value}; invariant: {result.invariant}")
    lines.extend(f"  never reached: {name}" for name in result.unseen_witnesses)
    lines.extend(f"  {number}. {label}" for number, label in enumerate(result.counterexample, 1))
    return "\n".join(lines)
