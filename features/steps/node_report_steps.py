"""Steps for the reports of the instance beside a node."""

from __future__ import annotations

import random

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import BackendGone, DrainFinished
from limelever.agent.registration import RegistrationSettings
from limelever.common.errors import ErrorKind, Outcome
from limelever.common.errors import Failure as KnownFailure
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    MessageReceived,
    Peer,
    Purpose,
    Role,
    SendMessage,
    Started,
)
from limelever.node.reports import (
    BIRTH_UNKNOWN,
    InstanceReport,
    InstanceWatch,
    ReportOutcome,
)
from limelever.protocol.calls_pb2 import CallFailed, CallStart
from limelever.protocol.config_pb2 import CALL_KIND_ONCE_PER_ATTEMPT
from limelever.subscriber.settings import SubscriberSettings

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
HERE = Address("127.0.0.1", 1)
PROXY = 1


def report(instance, sequence, draining=False, born=BIRTH_UNKNOWN):
    return InstanceReport(instance, "orders", sequence, draining, born=born)


@given("any order of reports, an instance starts once and never comes back once it left")
def given_any_order(context):
    words = st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 5),
        st.sampled_from(["ready", "draining", "ended"]),
    )

    @PROPERTY
    @examples(st.lists(words, max_size=30))
    def check(plan):
        watch = InstanceWatch()
        started, left = [], set()
        for instance, sequence, word in plan:
            if word == "ended":
                outcome = watch.ended(instance)
            else:
                outcome = watch.reported(report(instance, sequence, word == "draining"))
            if outcome is ReportOutcome.INSTANCE_STARTED:
                assert instance not in left
                assert instance not in started
                started.append(instance)
            if word != "ready":
                left.add(instance)
            if outcome is ReportOutcome.INSTANCE_LEAVES:
                assert started[-1] == instance
            assert not (watch.is_staying(instance) and instance in left)

    check()


@given('an instance "{instance}" whose report {sequence:d} has come')
def given_instance(context, instance, sequence):
    context.watch = InstanceWatch()
    outcome = context.watch.reported(report(instance, sequence))
    assert outcome is ReportOutcome.INSTANCE_STARTED


@given('an instance "{former}" that another, "{latter}", has taken the place of')
def given_replaced(context, former, latter):
    context.watch = InstanceWatch()
    for instance in (former, latter):
        assert context.watch.reported(report(instance, 1)) is ReportOutcome.INSTANCE_STARTED


@when('a late report of "{instance}" comes')
def when_late(context, instance):
    context.outcome = context.watch.reported(report(instance, 99))


@when("its report {sequence:d} says that it leaves")
def when_leaves(context, sequence):
    context.outcome = context.watch.reported(report("one", sequence, draining=True))


@when("it says that it ends")
def when_ends(context):
    context.outcome = context.watch.ended("one")


@then("nothing follows from it")
def then_nothing(context):
    assert context.outcome is ReportOutcome.NOTHING_NEW


@then("the instance leaves")
def then_leaves(context):
    assert context.outcome is ReportOutcome.INSTANCE_LEAVES


@given('an instance "{instance}", born at {born:d}, whose report {sequence:d} has come')
def given_born(context, instance, born, sequence):
    context.watch = InstanceWatch()
    outcome = context.watch.reported(report(instance, sequence, born=born))
    assert outcome is ReportOutcome.INSTANCE_STARTED


@given('an instance "{instance}" that was found by asking')
def given_found(context, instance):
    context.watch = InstanceWatch()
    assert context.watch.reported(report(instance, -1)) is ReportOutcome.INSTANCE_STARTED


@when('"{instance}", born at {born:d}, says report {sequence:d}')
def when_born_reports(context, instance, born, sequence):
    context.outcome = context.watch.reported(report(instance, sequence, born=born))


@when('"{instance}", born at {born:d}, says reports {sequences}')
def when_born_reports_several(context, instance, born, sequences):
    for sequence in map(int, sequences.split(", ")):
        context.outcome = context.watch.reported(report(instance, sequence, born=born))


