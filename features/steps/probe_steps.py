"""Steps that break a running fleet under calls."""

import json
import time
from functools import partial

from behave import given, then, when

from limelever.common.errors import Failure, Outcome
from limelever.keeper.events import KEEPER_FORMED
from limelever_lab.fleet.faults import Fault, count_events
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.fleet.http import post_json
from limelever_lab.fleet.layout import OPERATOR
from limelever_lab.fleet.ports import LOOPBACK
from limelever_lab.fleet.probe import LIVENESS_LIMIT_SECONDS
from limelever_lab.load.outcomes import Fate
from limelever_lab.standins.network import NetworkFault


@given("a running fleet with calls under way")
def step_fleet(context):
    probe = context.probed_fleet
    probe.mend()
    context.struck = []
    context.add_cleanup(probe.end_calls)
    probe.begin_calls()


@when('{processes} is struck by "{fault}"')
def step_strike(context, processes, fault):
    probe = context.probed_fleet
    context.fault = Fault(fault)
    for target in probe.find(processes):
        context.formed = count_events(target.process, KEEPER_FORMED)
        target.strike(context.fault, probe.network)
        context.struck.append(target)


@when("what was struck recovers")
def step_recover(context):
    probe = context.probed_fleet
    struck, context.struck = context.struck, []
    for target in struck:
        if not target.process.running:
            target.process.start()
    for target in struck:
        target.recover(probe.network)
    sources = {member.name for member in probe.fleet.sources}
    if context.fault is Fault.FOLDER_LOST and struck[-1].name in sources:
        probe.wait_keeper_formed(struck[-1].process, context.formed)
        probe.wait_whole()


@when("{role:w} {number:d} makes a planned stop")
def step_planned_stop(context, role, number):
    (target,) = context.probed_fleet.find(f"{role} {number}")
    target.process.request_stop()
    status = target.process.wait()
    assert status == 0, f"{target.name} ended with status {status}:\n{target.process.log_tail()}"


@when("{role:w} {number:d} is started again")
def step_start_again(context, role, number):
    (target,) = context.probed_fleet.find(f"{role} {number}")
    target.process.start()
    target.wait_up()


@when("calls run for {duration:d} seconds")
def step_wait(context, duration):
    time.sleep(duration)


@when("a change is accepted")
def step_change(context):
    context.version = context.probed_fleet.changes.apply()


@when("{count:d} changes are accepted")
def step_changes(context, count):
    for _ in range(count):
        context.version = context.probed_fleet.changes.apply()


@then("it is in force on every other proxy")
def step_in_force_elsewhere(context):
    struck = {target.name for target in context.struck}
    proxies = context.probed_fleet.fleet.proxies
    _wait_in_force(context, [proxy for proxy in proxies if proxy.name not in struck])


@then("it is in force on every proxy and agent")
def step_in_force(context):
    fleet = context.probed_fleet.fleet
    _wait_in_force(context, [*fleet.proxies, *fleet.agents])


def _wait_in_force(context, members):
    fleet = context.probed_fleet.fleet
    fleet.wait_versions(members, context.version, LIVENESS_LIMIT_SECONDS)


@then("no attempt was cut")
def step_no_cut(context):
    cut = context.probed_fleet.cut_calls()
    assert not cut, cut


@then("repeatable calls are still answered")
def step_still_answered(context):
    probe = context.probed_fleet
    before = _answered_repeatable(probe)
    wait_until(
        lambda: _answered_repeatable(probe) >= before + 20,
        LIVENESS_LIMIT_SECONDS,
        "20 repeatable calls are answered",
    )


def _answered_repeatable(probe):
    return sum(r.fate is Fate.ANSWERED and not r.key for r in probe.finished_calls)


@then("nothing was lost, run twice, answered wrongly or reverted")
def step_outcome(context):
    probe = context.probed_fleet
    outcome = probe.end_calls()
    assert outcome.audit.holds, (outcome.audit, outcome.failed)
    assert not outcome.reversions, outcome.reversions
    assert outcome.answered > 0, outcome.failed
    assert probe.changes.held_weight() == probe.changes.last_weight


@when("the answer to an operator's change is lost on its way from the leader")
def step_lose_answer(context):
    probe = context.probed_fleet
    fleet, leader = probe.fleet, probe.fleet.leader()
    context.batch = probe.changes.draw()
    mute = partial(probe.network.strike, NetworkFault.MUTE, leader.name, OPERATOR)
    endpoint = fleet.operator.endpoint_of(leader.name)
    answer = fleet.operator.apply_unheard(context.batch, endpoint, mute)
    assert isinstance(answer, Failure) and answer.outcome is Outcome.UNKNOWN, answer


@then("that change is in force on every proxy and agent")
def step_unheard_in_force(context):
    probe = context.probed_fleet
    context.version = probe.changes.held_version()
    step_in_force(context)


@when("the operator sends the change again")
def step_resend(context):
    context.answer = context.probed_fleet.fleet.operator.apply(context.batch)


@then("the answer names the version that was in force already")
def step_first_answer(context):
    assert not isinstance(context.answer, Failure), context.answer
    assert context.answer.repeated_answer, context.answer
    assert context.answer.version == context.version, (context.answer, context.version)
    assert context.probed_fleet.changes.held_version() == context.version


@when("the platform marks the machine of agent {number:d} as leaving")
def step_mark_leaving(context, number):
    fleet = context.probed_fleet.fleet
    name = fleet.agents[number - 1].name
    entry = {"instance": name, "state": "leaving", "incarnation": time.time_ns() // 1_000_000}
    address = f"http://{LOOPBACK}:{fleet.layout.platform_port}/machines"
    assert post_json(address, entry) == entry, json.dumps(entry)


@then("back end {number:d} soon gets no new work while others do")
def step_no_new_work(context, number):
    probe = context.probed_fleet
    probe.wait_quiet(partial(probe.runs_of, number))
    before = probe.runs_of(number)
    step_still_answered(context)
    assert probe.runs_of(number) == before


@then("back end {number:d} gets new work")
def step_new_work(context, number):
    probe = context.probed_fleet
    before = probe.runs_of(number)
    wait_until(
        lambda: probe.runs_of(number) > before, LIVENESS_LIMIT_SECONDS, f"back end {number} works"
    )
