"""Steps for orders of rollouts on the platform's processes."""

from __future__ import annotations

import json

from behave import then, when
from platform_process_steps import call, wait_until

ROLLOUTS = "/v1/rollouts"
SERVICE = "alpha"


def ask(context, target, seconds):
    order = {"service": SERVICE, "targetVersion": target, "durationS": seconds}
    return call(context.operator, "POST", ROLLOUTS, json.dumps(order).encode())[0]


def told(context):
    status, _, body = call(context.operator, "GET", f"{ROLLOUTS}/{SERVICE}")
    return json.loads(body) if status == 200 else None


@when('the platform\'s operator orders a rollout to "{target}" in {seconds:d} seconds')
def when_ordered(context, target, seconds):
    context.seconds = seconds
    assert ask(context, target, seconds) == 200


@then('the platform\'s operator is told that the rollout to "{target}" is "{state}"')
def then_told(context, target, state):
    wait_until(lambda: told(context) is not None, "the state is told")
    assert told(context) == {"state": state, "targetVersion": target}


@when("the control process is killed and started again")
def when_killed(context):
    control = context.machines[0]
    control.end()
    control.start()


@then('the same order is acknowledged, and one to "{other}" is answered {status:d}')
def then_again(context, other, status):
    assert ask(context, "v2", context.seconds) == 200
    assert ask(context, other, context.seconds) == status


@then('within its time the rollout to "{target}" is "{state}"')
def then_ended(context, target, state):
    wanted = {"state": state, "targetVersion": target}
    wait_until(lambda: told(context) == wanted, f"the rollout is {state}")


ORDERS = {
    "no object": [],
    "without a service": {"targetVersion": "v2", "durationS": 5},
    "without a version": {"service": SERVICE, "durationS": 5},
    "of no time": {"service": SERVICE, "targetVersion": "v2", "durationS": 0},
    "of a version with a space": {"service": SERVICE, "targetVersion": "v 2", "durationS": 5},
    "of a service not known": {"service": "nobody", "targetVersion": "v2", "durationS": 5},
}


@then("these orders of rollouts are refused")
def then_flawed(context):
    for row in context.table:
        order = json.dumps(ORDERS[row["flaw"]]).encode()
        status = call(context.operator, "POST", ROLLOUTS, order)[0]
        assert status == int(row["status"]), (row["flaw"], status)
