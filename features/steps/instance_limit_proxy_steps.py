"""Steps for proxies whose instances state limits and leaves."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from proxy_harness import ProxyHarness, agent_endpoints
from stated_fleet import StatedFleet

from limelever.common.errors import ErrorKind, Outcome
from limelever.common.sansio import MessageReceived, Purpose
from limelever.protocol.calls_pb2 import AgentLoad, CallFailed, ResponseStart
from limelever.protocol.endpoints_pb2 import EndpointUpdate
from limelever.proxy import events

SETTLE_SECONDS = 2.0
RETRY_MS = 700


@given("{count:d} instances, of which {limited:d} states a limit of {limit:g} a second")
def given_fleet(context: Context, count: int, limited: int, limit: float) -> None:
    context.limited, context.limit = limited, limit
    context.fleet = StatedFleet([limit] * limited + [None] * (count - limited))
    context.fleet.offer(100.0, SETTLE_SECONDS)


@when("{proxies:d} proxies send {rate:g} calls a second for {seconds:g} seconds")
def offer(context: Context, proxies: int, rate: float, seconds: float) -> None:
    fleet = context.fleet
    assert proxies == len(fleet.balancers)
    context.since, context.seconds = fleet.now, seconds
    context.calls = fleet.answered + fleet.refused
    context.tries = fleet.tries
    context.answered = fleet.answered
    fleet.offer(rate, seconds)
    context.calls = fleet.answered + fleet.refused - context.calls


@then("at least {permille:d} of 1000 calls are answered")
def answered(context: Context, permille: int) -> None:
    count = context.fleet.answered - context.answered
    assert count >= context.calls * permille / 1000, (count, context.calls)


@then("the limited instances were sent {least:d} to {most:d} of 100 calls that they take")
def used(context: Context, least: int, most: int) -> None:
    sent = sum(context.fleet.starts_since(context.since)[: context.limited])
    takes = context.limited * context.limit * context.seconds
    assert least <= 100 * sent / takes <= most, (sent, takes)


@then("at most {permille:d} of 1000 calls were sent to a second agent")
def second_agents(context: Context, permille: int) -> None:
    further = context.fleet.tries - context.tries - context.calls
    assert further <= context.calls * permille / 1000, (further, context.calls)


@then("a call was sent to {most:g} agents at most on average")
def tries(context: Context, most: float) -> None:
    mean = (context.fleet.tries - context.tries) / context.calls
    assert mean <= most, mean


def refuse_limited(context: Context, load: AgentLoad | None = None) -> None:
    proxy = context.proxy
    connection, start = proxy.open_attempts[-1]
    refusal = CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=ErrorKind.OVERLOADED.value,
        instance_limited=True,
        retry_after_ms=RETRY_MS,
        load=load,
    )
    proxy.reply(connection, refusal)


@when("a call is refused by the limit of its instance")
def one_refused(context: Context) -> None:
    context.call = context.proxy.ask("/orders/1")
    refuse_limited(context, AgentLoad(limit=2.0, limit_share=2.0))


@then("it is sent to another agent")
def sent_to_another(context: Context) -> None:
    sent = context.proxy.sent_calls
    assert len(sent) == 2 and sent[0][0] != sent[1][0], sent
    context.proxy.answer(*context.proxy.open_attempts[-1])


@then("no endpoint counts as failed")
def none_failed(context: Context) -> None:
    healths = context.proxy.core._balancer._health.values()
    assert not any(each.consecutive_failures for each in healths)
    ejected = [e for e in context.proxy.logged if e.code == events.ENDPOINT_EJECTED]
    assert not ejected, ejected


@when("all agents refuse a call by the limit of {limit:g} calls a second of their instances")
def all_refuse(context: Context, limit: float) -> None:
    proxy = context.proxy
    context.call = proxy.ask("/orders/2")
    load = AgentLoad(limit=limit, limit_share=limit)
    while not proxy.answers[context.call]:
        refuse_limited(context, load)


@then('it is refused as "{kind}" with the agents\' time, not run')
def refused_as(context: Context, kind: str) -> None:
    failure = context.proxy.refusal(context.call)
    assert failure.kind == kind and failure.outcome is Outcome.NOT_RUN, failure
    assert failure.retry_after == RETRY_MS / 1000, failure


@then("the next call is sent to one agent only")
def one_agent(context: Context) -> None:
    proxy = context.proxy
    before = len(proxy.sent_calls)
    call = proxy.ask("/orders/3")
    refuse_limited(context, AgentLoad(limit=2.0, limit_share=2.0))
    assert proxy.refusal(call).kind is ErrorKind.INSTANCE_LIMITED
    assert len(proxy.sent_calls) == before + 1, proxy.sent_calls[before:]


@given('a proxy with 1 endpoint of the run "{run}"')
def given_run(context: Context, run: str) -> None:
    given_started_run(context, run, 0)


@given('a proxy with 1 endpoint of the run "{run}" started at {started:d}')
def given_started_run(context: Context, run: str, started: int) -> None:
    context.proxy = ProxyHarness(0).start()
    context.agents = 0
    register_started(context, run, started)


@when('another agent registers beside the run "{run}"')
def register(context: Context, run: str) -> None:
    register_started(context, run, 0)


@when('another agent registers beside the run "{run}" started at {started:d}')
def register_started(context: Context, run: str, started: int) -> None:
    """Replace the endpoint by one of another agent."""
    (context.endpoint,) = agent_endpoints(1, first=context.agents)
    context.agents += 1
    context.endpoint.run, context.endpoint.run_started_ms = run, started
    context.proxy.advance(15.0)
    update(context, full=True)
    context.proxy.advance(15.0)


def update(context: Context, *, full: bool = False) -> None:
    proxy = context.proxy
    (relay,) = (c for c, link in proxy.links.items() if link.purpose is Purpose.SUBSCRIPTION)
    message = EndpointUpdate(full=full, endpoints=[context.endpoint])
    proxy.post(MessageReceived(relay, message))


def answer_with(context: Context, load: AgentLoad) -> None:
    proxy = context.proxy
    proxy.ask("/orders/1")
    connection, start = proxy.open_attempts[-1]
    response = ResponseStart(
        stream=start.stream, attempt_id=start.attempt_id, status=200, end=True, load=load
    )
    proxy.reply(connection, response)


@when("an answer states a limit of {limit:g} a second")
def answer_limit(context: Context, limit: float) -> None:
    answer_with(context, AgentLoad(limit=limit, limit_share=limit))


@when("an answer states that the instance is leaving")
def answer_leaving(context: Context) -> None:
    answer_with(context, AgentLoad(leaving=True))
    assert [e for e in context.proxy.logged if e.code == events.INSTANCE_LEAVING]


@when("a relay reports a limit of {limit:g} a second for it")
def relay_limit(context: Context, limit: float) -> None:
    context.endpoint.sequence += 1
    context.endpoint.limit = limit
    update(context)


@when("a relay reports that the instance is leaving")
def relay_leaving(context: Context) -> None:
    context.endpoint.sequence += 1
    context.endpoint.leaving = True
    update(context)


@then("the next call states the limit of {limit:g}")
def next_states(context: Context, limit: float) -> None:
    proxy = context.proxy
    proxy.ask("/orders/1")
    connection, start = proxy.open_attempts[-1]
    assert start.known_limit == limit, start
    response = ResponseStart(stream=start.stream, attempt_id=start.attempt_id, status=200, end=True)
    proxy.reply(connection, response)


@then("the next call finds no endpoint")
def finds_none(context: Context) -> None:
    failure = context.proxy.refusal(context.proxy.ask("/orders/1"))
    assert failure.kind is ErrorKind.NO_ENDPOINT, failure


@then("the next call is sent to it")
def is_sent(context: Context) -> None:
    before = len(context.proxy.sent_calls)
    context.proxy.ask("/orders/1")
    assert len(context.proxy.sent_calls) == before + 1
