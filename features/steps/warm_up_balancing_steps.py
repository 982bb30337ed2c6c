"""Steps for balancing between warm and warming endpoints."""

from __future__ import annotations

from balancing_steps import SERVICE, balancer_of, view_of
from behave import given, then, when
from behave.runner import Context
from proxy_harness import ProxyHarness, agent_endpoints, versioned

from limelever.protocol.calls_pb2 import AgentLoad, CallStart, ResponseStart
from limelever.protocol.config_pb2 import Resource, Service

RATE = 3.2
NOW = 20.0
SERVICE_SECONDS = 0.1
LEFT_MS = 3000


@given("{warm:d} warm and {warming:d} warming endpoints with {slots:d} slots")
def given_endpoints(
    context: Context, warm: int, warming: int, slots: int, rate: float = RATE
) -> None:
    endpoints = agent_endpoints(warm + warming, "here", slots)
    for endpoint in endpoints[warm:]:
        endpoint.warm_up_left_ms = LEFT_MS
    context.usable = view_of(endpoints, NOW).usable(SERVICE, NOW)
    context.warm = {entry.key for entry in context.usable[:warm]}
    context.balancer, context.now = balancer_of(), NOW
    context.balancer.warming.set_rates({SERVICE: rate})
    for entry in context.usable:
        context.balancer.observe_load(entry.key, 0, NOW, SERVICE_SECONDS)


@given(
    "{warm:d} warm and {warming:d} warming endpoints with {slots:d} slots of a service without a "
    "rate"
)
def given_no_rate(context: Context, warm: int, warming: int, slots: int) -> None:
    given_endpoints(context, warm, warming, slots, rate=0.0)


@when("{seconds:g} seconds pass without news of the endpoints")
def no_news(context: Context, seconds: float) -> None:
    context.now += seconds


@when("an answer says that the warm endpoint warms up and another that the warming one is warm")
def answers_say(context: Context) -> None:
    first, second = context.usable
    context.balancer.warming.observe(first.key, LEFT_MS, context.now)
    context.balancer.warming.observe(second.key, 0, context.now)


@when("an answer says that the warm endpoint warms up for 1 second")
def answer_says(context: Context) -> None:
    context.balancer.warming.observe(context.usable[0].key, 1000, context.now)


@when("{count:d} calls are sent, all in flight at once")
def send(context: Context, count: int) -> None:
    context.sent = []
    for _ in range(count):
        entry = context.balancer.pick(context.usable, context.now)
        context.balancer.attempt_started(entry.key)
        context.sent.append(entry.key)


def to_warm(context: Context) -> int:
    return sum(key in context.warm for key in context.sent)


@then("all of them go to warm endpoints")
def all_warm(context: Context) -> None:
    assert to_warm(context) == len(context.sent), context.sent


@then("none of them go to warm endpoints")
def none_warm(context: Context) -> None:
    assert to_warm(context) == 0, context.sent


@then("{least:d} to {most:d} of them go to warm endpoints")
def some_warm(context: Context, least: int, most: int) -> None:
    assert least <= to_warm(context) <= most, context.sent


@then("each warming endpoint gets {least:d} or {most:d} of them")
@then("each warming endpoint gets {least:d} to {most:d} of them")
def each_warming(context: Context, least: int, most: int) -> None:
    keys = [entry.key for entry in context.usable if entry.key not in context.warm]
    counts = {key.instance: context.sent.count(key) for key in keys}
    assert all(least <= count <= most for count in counts.values()), counts


def answer_warming(proxy: ProxyHarness, connection: int, start: CallStart) -> None:
    load = AgentLoad(warm_up_left_ms=LEFT_MS)
    answer = ResponseStart(
        stream=start.stream, attempt_id=start.attempt_id, status=200, end=True, load=load
    )
    proxy.reply(connection, answer)


@then("a proxy that installs a service with a rate balances its warming endpoints by it")
def installs_rate(context: Context) -> None:
    proxy = ProxyHarness(endpoints=2)
    others = [each for each in proxy.resources if not each.resource.HasField("service")]
    service = Resource(service=Service(name=SERVICE, warm_up_calls_per_s=RATE))
    proxy.resources = [*versioned(service), *others]
    proxy.start()
    proxy.ask("/orders/1")
    warming, start = proxy.sent_calls[0]
    answer_warming(proxy, warming, start)
    for number in range(6):
        proxy.ask(f"/orders/{number}")
    later = {connection for connection, _ in proxy.sent_calls[1:]}
    assert len(proxy.sent_calls) == 7, proxy.sent_calls
    assert warming not in later, later
