"""Steps for a proxy of which a zone is drained."""

from __future__ import annotations

import random

from agent_harness import PROXY_CONNECTION, AgentHarness
from behave import given, then, when
from proxy_harness import FIRST_AGENT_PORT, ProxyHarness, agent_endpoints, mesh_resources
from zone_drain_agent_steps import drains, share

from limelever.agent import failures
from limelever.agent.call_messages import call_failed
from limelever.agent.interface import AttemptAnswered, StartAttempt
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.sansio import MessageReceived, Purpose
from limelever.protocol.calls_pb2 import AgentLoad, CallFailed, CallStart, ResponseStart
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import ConfigSnapshot
from limelever.protocol.endpoints_pb2 import EndpointUpdate
from limelever.proxy import events
from limelever.proxy.call_types import CallAnswer
from limelever.proxy.zone_drains import ZoneDrainFilter

SLOTS = 6


class ZonedProxy(ProxyHarness):
    """A proxy in the zone "here", whose endpoints stand there and in the zone "east"."""

    def __init__(self, here, east, drained=(), further=0):
        super().__init__(endpoints=0)
        self.resources = [*mesh_resources(), *drains(drained)]
        self.start()
        endpoints = [
            *agent_endpoints(here, "here", SLOTS),
            *agent_endpoints(east, "east", SLOTS, first=here),
            *further_endpoints(here + east, further),
        ]
        self.zone_by_port = {each.port: each.zone for each in endpoints}
        self.post(MessageReceived(self.relay, EndpointUpdate(full=True, endpoints=endpoints)))

    @property
    def relay(self):
        (found,) = (c for c, link in self.links.items() if link.purpose is Purpose.SUBSCRIPTION)
        return found

    def learn(self, version, zones):
        resources = [*mesh_resources(), *drains(zones)]
        digest = SetDigest.of(resources).to_bytes()
        snapshot = ConfigSnapshot(version=version, resources=resources, digest=digest)
        self.post(MessageReceived(self.relay, snapshot))
        assert self.core.version == version

    def zone_of(self, connection):
        return self.zone_by_port[self.links[connection].address.port]


def further_endpoints(first, zones):
    """Return two endpoints in each of the zones z1, z2 and so on."""
    return [
        endpoint
        for number in range(1, zones + 1)
        for endpoint in agent_endpoints(2, f"z{number}", SLOTS, first=first + 2 * (number - 1))
    ]


def start(context, here, east, **fields):
    context.proxy = ZonedProxy(here, east, **fields)
    context.drained = {"here"}
    context.version = 7
    context.refusals = []
    context.sends_flag = True


@given('a proxy in the zone "here" with {here:d} endpoints there and {east:d} in the zone "east"')
@given('a proxy in the zone "here" with {here:d} endpoint there and {east:d} in the zone "east"')
def given_proxy(context, here, east):
    start(context, here, east)


@given(
    'a proxy that starts while "here" is drained, with {here:d} endpoints there and {east:d} in '
    'the zone "east"'
)
def given_starting(context, here, east):
    start(context, here, east, drained=["here"])


@given('a proxy in the zone "here" with 1 endpoint that answers no dial and 1 in the zone "east"')
def given_hanging(context):
    start(context, 1, 1)
    context.proxy.unresponsive_ports = {FIRST_AGENT_PORT}


@given('agents of the zone "here" that know of its drain')
def given_agents(context):
    context.sends_flag = True


@given('agents of the zone "here" that know of its drain, whose flag the proxy doesn\'t know')
def given_agents_without_flag(context):
    context.sends_flag = False


@given("a budget of no retries")
def given_no_budget(context):
    budgets = context.proxy.core._engine._retry_budgets
    budgets.of = lambda *_: NoBudget()


class NoBudget:
    """Allows no retry."""

    def record_first_attempt(self):
        """Save up nothing."""

    def try_take(self):
        return False


@when('the proxy learns that "{zones}" is drained')
def when_learns(context, zones):
    context.version += 1
    context.proxy.learn(context.version, zones.split(", "))


@when("the proxy learns that no zone is drained")
def when_learns_none(context):
    context.version += 1
    context.proxy.learn(context.version, [])


