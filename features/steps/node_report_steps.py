"""Steps for tracking the instance beside a node, and for an agent whose back end has ended."""

from __future__ import annotations

import random

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from msgspec.structs import replace

from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import BackendGone, DrainFinished
from limelever.agent.registration import RegistrationSettings
from limelever.common.departed_runs import START_TIME_UNKNOWN
from limelever.common.errors import ErrorKind, Failure, Outcome
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
    InstanceReport,
    InstanceTracker,
    ReportOutcome,
    may_have_former_calls,
)
from limelever.protocol.calls_pb2 import CallFailed, CallStart
from limelever.protocol.config_pb2 import CALL_KIND_ONCE_PER_ATTEMPT
from limelever.subscriber.settings import SubscriberSettings

PROPERTY_SETTINGS = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
ADDRESS = Address("127.0.0.1", 1)
PROXY = 1


def report(instance, sequence, draining=False, started=START_TIME_UNKNOWN):
    return InstanceReport(instance, "orders", sequence, draining, started_at_ms=started)


@given("any order of reports, an instance starts at most once and is not active after it drained")
def given_any_order(context):
    reports = st.tuples(
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 5),
        st.sampled_from(["ready", "draining", "ended"]),
    )

    @PROPERTY_SETTINGS
    @examples(st.lists(reports, max_size=30))
    def check(plan):
        tracker = InstanceTracker()
        started, drained = [], set()
        for instance, sequence, kind in plan:
            if kind == "ended":
                outcome = tracker.handle_end(instance)
            else:
                outcome = tracker.handle_report(report(instance, sequence, kind == "draining"))
            if outcome is ReportOutcome.INSTANCE_STARTED:
                assert instance not in drained
                assert instance not in started
                started.append(instance)
            if kind != "ready":
                drained.add(instance)
            if outcome is ReportOutcome.INSTANCE_DRAINING:
                assert started[-1] == instance
            assert not (tracker.is_active(instance) and instance in drained)

    check()


@given('an instance "{instance}" whose report {sequence:d} has arrived')
def given_instance(context, instance, sequence):
    context.tracker = InstanceTracker()
    outcome = context.tracker.handle_report(report(instance, sequence))
    assert outcome is ReportOutcome.INSTANCE_STARTED


@given('an instance "{former}" that "{latter}" has replaced')
def given_replaced(context, former, latter):
    context.tracker = InstanceTracker()
    for instance in (former, latter):
        outcomes = [context.tracker.handle_report(report(instance, n)) for n in (1, 2, 3)]
        assert outcomes.count(ReportOutcome.INSTANCE_STARTED) == 1, outcomes


@when('a late report of "{instance}" arrives')
def when_late_report(context, instance):
    context.outcome = context.tracker.handle_report(report(instance, 99))


@when("its report {sequence:d} says that it is draining")
def when_draining(context, sequence):
    context.outcome = context.tracker.handle_report(report("one", sequence, draining=True))


@when("it reports its end")
def when_ends(context):
    context.outcome = context.tracker.handle_end("one")


@then("it has no effect on the agent")
def then_no_effect(context):
    assert context.outcome is ReportOutcome.NO_CHANGE


@then("the instance's agent is to drain")
def then_drains(context):
    assert context.outcome is ReportOutcome.INSTANCE_DRAINING


@given('an instance "{instance}", started at {started:d}, whose report {sequence:d} has arrived')
def given_started(context, instance, started, sequence):
    context.tracker = InstanceTracker()
    outcome = context.tracker.handle_report(report(instance, sequence, started=started))
    assert outcome is ReportOutcome.INSTANCE_STARTED


@given('an instance "{instance}" that was found by a probe')
def given_probed(context, instance):
    context.tracker = InstanceTracker()
    assert context.tracker.handle_report(report(instance, -1)) is ReportOutcome.INSTANCE_STARTED


@when('"{instance}", started at {started:d}, sends report {sequence:d}')
def when_run_reports(context, instance, started, sequence):
    context.outcome = context.tracker.handle_report(report(instance, sequence, started=started))


@when('"{instance}", started at {started:d}, sends reports {sequences}')
def when_run_reports_several(context, instance, started, sequences):
    for sequence in map(int, sequences.split(", ")):
        context.outcome = context.tracker.handle_report(report(instance, sequence, started=started))


@when('"{instance}", started at {started:d}, reports that it is draining')
def when_run_drains(context, instance, started):
    context.outcome = context.tracker.handle_report(
        report(instance, 1, draining=True, started=started)
    )


@when('"{instance}", started at {started:d}, reports its end')
def when_run_ends(context, instance, started):
    context.outcome = context.tracker.handle_end(instance, started)


@when('"{instance:S}" sends report {sequence:d} without a start time')
def when_reports_without_start(context, instance, sequence):
    context.outcome = context.tracker.handle_report(report(instance, sequence))


@when('"{instance}" reports its end without a start time')
def when_ends_without_start(context, instance):
    context.outcome = context.tracker.handle_end(instance)


@when('"{instance:S}" reports that it drains without a start time')
def when_drains_without_start(context, instance):
    context.outcome = context.tracker.handle_report(report(instance, 1, draining=True))


