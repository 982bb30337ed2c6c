"""Steps for calls that a proxy refuses because of their tenants' rate limits."""

from __future__ import annotations

import random

from behave import given, then, when
from behave.runner import Context
from tenant_proxy import TenantProxy, tenant

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.limits.rules import LimitRules
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.limits_pb2 import LimitNews
from limelever.proxy import metrics
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import TenantEntry
from limelever.subscriber.notices import LimitNewsReceived

NOW = 100.0


def limited_tenant(name: str, rate: float):
    made = tenant(name, f"{name}-key")
    made.resource.tenant.rate_per_s = made.resource.tenant.burst = rate
    return made


def send_news(context: Context, news: LimitNews) -> None:
    context.proxy.core._handle_limit_news(LimitNewsReceived(news), context.proxy.now)


@given('a proxy whose tenants "north" and "south" have a limit of {rate:d} calls a second each')
def given_limited(context: Context, rate: int) -> None:
    context.proxy = TenantProxy((limited_tenant("north", rate), limited_tenant("south", rate)))
    send_news(context, LimitNews(proxies=1))


@when('its relay tells it to admit no calls of "{name}"')
def admit_none(context: Context, name: str) -> None:
    send_news(context, LimitNews(proxies=1, tenants=[tenant_hash(name)], permille=[0]))


@when("its relay reports no tenant near its limit")
def report_no_tenant(context: Context) -> None:
    send_news(context, LimitNews(proxies=1))


@when('the limit of "{name}" is removed')
def remove_limit(context: Context, name: str) -> None:
    context.proxy.change([limited_tenant(name, 0)])


@then('the call is answered with status 429, is not run, and is counted for "{name}"')
def answered_429(context: Context, name: str) -> None:
    (answered,) = context.proxy.answers
    refusal = answered.answer
    assert isinstance(refusal, Failure) and refusal.kind is ErrorKind.RATE_LIMITED
    assert refusal.answer.http_status == 429 and refusal.outcome is Outcome.NOT_RUN
    counter = metrics.LIMITED_CALLS.labels(name)
    before = counter.value
    metrics.count_answer(answered)
    assert counter.value == before + 1


@given("a proxy that gets no relay updates, with a limit of {calls:d} calls per window")
def given_no_updates(context: Context, calls: int) -> None:
    rules = LimitRules(excess=0.0, slack=0.0)
    context.tenant = TenantEntry("north", 0, calls / rules.window, 0.0)
    context.limits = TenantLimits(rules, random.Random(1))
    context.limits.set_tenants({"north": context.tenant})
    context.limits.set_node_count(1)
    context.admitted = 0


def send_calls(context: Context, calls: int, run: bool) -> None:
    for _ in range(calls):
        admitted = context.limits.admit(context.tenant, NOW) is None
        context.admitted += admitted
        if admitted and not run:
            context.limits.refund("north", NOW, NOW)


@when("the proxy gets {calls:d} calls that are then not run")
def send_calls_not_run(context: Context, calls: int) -> None:
    send_calls(context, calls, run=False)


@when("the proxy gets {calls:d} calls that are then run")
def send_calls_run(context: Context, calls: int) -> None:
    send_calls(context, calls, run=True)


@then("the proxy has admitted {calls:d} calls")
def has_admitted(context: Context, calls: int) -> None:
    assert context.admitted == calls, context.admitted


@then("the proxy refuses the next call")
def refuses_next(context: Context) -> None:
    refusal = context.limits.admit(context.tenant, NOW)
    assert refusal is not None and refusal.kind is ErrorKind.RATE_LIMITED
    assert refusal.retry_after > 0 and "north" in refusal.reason


@given("a tenant that sends twice as many calls as its relay admits")
def given_half_admitted(context: Context) -> None:
    context.tenant = TenantEntry("north", 0, 50.0, 50.0)
    context.limits = TenantLimits(LimitRules(), random.Random(1))
    context.limits.set_tenants({"north": context.tenant})
    context.now = NOW
    context.news = LimitNews(proxies=1, tenants=[tenant_hash("north")], permille=[500])
    context.limits.apply_news(context.news, NOW)


@when("for {seconds:d} seconds each first request is followed by a late retry")
def send_first_requests_and_retries(context: Context, seconds: int) -> None:
    context.first_requests = context.admitted_first_requests = context.admitted_late_retries = 0
    for index in range(seconds * 100):
        context.now = NOW + index / 100
        if index % 20 == 0:
            context.limits.apply_news(context.news, context.now)
        context.first_requests += 1
        first = context.limits.admit(context.tenant, context.now)
        late = context.limits.admit(context.tenant, context.now, is_late=True)
        context.admitted_first_requests += first is None
        context.admitted_late_retries += late is None


@then("half of the first requests are admitted, and no late retry")
def check_first_requests(context: Context) -> None:
    assert 0.4 <= context.admitted_first_requests / context.first_requests <= 0.5, (
        context.admitted_first_requests
    )
    assert context.admitted_late_retries == 0, context.admitted_late_retries


@when("its relay reports that no tenant is near its limit any more")
def report_no_tenant_near_limit(context: Context) -> None:
    context.limits.apply_news(LimitNews(proxies=1), context.now)


@then("a late retry is admitted")
def check_late_admitted(context: Context) -> None:
    assert context.limits.admit(context.tenant, context.now, is_late=True) is None
