"""Steps for rollout orders sent to the platform's control process."""

from __future__ import annotations

import json

from behave import then, when
from platform_process_steps import call, wait_until

ROLLOUTS = "/v1/rollouts"
SERVICE = "alpha"


def order_rollout(context, target, seconds):
    order = {"service": SERVICE, "targetVersion": target, "durationS": seconds}
    return call(context.operator, "POST", ROLLOUTS, json.dumps(order).encode())[0]


def rollout_status(context):
    status, _, body = call(context.operator, "GET", f"{ROLLOUTS}/{SERVICE}")
    return json.loads(body) if status == 200 else None


@when('the platform\'s operator orders a rollout to "{target}" in {seconds:d} seconds')
def when_ordered(context, target, seconds):
    context.seconds = seconds
    assert order_rollout(context, target, seconds) == 200


@then('the control process reports the rollout to "{target}" as "{state}"')
def then_reported(context, target, state):
    wait_until(lambda: rollout_status(context) is not None, "the state is reported")
    assert rollout_status(context) == {"state": state, "targetVersion": target}


@when("the control process is killed and restarted")
def when_killed(context):
    control = context.machines[0]
    control.end()
    control.start()


@then('the same order is acknowledged, and one to "{other}" is answered {status:d}')
def then_again(context, other, status):
    assert order_rollout(context, "v2", context.seconds) == 200
    assert order_rollout(context, other, context.seconds) == status


@then('the rollout to "{target}" ends as "{state}"')
def then_ended(context, target, state):
    wanted = {"state": state, "targetVersion": target}
    wait_until(lambda: rollout_status(context) == wanted, f"the rollout is {state}")


INVALID_ORDERS = {
    "not an object": [],
    "no service": {"targetVersion": "v2", "durationS": 5},
    "no version": {"service": SERVICE, "durationS": 5},
    "zero duration": {"service": SERVICE, "targetVersion": "v2", "durationS": 0},
    "version with a space": {"service": SERVICE, "targetVersion": "v 2", "durationS": 5},
    "unknown service": {"service": "nobody", "targetVersion": "v2", "durationS": 5},
}


@then("these rollout orders are refused")
def then_refused(context):
    for row in context.table:
        order = json.dumps(INVALID_ORDERS[row["order"]]).encode()
        status = call(context.operator, "POST", ROLLOUTS, order)[0]
        assert status == int(row["status"]), (row["order"], status)
