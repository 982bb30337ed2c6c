"""Steps that prove the laboratory's stand-ins and load generator."""

import signal
from itertools import islice

import trio
from behave import given, then, when
from lab_stand_ins import run_calls, runs_of, start, start_back_ends

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.http import get_json, post_json
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import wait_until_listening
from limelever_lab.load.calls import ArrivalSettings, draw_calls
from limelever_lab.load.outcomes import Fate, summarise


@given("{count:d} back ends of the {service} service")
def step_back_ends(context, count, service):
    start_back_ends(context, count, service)


@given("1 back end of the {service} service")
def step_back_end(context, service):
    start_back_ends(context, 1, service)


@given("1 back end of the {service} service with 1 slot and no queue")
def step_small_back_end(context, service):
    start_back_ends(context, 1, service, "--slots", "1", "--queue", "0")


@when("callers make {rate:d} calls a second for {duration:d} seconds")
def step_calls(context, rate, duration):
    run_calls(context, rate, duration)


@when(
    "callers make {rate:d} calls a second for {duration:d} seconds"
    " and drop {percent:d} percent of first answers"
)
def step_calls_dropped(context, rate, duration, percent):
    run_calls(context, rate, duration, percent)


@when("the back end is killed and started again")
def step_restart_back_end(context):
    context.before = runs_of(context.ports[0])
    context.back_ends[0].send(signal.SIGKILL)
    context.back_ends[0].wait()
    context.back_ends[0].start()
    wait_until_listening(context.ports[0])


@then("its counts of runs are those from before")
def step_counts_kept(context):
    assert context.before.by_call
    assert runs_of(context.ports[0]) == context.before


@then("every call is answered")
def step_all_answered(context):
    summary = summarise(context.records)
    assert context.records
    assert summary.count(Fate.ANSWERED) == len(context.records), summary


@then("no call is lost, mismatched or run twice")
def step_audit_holds(context):
    assert context.audit.holds, context.audit


@then("the audit names calls that were run twice")
def step_audit_finds(context):
    assert context.audit.run_twice


@then("some calls are refused")
def step_some_refused(context):
    assert summarise(context.records).count(Fate.REFUSED) > 0


@given("a platform list with a lag of {lag:d} ms")
def step_platform_list(context, lag):
    (port,) = free_ports(1)
    context.list_address = f"http://127.0.0.1:{port}/machines"
    arguments = ("platform-list", "--port", str(port), "--lag-ms", str(lag))
    start(context, "platform-list", *arguments, port=port)


@when('the machine "{instance}" is marked leaving')
def step_mark_leaving(context, instance):
    entry = {"instance": instance, "state": "leaving", "incarnation": 3}
    assert post_json(context.list_address, entry) == entry


@then('the list does not name "{instance}" yet')
def step_not_named(context, instance):
    assert instance not in {entry["instance"] for entry in get_json(context.list_address)}


@then('the list names "{instance}" as leaving within {limit:d} seconds')
def step_named(context, instance, limit):
    trio.run(_wait_for_leaving, context.list_address, instance, limit)


async def _wait_for_leaving(address, instance, limit):
    wanted = {"instance": instance, "state": "leaving", "incarnation": 3}
    with trio.fail_after(limit):
        while wanted not in get_json(address):
            await trio.sleep(0.1)


def _draw(seed, count):
    classes = load_deployment("results").calls
    return list(islice(draw_calls(classes, 4, ArrivalSettings(100, seed, 20.0)), count))


@then("two draws of {count:d} calls from seed {seed:d} are equal")
def step_draws_equal(context, count, seed):
    assert _draw(seed, count) == _draw(seed, count)


@then("draws from seeds {first:d} and {second:d} differ")
def step_draws_differ(context, first, second):
    assert _draw(first, 10) != _draw(second, 10)