@when("{count:d} callers ask the zoned proxy")
def when_ask(context, count):
    context.proxy.sent_calls.clear()
    for _ in range(count):
        context.proxy.ask("/orders/1")


@when('a caller asks the zoned proxy, and its call waits for a link into the zone "here"')
def when_waits(context):
    while not context.proxy.hanging_dials:
        context.proxy.ask("/orders/1")
    assert not context.proxy.sent_calls


@when("the link into the drained zone opens late")
def when_opens_late(context):
    (dial,) = context.proxy.hanging_dials
    context.proxy.accept(dial)
    context.proxy.advance(0.01)


@when('each agent refuses its calls as "{kind}"')
def when_refused(context, kind):
    before = len(context.proxy.sent_calls)
    for connection, call in tuple(context.proxy.open_attempts):
        context.proxy.refuse(connection, call, ErrorKind(kind))
    assert len(context.proxy.sent_calls) > before


@when("{count:d} callers ask the zoned proxy one after the other")
def when_ask_in_turn(context, count):
    for _ in range(count):
        call = context.proxy.ask("/orders/1")
        refused = 0
        while context.proxy.open_attempts:
            (connection, attempt), *_ = context.proxy.open_attempts
            if context.proxy.zone_of(connection) in context.drained:
                refused += 1
                context.proxy.reply(connection, refusal(context, attempt))
            else:
                context.proxy.answer(connection, attempt)
        context.refusals.append((call, refused))


def refusal(context, attempt):
    """Return what an agent of a drained zone answers, as a proxy reads it."""
    load = AgentLoad(queued=8 * SLOTS, slots=SLOTS)
    message = call_failed(attempt, failures.ZONE_DRAINED, load)
    if not context.sends_flag:
        message.ClearField("zone_drained")
    return message


@when("all calls are answered")
def when_answered(context):
    for connection, attempt in tuple(context.proxy.open_attempts):
        context.proxy.answer(connection, attempt)


@when("{seconds:d} seconds pass at the zoned proxy")
def when_pass(context, seconds):
    context.proxy.advance(seconds)


@then('all calls were sent to the zone "{zone}"')
def then_all_sent(context, zone):
    assert context.proxy.sent_calls
    zones = {context.proxy.zone_of(connection) for connection, _ in context.proxy.sent_calls}
    assert zones == {zone}, zones


@then('{count:d} of those calls were sent to the zone "{zone}"')
def then_sent(context, count, zone):
    zones = [context.proxy.zone_of(connection) for connection, _ in context.proxy.sent_calls]
    assert zones.count(zone) == count, zones


@then('the zoned proxy refused call {call:d} as "{kind}", not run, with a retry time')
def then_refused(context, call, kind):
    failure = context.proxy.refusal(call)
    assert isinstance(failure, Failure) and failure.kind.value == kind, failure
    assert failure.outcome is Outcome.NOT_RUN and failure.retry_after > 0, failure


@then("the zoned proxy sent nothing")
def then_nothing(context):
    assert not context.proxy.sent_calls
    assert not [link for link in context.proxy.links.values() if link.purpose is Purpose.CALLS]


@then('each of those calls was answered in the zone "{zone}" after at most {limit:d} refusal')
def then_each(context, zone, limit):
    assert zone not in context.drained
    for call, refused in context.refusals:
        assert isinstance(context.proxy.final_answer(call), CallAnswer), call
        assert refused <= limit, (call, refused)
    assert sum(refused for _, refused in context.refusals) > 0


@then('fewer than {limit:d} calls were refused in the zone "here"')
def then_fewer(context, limit):
    assert sum(refused for _, refused in context.refusals) < limit, context.refusals


@then("no endpoint was retired or ejected")
def then_kept(context):
    # A drain is no fault of its endpoints: the balancer must not count its refusals as failures.
    unwanted = (events.ENDPOINT_DRAINING, events.ENDPOINT_EJECTED)
    assert not [each for each in context.proxy.logged if each.code in unwanted]
    health = context.proxy.core._balancer._health
    assert not [key for key, each in health.items() if each.consecutive_failures], health


