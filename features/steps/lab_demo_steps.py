"""Steps that prove what the demonstration calls a failure."""

from dataclasses import replace

from behave import given, then

from limelever_lab.demo.added_time import AddedTime
from limelever_lab.demo.result import ControlBytes, DeploymentResult, PlannedStops, exit_status
from limelever_lab.demo.table import render
from limelever_lab.fleet.version_watch import Reversion
from limelever_lab.load.audit import Audit
from limelever_lab.load.outcomes import Fate, Summary, quantiles

SHORT = quantiles([0.01])
HELD = DeploymentResult(
    deployment="koszyk",
    processes=35,
    calls=Summary({Fate.ANSWERED: 100}, {}, SHORT),
    audit=Audit(lost=(), answered_not_run=(), refused_but_ran=(), run_twice=(), mismatched=()),
    reversions=(),
    changes=20,
    convergence=SHORT,
    added_time=AddedTime(SHORT, SHORT),
    control_bytes=ControlBytes(1000.0, 10.0),
    stops=PlannedStops({"proxy": 0}, 0),
    seconds=50.0,
)
CALL = ("call",)
FINDINGS = {
    "a lost call": {"audit": replace(HELD.audit, lost=CALL)},
    "an answered call without run": {"audit": replace(HELD.audit, answered_not_run=CALL)},
    "a call run twice": {"audit": replace(HELD.audit, run_twice=CALL)},
    "a refused call that ran": {"audit": replace(HELD.audit, refused_but_ran=CALL)},
    "a foreign answer": {"audit": replace(HELD.audit, mismatched=CALL)},
    "a version that went back": {"reversions": (Reversion("proxy", 5, 4),)},
    "slow convergence": {"convergence": quantiles([0.01, 10.5])},
    "a cut attempt": {"stops": PlannedStops({"proxy": 0}, 1)},
    "a stop with status 1": {"stops": PlannedStops({"proxy": 1}, 0)},
    "no answered call": {"calls": Summary({Fate.REFUSED: 100}, {}, SHORT)},
}


@given("a demonstration of one deployment in which everything held")
def step_held(context):
    context.results = [HELD]
    context.expected = 1


@given("{what} was found")
def step_found(context, what):
    context.results = [replace(HELD, **FINDINGS[what])]


@given("another deployment gave no result")
def step_no_result(context):
    context.expected = 2


@then("the demonstration's exit status is {status:d}")
def step_status(context, status):
    assert exit_status(context.results, context.expected) == status, context.results


@then('its table says "{text}"')
def step_table(context, text):
    assert text in render(context.results), render(context.results)
