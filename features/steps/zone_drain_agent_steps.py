"""Steps for an agent whose zone is drained."""

from __future__ import annotations

from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from behave import given, then, when

from limelever.agent import events
from limelever.agent.interface import AttemptAnswered, ConfigurationShared, StartAttempt
from limelever.common.errors import ErrorKind
from limelever.common.sansio import LogEvent
from limelever.protocol.calls_pb2 import CallBody, CallCredit, CallFailed, ResponseStart
from limelever.protocol.config_pb2 import Resource, VersionedResource, ZoneDrain
from limelever.subscriber.configuration import EMPTY_CONFIGURATION


def drains(zones):
    return [
        VersionedResource(resource=Resource(zone_drain=ZoneDrain(zone=zone)), version=5)
        for zone in zones
    ]


def share(agent, version, zones):
    configuration = EMPTY_CONFIGURATION.changed((), drains(zones))
    agent.handle(ConfigurationShared(version, configuration))


@given('an agent of the zone "{zone}" with {slots:d} slots')
def given_agent(context, zone, slots):
    context.agent = AgentHarness(slots)
    context.agent.register()
    context.agent.add_proxy()
    context.version = 4
    assert context.agent.core._options.registration.zone == zone


@when('the agent learns that "{zone}" is drained')
def when_learns(context, zone):
    context.version += 1
    share(context.agent, context.version, [zone])


@when("the agent learns that no zone is drained")
def when_learns_none(context):
    context.version += 1
    share(context.agent, context.version, [])


@when("the zoned agent gets a call on agent stream {stream:d}")
def when_call(context, stream):
    context.agent.send(call_start(stream))


@when("the zoned agent gets the head of a call on agent stream {stream:d}")
def when_head(context, stream):
    context.agent.send(call_start(stream, end=False, awaits_credit=True, body_bytes=4))


@when("the body follows on agent stream {stream:d} of the zoned agent")
def when_body(context, stream):
    context.agent.send(CallBody(stream=stream, data=b"body", end=True))


@when("the back end answers agent stream {stream:d} of the zoned agent")
def when_answers(context, stream):
    context.agent.handle(AttemptAnswered(context.agent.attempt_of(stream), 200, (), b"ok"))


@then("the zoned agent gave credit")
def then_credit(context):
    assert context.agent.sent(PROXY_CONNECTION, CallCredit)


@then("agent stream {stream:d} was refused by the drain with a retry time")
def then_refused(context, stream):
    (refusal,) = context.agent.sent(PROXY_CONNECTION, CallFailed)
    assert refusal.stream == stream and refusal.zone_drained, refusal
    assert refusal.retry_after_ms > 0, refusal
    context.refusal = refusal


KINDS_BEFORE_ZONE_DRAINS = {kind.value for kind in ErrorKind} - {ErrorKind.ZONE_DRAINED.value}


@then("the refusal names no kind that an older proxy doesn't know")
def then_known(context):
    assert context.refusal.kind in KINDS_BEFORE_ZONE_DRAINS, context.refusal


@then("the load that comes with it is that of a full instance that doesn't stop")
def then_full(context):
    load = context.refusal.load
    assert load.queued >= load.slots and not load.draining, load


@then("agent stream {stream:d} of the zoned agent was answered")
def then_answered(context, stream):
    answered = context.agent.sent(PROXY_CONNECTION, ResponseStart)
    assert [answer.stream for answer in answered] == [stream], answered


@then("the back end got {count:d} call of the zoned agent")
def then_started(context, count):
    assert len(context.agent.outputs_of(StartAttempt)) == count


@then("the zoned agent logged once that the drain began and ended")
def then_logged(context):
    drained = (events.ZONE_DRAIN_BEGAN, events.ZONE_DRAIN_ENDED)
    logged = [each.code for each in context.agent.outputs_of(LogEvent) if each.code in drained]
    assert logged == list(drained), logged


@then("the metric of events counts {count:d} refusal by the drain")
def then_counted(context, count):
    logged = [each.code for each in context.agent.outputs_of(LogEvent)]
    assert logged.count(events.ZONE_DRAIN_REFUSED) == count, logged