@then("no run is active")
def then_none_active(context):
    assert not any(context.tracker.is_active(instance) for instance in ("one", "two"))


@when('"{instance:S}" of service "{service:S}" sends report {sequence:d} without a start time')
def when_other_service_reports(context, instance, service, sequence):
    late = replace(report(instance, sequence), service=service)
    context.outcome = context.tracker.handle_report(late)


@given("probes can identify the instance")
def given_probes(context):
    context.tracker.can_identify = True


@when('the probe finds "{instance}"')
def when_probe_finds(context, instance):
    context.outcome = context.tracker.confirm_identity(report("one", 9), instance)


@when('probes for 3 reports of "one" find no instance')
def when_probes_find_none(context):
    outcomes = [context.tracker.confirm_identity(report("one", n), "") for n in (10, 11, 12)]
    assert outcomes[:2] == [ReportOutcome.NO_CHANGE] * 2, outcomes
    context.outcome = outcomes[-1]


@then("a probe is needed")
def then_probe_needed(context):
    assert context.outcome is ReportOutcome.IDENTITY_UNCONFIRMED, context.outcome


@then('"{instance}" is active')
def then_active_unstarted(context, instance):
    assert context.tracker.is_active(instance)


@then("for any order of reports, the instance that probes find is tracked once it has reported")
def then_any_order_with_probes(context):
    """``live`` holds the address; the others are dead, and all of their reports are late."""
    reports = st.tuples(
        st.sampled_from(["live", "dead", "older"]),
        st.integers(0, 9),
        st.sampled_from([START_TIME_UNKNOWN, 1000]),
        st.booleans(),
    )

    @PROPERTY_SETTINGS
    @examples(st.sampled_from([START_TIME_UNKNOWN, 2000]), st.lists(reports, max_size=30))
    def check(live_start, plan):
        tracker = InstanceTracker()
        tracker.can_identify = True
        seen = False
        for instance, sequence, started, draining in plan:
            live = instance == "live"
            sent = report(
                instance, sequence, draining and not live, live_start if live else started
            )
            if tracker.handle_report(sent) is ReportOutcome.IDENTITY_UNCONFIRMED:
                tracker.confirm_identity(sent, "live")
            seen = seen or live
            assert not seen or tracker.is_active("live", live_start), sent

    check()


@then("a new run starts")
def then_starts(context):
    assert context.outcome is ReportOutcome.INSTANCE_STARTED, context.outcome


@then("the previous run has ended and no run is active")
def then_replaced(context):
    assert context.outcome is ReportOutcome.INSTANCE_ENDED, context.outcome
    assert not context.tracker.is_active(context.tracker.instance)


@then('"{instance}", started at {started:d}, is active')
def then_active(context, instance, started):
    assert context.tracker.is_active(instance, started)


@given(
    "any order of reports of runs, only the newest starts, and is active until it drains or ends"
)
def given_any_runs(context):
    reports = st.tuples(
        st.integers(1, 4),
        st.integers(0, 5),
        st.sampled_from(["ready", "draining", "ended"]),
    )

    @PROPERTY_SETTINGS
    @examples(st.lists(reports, max_size=30))
    def check(plan):
        tracker = InstanceTracker()
        newest, drained = 0, set()
        for started, sequence, kind in plan:
            if kind == "ended":
                outcome = tracker.handle_end("a", started)
            else:
                outcome = tracker.handle_report(report("a", sequence, kind == "draining", started))
            if outcome is ReportOutcome.INSTANCE_STARTED:
                assert started > newest and started not in drained
            newest = max(newest, started)
            if kind != "ready":
                drained.add(started)
            active = [each for each in range(1, 5) if tracker.is_active("a", each)]
            assert active == ([] if newest in drained else [newest]), (active, newest, drained)

    check()


@given("an agent with one running and one queued call")
def given_agent(context):
    registration = RegistrationSettings(
        relays=(ADDRESS,), service="orders", instance="one", zone="a", address=ADDRESS, slots=1
    )
    subscriber = SubscriberSettings(publishers=(ADDRESS,), services=("orders",))
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


@when("the agent's back end has ended")
def when_backend_ends(context):
    context.outputs = list(context.agent.handle(BackendGone(), 0.1))


@then("the running call has an unknown outcome and the queued one was not run")
def then_outcomes(context):
    failed = [
        output.message
        for output in context.outputs
        if isinstance(output, SendMessage) and isinstance(output.message, CallFailed)
    ]
    outcomes = {m.stream: Failure(ErrorKind(m.kind), "").outcome for m in failed}
    assert outcomes == {1: Outcome.UNKNOWN, 2: Outcome.NOT_RUN}, outcomes


@then("the agent has finished draining")
def then_finished(context):
    assert any(isinstance(output, DrainFinished) for output in context.outputs)
    assert context.agent.next_deadline() is None


@then("a first report with {left} of warm-up left means that former calls are {possible}")
def then_former_calls(context, left, possible):
    seconds = None if left == "no mention" else float(left.removesuffix(" s"))
    first = InstanceReport("instance-1", "alpha", 1, warm_up_left=seconds)
    assert may_have_former_calls(first) is (possible == "possible")
