"""Steps for callers that come back: how long they had waited, and what room they get."""

from __future__ import annotations

import random

from behave import given, then, when

from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.wait_estimate import WaitEstimate
from limelever.proxy.prior_waits import PriorWaitEstimator

ROUTE = "reads"
CALLS = 400
SEED = 11


@given(
    "callers of a route of whom {usual:d} in 100 name {named:d} ms, and the others any time below"
)
def given_callers(context, usual, named):
    context.waits = PriorWaitEstimator()
    drawn = random.Random(SEED)
    for _ in range(CALLS):
        fresh = drawn.randrange(100) < usual
        milliseconds = named if fresh else drawn.randrange(1, named)
        context.waits.observe(ROUTE, milliseconds / 1000)


@given(
    "callers of a route with a patience of {least:d} to {most:d} ms, of whom {back:d} in 100 come "
    "back after a third of it"
)
def given_patient_callers(context, least, most, back):
    context.waits = PriorWaitEstimator()
    drawn = random.Random(SEED)
    for _ in range(CALLS):
        milliseconds = drawn.randint(least, most)
        if drawn.randrange(100) < back:
            milliseconds = milliseconds * 2 // 3
        context.waits.observe(ROUTE, milliseconds / 1000)


@when("{count:d} callers name {named:d} ms")
def when_callers_name(context, count, named):
    for _ in range(count):
        context.waits.observe(ROUTE, named / 1000)


@when("a caller names {named:d} ms")
def when_caller_names(context, named):
    context.waited = context.waits.observe(ROUTE, named / 1000)


@then("it is taken to have waited for {least:d} to {most:d} ms")
def then_waited_about(context, least, most):
    assert least <= context.waited * 1000 <= most, context.waited


@then("it is taken to have waited for {waited:d} ms")
def then_waited(context, waited):
    assert round(context.waited * 1000) == waited, context.waited


@given(
    "a queue full of calls of {service:d} ms, in which a fresh call would have to wait for "
    "{wait:d} ms"
)
def given_wait(context, service, wait):
    groups = GroupTable(1, 32)
    context.group = GroupQueue(ROUTE, 1)
    context.estimate = WaitEstimate(6, groups)
    context.estimate.observe(ROUTE, service / 1000)
    context.wait = wait / 1000


def is_refused(context, target):
    call = QueuedCall(1, ROUTE, 2.0, 0, 0.0, target)
    return context.estimate.is_too_long(context.group, call, 0.0, context.wait)


@then("a call whose target is {target:d} ms away is taken")
def then_taken(context, target):
    assert not is_refused(context, target / 1000)


@then("a call whose target is past is refused")
def then_refused(context):
    assert is_refused(context, -0.1)
