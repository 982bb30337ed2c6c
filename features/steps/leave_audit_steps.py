"""Steps for the soak's check of acknowledged leaves: requests with a known verdict."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from leave_audit import LeaveAudit, LeavingRun
from stating_instances import Arrival
from strike_log import KILL, StrikeLog

REQUEST, HOME = "0001", "sidecar-2"


def given_run(context: Context, acknowledged_at: float | None, node: str) -> None:
    context.run = LeavingRun("i-1", node, said_at=0.0, acknowledged_at=acknowledged_at)
    context.now = 0.0
    context.strikes = StrikeLog(lambda: context.now)
    context.audit = LeaveAudit([context.run], {REQUEST: HOME}, context.strikes)


def strike(context: Context, name: str, at: float) -> None:
    context.now = at
    role = "control" if name.startswith("core") else "node"
    machine = SimpleNamespace(name=name, role=role)
    context.strikes.note(machine, KILL)
    context.strikes.unplanned_over(machine)


@given('an instance whose leave was acknowledged at 0 s by "{node}"')
def given_acknowledged(context: Context, node: str) -> None:
    given_run(context, 0.0, node)


@given('an instance that says at 0 s that it leaves, which "{node}", {state}, does not acknowledge')
def given_unacknowledged(context: Context, node: str, state: str) -> None:
    given_run(context, None, node)
    context.run.node_was_ready = state == "ready"


@when(
    '"{node}" is struck at {struck:g} s, and a request of "{home}" reaches the instance at {at:g} s'
)
def reaches(context: Context, node: str, struck: float, home: str, at: float) -> None:
    assert home == HOME
    if node != "none":
        strike(context, node, struck)
    context.run.arrivals.append(Arrival(at, REQUEST))


@when('"{machine}" is struck at {struck:g} s')
def is_struck(context: Context, machine: str, struck: float) -> None:
    strike(context, machine, struck)


@then("the check of the leave says {verdict}")
def check_leave(context: Context, verdict: str) -> None:
    check(context.audit.arrived_late(), verdict)


@then("the check of the acknowledgements says {verdict}")
def check_acknowledgements(context: Context, verdict: str) -> None:
    check(context.audit.not_acknowledged(), verdict)


def check(found: list[str], verdict: str) -> None:
    if verdict == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and verdict.strip('"') in found[0], found
