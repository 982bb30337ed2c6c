"""Steps for retrying callers: the estimate of their prior wait, and their place in the queue."""

from __future__ import annotations

import random

from behave import given, then, when

from limelever.agent.group_queue import GroupQueue, QueuedCall
from limelever.agent.group_table import GroupTable
from limelever.agent.wait_estimator import WaitEstimator
from limelever.proxy.prior_waits import PriorWaitEstimator

ROUTE = "reads"
CALLS = 400
SEED = 11


@given(
    "callers of a route of whom {common:d} in 100 send a timeout of {timeout:d} ms, and the "
    "others a shorter one"
)
def given_callers(context, common, timeout):
    context.estimator = PriorWaitEstimator()
    random_source = random.Random(SEED)
    for _ in range(CALLS):
        is_common = random_source.randrange(100) < common
        milliseconds = timeout if is_common else random_source.randrange(1, timeout)
        context.estimator.observe(ROUTE, milliseconds / 1000)


@given(
    "callers of a route with timeouts of {least:d} to {most:d} ms, of whom {retrying:d} in 100 "
    "retry after a third of theirs"
)
def given_callers_with_timeouts(context, least, most, retrying):
    context.estimator = PriorWaitEstimator()
    random_source = random.Random(SEED)
    for _ in range(CALLS):
        milliseconds = random_source.randint(least, most)
        if random_source.randrange(100) < retrying:
            milliseconds = milliseconds * 2 // 3
        context.estimator.observe(ROUTE, milliseconds / 1000)


@when("{count:d} callers send a timeout of {timeout:d} ms")
def when_callers_send(context, count, timeout):
    for _ in range(count):
        context.estimator.observe(ROUTE, timeout / 1000)


@when("a caller sends a timeout of {timeout:d} ms")
def when_caller_sends(context, timeout):
    context.estimate = context.estimator.observe(ROUTE, timeout / 1000)


@then("its prior wait is estimated as {least:d} to {most:d} ms")
def then_estimate_between(context, least, most):
    assert least <= context.estimate * 1000 <= most, context.estimate


@then("its prior wait is estimated as {estimate:d} ms")
def then_estimate(context, estimate):
    assert round(context.estimate * 1000) == estimate, context.estimate


@given("a full queue of calls of {service:d} ms each, with an expected wait of {wait:d} ms")
def given_wait(context, service, wait):
    groups = GroupTable(1, 32)
    context.group = GroupQueue(ROUTE, 1)
    context.wait_estimator = WaitEstimator(6, groups)
    context.wait_estimator.observe(ROUTE, service / 1000)
    context.wait = wait / 1000


def is_refused(context, target):
    call = QueuedCall(1, ROUTE, 2.0, 0, 0.0, target)
    return context.wait_estimator.exceeds_wait_limit(context.group, call, 0.0, context.wait)


@then("a call with {target:d} ms to its latency target is queued")
def then_queued(context, target):
    assert not is_refused(context, target / 1000)


@then("a call past its latency target is refused")
def then_refused(context):
    assert is_refused(context, -0.1)
