"""Steps for zone drains in the replicated state machine and in the checks of batches."""

from __future__ import annotations

from behave import given, then, when

from limelever.protocol.config_pb2 import Batch, Resource, Revision, Service, ZoneDrain
from limelever.protocol.keys import Key, parse_key, zone_drain_key
from limelever.source.state import StateMachine
from limelever.source.validation import validate_resources

NO_NAME = "-nothing-"


def drain(zone, **fields):
    return Resource(zone_drain=ZoneDrain(zone=zone, **fields))


def replacement(number):
    put = [Resource(service=Service(name="orders"))]
    return Batch(replace=True, put=put, revision=Revision(number=number, base=number - 1))


def apply(context, batch):
    context.log.append(batch)
    outcome = context.state.apply(len(context.log), batch)
    assert outcome.applied is not None, outcome


@given('a state in which the zone "{zone}" is drained')
def given_drained(context, zone):
    context.log, context.state = [], StateMachine()
    apply(context, replacement(1))
    apply(context, Batch(request_id="drain-order@1", put=[drain(zone, ordered_at_ms=5)]))


@when("a batch replaces all resources by one service")
def when_replaced(context):
    batch = replacement(2)
    batch.put[0].service.max_connections = 7
    apply(context, batch)


@when('a batch withdraws the drain of the zone "{zone}"')
def when_withdrawn(context, zone):
    key = zone_drain_key(zone).to_message()
    apply(context, Batch(request_id="drain-withdrawal@2", delete=[key]))


@when("the state is restored from its snapshot")
def when_restored(context):
    snapshot = context.state.snapshot()
    context.state = StateMachine()
    context.state.restore(snapshot)


@when("the log is replayed from its start")
def when_replayed(context):
    context.state = StateMachine()
    for index, batch in enumerate(context.log, start=1):
        context.state.apply(index, batch)


@then('the zone "{zone}" is still drained in the state')
def then_drained(context, zone):
    held = context.state.get(parse_key(f"zone-drain/{zone}"))
    assert held is not None and held.resource.zone_drain.ordered_at_ms == 5, held


@then("no zone is drained in the state")
def then_none(context):
    held = [Key.of(each.resource) for each in context.state.resources()]
    assert not [key for key in held if str(key).startswith("zone-drain/")], held


@then('a drain of the zone "{zone}" ordered by {letters:d} letters has a problem in "{field}"')
def then_problem(context, zone, letters, field):
    name = "" if zone == NO_NAME else zone
    batch = Batch(put=[drain(name, ordered_by="x" * letters)])
    problems = validate_resources(batch)
    assert [problem.field for problem in problems] == [field], problems
