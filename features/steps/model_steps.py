"""Steps for the feature on model checking."""

import json
import sys
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

import typer
from behave import given, then, when
from typer.testing import CliRunner

from limelever_lab.model import checker, command
from limelever_lab.model.catalogue import MODELS
from limelever_lab.model.checker import Verdict
from limelever_lab.model.specification import Model, Specification, Step, Variant

COUNTER_LIMIT = 3
SMALL_MAXIMUM = 2


class Counter(NamedTuple):
    """State of the smallest model: a number that counts up to a limit."""

    number: int


def count(state: Counter) -> Iterator[Step[Counter]]:
    if state.number < COUNTER_LIMIT:
        yield Step("count", Counter(state.number + 1))


def counter_model(violated_in: set[str | None], witness: int = COUNTER_LIMIT) -> Model:
    def build(variant: str | None) -> Specification[Counter]:
        limit = COUNTER_LIMIT - (variant in violated_in)
        return Specification(
            name="counter",
            initial=Counter(0),
            steps=count,
            invariants={"within limit": lambda state: state.number <= limit},
            witnesses={"witness": lambda state: state.number == witness},
        )

    return Model("counter", "", build, (Variant("broken", "counts too far"),))


COUNTER_MODELS = {
    "true protocol has a violation": counter_model({None, "broken"}),
    "broken variant is not refuted": counter_model(set()),
    "witness is never reached": counter_model({"broken"}, witness=COUNTER_LIMIT + 1),
    "state space exceeds the maximum": counter_model({"broken"}),
}


def model_named(name: str) -> Model:
    return next(model for model in MODELS if model.name == name)


def print_past_capture(line: str) -> None:
    """Print a figure that is to be seen in a passing run, which captures the standard output."""
    print(f"      {line}", file=sys.__stdout__, flush=True)


def application() -> typer.Typer:
    application = typer.Typer()
    application.command()(command.check_model)
    return application


@when('the model "{model}" is checked')
def check_true_protocol(context: Any, model: str) -> None:
    context.result = checker.check(model_named(model))


@when('the model "{model}" is checked in the variant "{variant}"')
def check_variant(context: Any, model: str, variant: str) -> None:
    context.result = checker.check(model_named(model), variant)


@then("it holds in every state explored")
def holds(context: Any) -> None:
    result = context.result
    print_past_capture(f"{result.model}: {result.states} states, {result.cpu_seconds:.1f} s of CPU")
    assert result.verdict is Verdict.HOLDS, result


@then("every situation the model must reach was reached")
def witnesses_seen(context: Any) -> None:
    assert context.result.unseen_witnesses == (), context.result.unseen_witnesses


@then('the invariant "{invariant}" is refuted by a counterexample')
def refuted(context: Any, invariant: str) -> None:
    result = context.result
    print_past_capture(f"{result.model}, {result.variant}: " + ", ".join(result.counterexample))
    assert result.verdict is Verdict.VIOLATED, result
    assert result.invariant == invariant, result
    assert result.counterexample, result


@then("the examples of this feature name every model and every variant")
def examples_are_complete(context: Any) -> None:
    rows = [
        row.as_dict()
        for scenario in context.feature.scenarios
        for examples in getattr(scenario, "examples", [])
        for row in examples.table.rows
    ]
    models = {row["model"] for row in rows if "model" in row and "variant" not in row}
    variants = {(row["model"], row["variant"]) for row in rows if "variant" in row}
    assert models == {model.name for model in MODELS}, models
    assert variants == {
        (model.name, variant.name) for model in MODELS for variant in model.variants
    }, variants


@given('a model whose "{fault}"')
def faulty_model(context: Any, fault: str) -> None:
    context.model = COUNTER_MODELS[fault]
    context.maximum = SMALL_MAXIMUM if fault.startswith("state space") else checker.MAX_STATES


@when("check-model is run on that model")
def run_on_model(context: Any) -> None:
    with (
        mock.patch.object(command, "MODELS", (context.model,)),
        mock.patch.object(checker, "MAX_STATES", context.maximum),
    ):
        context.outcome = CliRunner().invoke(application(), [])


@when('check-model is run with "{arguments}"')
def run_command(context: Any, arguments: str) -> None:
    context.outcome = CliRunner().invoke(application(), arguments.split())
    if "--json" in arguments:
        json.loads(context.outcome.stdout)


@then("its exit code is {exit_code:d}")
def exit_code_is(context: Any, exit_code: int) -> None:
    print(context.outcome.output)
    assert context.outcome.exit_code == exit_code, context.outcome
