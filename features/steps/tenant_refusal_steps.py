"""Steps for calls that a proxy refuses by their tenants' limits."""

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


def limited(name: str, rate: float):
    made = tenant(name, f"{name}-key")
    made.resource.tenant.rate_per_s = made.resource.tenant.burst = rate
    return made


def tell(context: Context, news: LimitNews) -> None:
    context.proxy.core._take_limit_news(LimitNewsReceived(news), context.proxy.now)


@given('a proxy whose tenants "north" and "south" may make {rate:d} calls a second each')
def given_limited(context: Context, rate: int) -> None:
    context.proxy = TenantProxy((limited("north", rate), limited("south", rate)))
    tell(context, LimitNews(proxies=1))


@when('its relay tells it to let in nothing of "{name}"')
def tell_nothing_in(context: Context, name: str) -> None:
    tell(context, LimitNews(proxies=1, tenants=[tenant_hash(name)], permille=[0]))


@when("its relay tells it of no tenant")
def tell_of_none(context: Context) -> None:
    tell(context, LimitNews(proxies=1))


@when('the limit of "{name}" is taken away')
def limit_away(context: Context, name: str) -> None:
    context.proxy.change([limited(name, 0)])


@then('the call is answered by 429, not run, and counted for "{name}"')
def answered_429(context: Context, name: str) -> None:
    (answered,) = context.proxy.answers
    refusal = answered.answer
    assert isinstance(refusal, Failure) and refusal.kind is ErrorKind.RATE_LIMITED
    assert refusal.answer.http_status == 429 and refusal.outcome is Outcome.NOT_RUN
    counter = metrics.LIMITED.labels(name)
    before = counter.value
    metrics.count_answer(answered)
    assert counter.value == before + 1


@given("the limit of {calls:d} calls in a window at a proxy that hears of no other")
def given_alone(context: Context, calls: int) -> None:
    rules = LimitRules(over=0.0, slack=0.0)
    context.tenant = TenantEntry("north", 0, calls / rules.window, 0.0)
    context.limits = TenantLimits(rules, random.Random(1))
    context.limits.set_tenants({"north": context.tenant})
    context.limits.set_node_count(1)
    context.admitted = 0


def let_in(context: Context, calls: int, run: bool) -> None:
    for _ in range(calls):
        admitted = context.limits.admit(context.tenant, NOW) is None
        context.admitted += admitted
        if admitted and not run:
            context.limits.refund("north", NOW, NOW)


@when("it is asked for {calls:d} calls that are all not run")
def let_in_not_run(context: Context, calls: int) -> None:
    let_in(context, calls, run=False)


@when("it is asked for {calls:d} calls that are all run")
def let_in_run(context: Context, calls: int) -> None:
    let_in(context, calls, run=True)


@then("it has let {calls:d} calls in")
def has_let_in(context: Context, calls: int) -> None:
    assert context.admitted == calls, context.admitted


@then("it refuses the next one")
def refuses_next(context: Context) -> None:
    refusal = context.limits.admit(context.tenant, NOW)
    assert refusal is not None and refusal.kind is ErrorKind.RATE_LIMITED
    assert refusal.retry_after > 0 and "north" in refusal.reason


@given("a tenant that asks for twice what its relay lets in")
def given_halved(context: Context) -> None:
    context.tenant = TenantEntry("north", 0, 50.0, 50.0)
    context.limits = TenantLimits(LimitRules(), random.Random(1))
    context.limits.set_tenants({"north": context.tenant})
    context.now = NOW
    context.news = LimitNews(proxies=1, tenants=[tenant_hash("north")], permille=[500])
    context.limits.apply_news(context.news, NOW)


@when("for {seconds:d} seconds each fresh call is followed by one that comes back late")
def ask_fresh_and_late(context: Context, seconds: int) -> None:
    context.fresh = context.let_in_fresh = context.let_in_late = 0
    for index in range(seconds * 100):
        context.now = NOW + index / 100
        if index % 20 == 0:
            context.limits.apply_news(context.news, context.now)
        context.fresh += 1
        fresh = context.limits.admit(context.tenant, context.now)
        late = context.limits.admit(context.tenant, context.now, is_late=True)
        context.let_in_fresh += fresh is None
        context.let_in_late += late is None


@then("half of the fresh calls are let in, and none that comes back late")
def check_fresh_first(context: Context) -> None:
    assert 0.4 <= context.let_in_fresh / context.fresh <= 0.5, context.let_in_fresh
    assert context.let_in_late == 0, context.let_in_late


@when("its relay tells that there is room again")
def tell_room(context: Context) -> None:
    context.limits.apply_news(LimitNews(proxies=1), context.now)


@then("a call that comes back late is let in")
def check_late_let_in(context: Context) -> None:
    assert context.limits.admit(context.tenant, context.now, is_late=True) is None
