"""Steps for rollout orders at a control process, run against the product's state machine."""

from __future__ import annotations

from unittest import mock

import trio
from behave import given, then, when

from limelever.common.errors import Failure
from limelever.control import rollout_store
from limelever.control.rollout_store import RolloutStore, completed, rolled_back
from limelever.protocol.config_pb2 import (
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Revision,
    Service,
)
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY, Endpoint
from limelever.protocol.keys import Key, rollout_key
from limelever.protocol.operators_pb2 import ApplyRequest, GetResponse
from limelever.source.state import StateMachine

SERVICE = "orders"
ORDERED_AT_MS = 1_000_000


class FakeLeader:
    """Answers requests as the leader does; can commit concurrent changes before a write."""

    def __init__(self):
        self.state = StateMachine()
        self.index = 0
        self.concurrent_changes = 0
        self.commit(self.configuration())

    def configuration(self):
        put = [Resource(service=Service(name=SERVICE))]
        number = self.index + 1
        base = self.state.revision.number
        return Batch(replace=True, put=put, revision=Revision(number=number, base=base))

    def commit(self, batch):
        self.index += 1
        return self.state.apply(self.index, batch).answer

    async def ask(self, request):
        if isinstance(request, ApplyRequest):
            if self.concurrent_changes:
                self.concurrent_changes -= 1
                other = Service(name=f"other-{self.index}")
                request_id = f"another-change-{self.index}@{self.index}"
                self.commit(Batch(request_id=request_id, put=[Resource(service=other)]))
            return self.commit(request.batch)
        response = GetResponse(version=self.state.version)
        for key in request.keys:
            resource = self.state.get(Key.from_message(key))
            if resource is None:
                response.missing.append(key)
            else:
                response.resources.append(resource)
        return response


class NoChecks:
    """Accepts every request unchanged."""

    def checked(self, request):
        return request


@given('a control process with a service whose back ends are of "{version}"')
def given_control(context, version):
    context.leader = FakeLeader()
    ready = Endpoint(service=SERVICE, version=version, state=ENDPOINT_STATE_READY)
    context.rollouts = RolloutStore(context.leader, NoChecks(), lambda service: [ready])


def order(context, target, seconds, service=SERVICE, after_ms=0):
    context.ordered = (target, seconds)
    context.committed = context.leader.index
    with mock.patch.object(rollout_store, "unix_ms", lambda: ORDERED_AT_MS + after_ms):
        context.result = trio.run(context.rollouts.start, service, target, seconds * 1000)


def end(context, make_ended):
    trio.run(context.rollouts.update, SERVICE, lambda current: make_ended(current, "over"))


@when(
    'a rollout to "{target}" in {seconds:d} seconds is ordered while the configuration changes '
    "{count:d} times"
)
def when_ordered_concurrently(context, target, seconds, count):
    context.leader.concurrent_changes = count
    order(context, target, seconds)


@when('a rollout to "{target}" in {seconds:d} seconds is ordered')
def when_ordered(context, target, seconds):
    order(context, target, seconds)


@when('a rollout to "{target}" in {seconds:d} seconds is ordered and ends completed')
def when_completed(context, target, seconds):
    order(context, target, seconds)
    end(context, completed)


@when('a rollout to "{target}" in {seconds:d} seconds is ordered and ends rolled back')
def when_rolled_back(context, target, seconds):
    order(context, target, seconds)
    end(context, rolled_back)


@when("the same rollout is ordered again")
def when_again(context):
    order(context, *context.ordered, after_ms=1000)


@when("the same rollout is ordered again after {seconds:d} seconds")
def when_again_later(context, seconds):
    order(context, *context.ordered, after_ms=seconds * 1000)


@when("a rollout of an unknown service is ordered")
def when_unknown(context):
    order(context, "v2", 12, service="nobody")


def current_rollout(context):
    return context.leader.state.get(rollout_key(SERVICE)).resource.rollout


@then('it is running from "{baseline}" to "{target}"')
def then_running(context, baseline, target):
    rollout = current_rollout(context)
    assert not isinstance(context.result, Failure), context.result
    assert (rollout.baseline, rollout.target) == (baseline, target), rollout
    assert rollout.state == ROLLOUT_STATE_RUNNING and not rollout.permille, rollout


@then("nothing was committed for it")
def then_nothing_committed(context):
    assert not isinstance(context.result, Failure), context.result
    assert context.leader.index == context.committed


@then('it is refused as "{kind}", and the rollout to "{target}" is unchanged')
def then_refused(context, kind, target):
    assert isinstance(context.result, Failure) and context.result.kind.value == kind, context.result
    assert current_rollout(context).target == target
