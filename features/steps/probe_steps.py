"""Steps that break a running fleet under calls."""

import signal
import time

from behave import given, then, when

ROLES = ("proxy", "agent", "relay")


@given("a running fleet with calls under way")
def step_fleet(context):
    probe = context.probed_fleet
    probe.mend()
    context.add_cleanup(probe.end_calls)
    probe.begin_calls()


@when("{role:w} {number:d} is killed")
def step_kill(context, role, number):
    context.probed_fleet.find(role, number).kill()


@when("{role:w} {number:d} is started again")
def step_start_again(context, role, number):
    context.probed_fleet.find(role, number).restart()


@when("{role:w} {number:d} is suspended")
def step_suspend(context, role, number):
    context.probed_fleet.find(role, number).suspend()


@when("{role:w} {number:d} is resumed")
def step_resume(context, role, number):
    context.probed_fleet.find(role, number).resume()


@when("the data folder of {role:w} {number:d} is removed")
def step_remove_data(context, role, number):
    context.probed_fleet.find(role, number).remove_data()


@when("{role:w} {number:d} makes a planned stop")
def step_planned_stop(context, role, number):
    member = context.probed_fleet.find(role, number)
    status = member.stop()
    assert status == 0, f"{member.name} ended with status {status}:\n{member.process.log_tail()}"


@when("the leader is killed")
def step_kill_leader(context):
    context.former_leader = context.probed_fleet.fleet.leader()
    context.former_leader.kill()


@when("the leader is suspended")
def step_suspend_leader(context):
    context.former_leader = context.probed_fleet.fleet.leader()
    context.former_leader.suspend()


@when("the former leader is resumed")
def step_resume_leader(context):
    context.former_leader.resume()


@when("the former leader is started again")
def step_restart_leader(context):
    context.former_leader.restart()


@when("the data folder of the former leader is removed")
def step_remove_leader_data(context):
    context.former_leader.remove_data()


@when("the links of relay {number:d} to the source go silent")
def step_silence_links(context, number):
    context.probed_fleet.fleet.command_links(number - 1, "blackhole forward")
    context.probed_fleet.fleet.command_links(number - 1, "blackhole backward")


@when("the links of relay {number:d} to the source are healed")
def step_heal_links(context, number):
    context.probed_fleet.fleet.command_links(number - 1, "heal")


@when("back end {number:d} is killed")
def step_kill_backend(context, number):
    context.probed_fleet.fleet.backends[number - 1].send(signal.SIGKILL)
    context.probed_fleet.fleet.backends[number - 1].wait()


@when("back end {number:d} is started again")
def step_restart_backend(context, number):
    fleet = context.probed_fleet.fleet
    port = fleet.layout.agents[number - 1].backend_port
    context.probed_fleet.restart_backend(fleet.backends[number - 1], port)


@when("calls run for {duration:d} seconds")
def step_wait(context, duration):
    time.sleep(duration)


@when("a change is accepted")
def step_change(context):
    context.version = context.probed_fleet.change()


@then("it is in force on every proxy")
def step_in_force(context):
    fleet = context.probed_fleet.fleet
    fleet.wait_versions(fleet.proxies, context.version)


@then("no attempt was cut")
def step_no_cut(context):
    cut = context.probed_fleet.cut_calls()
    assert not cut, cut


@then("no call was lost, run twice or answered wrongly, and no version went back")
def step_outcome(context):
    outcome = context.probed_fleet.end_calls()
    assert outcome.audit.holds, (outcome.audit, outcome.failed)
    assert not outcome.reversions, outcome.reversions
    assert outcome.answered > 0, outcome.failed