@then("a filter of drained zones returns the same endpoints for the same sequence")
def then_same(context):
    proxy = ZonedProxy(2, 2)
    usable = proxy.core._endpoints.usable("orders", proxy.now)
    drained = ZoneDrainFilter()
    drained.set_zones(["here"])
    first = drained.eligible("orders", usable)
    assert [entry.zone for entry in first] == ["east", "east"]
    assert drained.eligible("orders", usable) is first
    shuffled = tuple(random.Random(1).sample(usable, len(usable)))
    assert drained.eligible("orders", shuffled) is not first


@then("it returns the sequence itself while no zone is drained")
def then_itself(context):
    proxy = ZonedProxy(2, 2)
    usable = proxy.core._endpoints.usable("orders", proxy.now)
    assert ZoneDrainFilter().eligible("orders", usable) is usable


@given(
    'a proxy in the zone "here" with 2 endpoints there and 2 in each of {count:d} further zones, '
    "of which one isn't drained"
)
def given_many_zones(context, count):
    start(context, 2, 0, further=count)
    context.drained = {"here", *(f"z{number}" for number in range(1, count))}


@when("a caller places an order through the zoned proxy until an agent has refused one")
def when_orders(context):
    proxy = context.proxy
    context.orders, context.ran, refused = [], [], 0
    while not refused or len(context.orders) < 5:
        context.orders.append(proxy.place_order(f"key-{len(context.orders)}"))
        while proxy.open_attempts:
            (connection, attempt), *_ = proxy.open_attempts
            if proxy.zone_of(connection) in context.drained:
                refused += 1
                proxy.reply(connection, refusal(context, attempt))
            else:
                context.ran.append(attempt.target)
                proxy.answer(connection, attempt)


@then("each order was sent to one endpoint that ran it, and answered")
def then_ran_once(context):
    assert len(context.ran) == len(context.orders)
    for order in context.orders:
        assert isinstance(context.proxy.final_answer(order), CallAnswer)


@given('a real agent with 1 slot behind the endpoint of the zone "here"')
def given_real_agent(context):
    context.agent = AgentHarness(1)
    context.agent.register()
    context.agent.add_proxy()
    given_no_budget(context)


@when('{count:d} calls were sent to the zone "here" and the agent learns that it is drained')
def when_real_drain(context, count):
    proxy, agent = context.proxy, context.agent
    proxy.sent_calls.clear()
    while len(to_zone(proxy, "here")) < count:
        proxy.ask("/orders/1")
    context.passed_on = to_zone(proxy, "here")
    for _, message in context.passed_on:
        sent = CallStart.FromString(message.SerializeToString())
        sent.agent_incarnation = 7
        agent.send(sent)
    proxy.sent_calls.clear()
    share(agent, 8, [agent.core._options.registration.zone])
    connection = context.passed_on[0][0]
    for message in agent.sent(PROXY_CONNECTION, CallFailed):
        proxy.reply(connection, CallFailed.FromString(message.SerializeToString()))


def to_zone(proxy, zone):
    return [sent for sent in proxy.sent_calls if proxy.zone_of(sent[0]) == zone]


@then('{count:d} of those calls were sent on to the zone "east", without a budget for retries')
def then_sent_on(context, count):
    assert len(to_zone(context.proxy, "east")) == count, context.proxy.sent_calls
    assert not to_zone(context.proxy, "here")


@then('the one that ran is answered from the zone "here"')
def then_ran(context):
    agent, (connection, _) = context.agent, context.passed_on[0]
    (started,) = agent.outputs_of(StartAttempt)
    agent.handle(AttemptAnswered(started.attempt, 200, (), b"ok"))
    (answer,) = agent.sent(PROXY_CONNECTION, ResponseStart)
    context.proxy.reply(connection, answer)
    answered = [each for each in context.proxy.answers.values() if each]
    assert len(answered) == 1 and isinstance(answered[0][0], CallAnswer), answered


@when("no route table can be built any more")
def when_no_table(context):
    failure = Failure(ErrorKind.DANGLING_REFERENCE, "a route has no service")
    context.proxy.core._build_table = lambda installed: failure