@when('"{instance}", born at {born:d}, says late that it leaves')
def when_born_leaves(context, instance, born):
    context.outcome = context.watch.reported(report(instance, 1, draining=True, born=born))


@when('"{instance}", born at {born:d}, says late that it ends')
def when_born_ends(context, instance, born):
    context.outcome = context.watch.ended(instance, born)


@when('"{instance}" says report {sequence:d} without a birth')
def when_reports_unborn(context, instance, sequence):
    context.outcome = context.watch.reported(report(instance, sequence))


@when('"{instance}" says without a birth that it ends')
def when_ends_unborn(context, instance):
    context.outcome = context.watch.ended(instance)


@then("a run starts")
def then_starts(context):
    assert context.outcome is ReportOutcome.INSTANCE_STARTED, context.outcome


@then("the run before is over and none takes its place")
def then_over(context):
    assert context.outcome is ReportOutcome.INSTANCE_ENDED, context.outcome
    assert not context.watch.is_staying(context.watch.instance)


@then('"{instance}", born at {born:d}, is staying')
def then_staying(context, instance, born):
    assert context.watch.is_staying(instance, born)


@given("any order of reports of runs, no run starts after a later one or after its end")
def given_any_runs(context):
    words = st.tuples(
        st.integers(1, 4),
        st.integers(0, 5),
        st.sampled_from(["ready", "draining", "ended"]),
    )

    @PROPERTY
    @examples(st.lists(words, max_size=30))
    def check(plan):
        watch = InstanceWatch()
        newest, left = 0, set()
        for born, sequence, word in plan:
            if word == "ended":
                outcome = watch.ended("a", born)
            else:
                outcome = watch.reported(report("a", sequence, word == "draining", born))
            if outcome is ReportOutcome.INSTANCE_STARTED:
                assert born > newest and born not in left
            newest = max(newest, born)
            if word != "ready":
                left.add(born)
            staying = [each for each in range(1, 5) if watch.is_staying("a", each)]
            assert staying == ([] if newest in left else [newest]), (staying, newest, left)

    check()


@given("an agent with calls running and waiting")
def given_agent(context):
    registration = RegistrationSettings(
        relays=(HERE,), service="orders", instance="one", zone="a", address=HERE, slots=1
    )
    subscriber = SubscriberSettings(publishers=(HERE,), services=("orders",))
    limits = CallLimits(queue=QueueLimits(slots=1))
    core = AgentCore(AgentOptions(registration, subscriber, limits), 1, random.Random(1))
    core.handle(Started(), 0.0)
    core.handle(ConnectionOpened(PROXY, Peer(Role.PROXY, "p", "a", Purpose.CALLS)), 0.0)
    for stream in (1, 2):
        start = CallStart(
            stream=stream,
            attempt_id=bytes([stream]) * 16,
            agent_incarnation=1,
            service="orders",
            group="default",
            call_kind=CALL_KIND_ONCE_PER_ATTEMPT,
            deadline_left_ms=5000,
            method=b"POST",
            target=b"/",
            end=True,
        )
        core.handle(MessageReceived(PROXY, start), 0.0)
    assert (core.running, core.waiting) == (1, 1)
    context.agent = core


@when("the agent's back end is gone")
def when_gone(context):
    context.outputs = list(context.agent.handle(BackendGone(), 0.1))


@then("those that ran have an unknown outcome, those that waited were not run")
def then_outcomes(context):
    failed = [
        output.message
        for output in context.outputs
        if isinstance(output, SendMessage) and isinstance(output.message, CallFailed)
    ]
    outcomes = {m.stream: KnownFailure(ErrorKind(m.kind), "").outcome for m in failed}
    assert outcomes == {1: Outcome.UNKNOWN, 2: Outcome.NOT_RUN}, outcomes


@then("the agent has nothing more to do")
def then_finished(context):
    assert any(isinstance(output, DrainFinished) for output in context.outputs)
    assert context.agent.next_deadline() is None
