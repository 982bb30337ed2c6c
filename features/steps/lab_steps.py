"""Steps that prove the laboratory's own parts: stand-ins, load generator and test run."""

import signal
from itertools import islice
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from behave import given, then, when

from limelever.common.events import CATALOGUE
from limelever_lab.event_catalogue import import_event_modules, render
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.http import get_json, post_json
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.known_red import KNOWN_RED_FILE, KnownRed, read_known_red
from limelever_lab.load.audit import audit, merge_counts
from limelever_lab.load.calls import ArrivalSettings, draw_calls
from limelever_lab.load.generator import LoadSettings, run_for
from limelever_lab.load.outcomes import Fate, summarise
from limelever_lab.standins.delay_link import send_command
from limelever_lab.standins.runs import RunCounts
from limelever_lab.testrun import (
    ROOT,
    CommandResult,
    ScenarioResult,
    check_known_red,
    count_scenarios,
)

SEED = 1


def _scratch(context):
    if not hasattr(context, "scratch"):
        folder = TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.scratch = Path(folder.name)
    return context.scratch


def _start(context, name, *arguments, port):
    process = LabProcess(name, ("limelever-lab", *arguments), _scratch(context))
    process.start()
    context.add_cleanup(process.end)
    wait_until_listening(port)
    return process


def _start_back_ends(context, count, service, *more):
    context.service = service
    context.ports = free_ports(count)
    context.back_ends = [
        _start(
            context,
            f"{service}-{number}",
            "backend",
            "--service",
            service,
            "--port",
            str(port),
            "--journal",
            str(_scratch(context) / f"{service}-{number}.journal"),
            *more,
            port=port,
        )
        for number, port in enumerate(context.ports)
    ]


def _run_calls(context, rate, duration, abandon_percent=0.0):
    classes = tuple(c for c in load_deployment("koszyk").calls if c.service == context.service)
    targets = tuple(f"http://127.0.0.1:{port}" for port in context.ports)
    settings = LoadSettings(targets, classes, ArrivalSettings(rate, SEED, abandon_percent))
    context.records = trio.run(run_for, settings, duration)
    runs = merge_counts(_runs(port) for port in context.ports)
    context.audit = audit(context.records, runs)


def _runs(port):
    value = get_json(f"http://127.0.0.1:{port}/runs")
    return RunCounts(value["by_call"], value["by_key"])


def _one_call(context, port):
    settings = LoadSettings((f"http://127.0.0.1:{port}",), context.classes, ArrivalSettings(50, 1))
    call = next(draw_calls(settings.classes, 1, settings.arrivals))
    return trio.run(_make_one, settings, call)


async def _make_one(settings, call):
    import httpcore

    from limelever_lab.load.caller import Caller, CallerSettings

    async with httpcore.AsyncConnectionPool() as pool:
        patience = CallerSettings(patience=0.0)
        return await Caller(settings.targets, [pool], patience).make(call)


@given("{count:d} back ends of the {service} service")
def step_back_ends(context, count, service):
    _start_back_ends(context, count, service)


@given("1 back end of the {service} service")
def step_back_end(context, service):
    _start_back_ends(context, 1, service)


@given("1 back end of the {service} service with 1 slot and no queue")
def step_small_back_end(context, service):
    _start_back_ends(context, 1, service, "--slots", "1", "--queue", "0")


@when("callers make {rate:d} calls a second for {duration:d} seconds")
def step_calls(context, rate, duration):
    _run_calls(context, rate, duration)


@when(
    "callers make {rate:d} calls a second for {duration:d} seconds"
    " and drop {percent:d} percent of first answers"
)
def step_calls_dropped(context, rate, duration, percent):
    _run_calls(context, rate, duration, percent)


@when("the back end is killed and started again")
def step_restart_back_end(context):
    context.before = _runs(context.ports[0])
    context.back_ends[0].send(signal.SIGKILL)
    context.back_ends[0].wait()
    context.back_ends[0].start()
    wait_until_listening(context.ports[0])


@then("its counts of runs are those from before")
def step_counts_kept(context):
    assert context.before.by_call
    assert _runs(context.ports[0]) == context.before


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


@given("a link of {delay:d} ms to it")
def step_link(context, delay):
    context.link_port, context.control_port = free_ports(2)
    context.classes = tuple(
        c for c in load_deployment("koszyk").calls if c.service == context.service
    )
    _start(
        context,
        "link",
        "delay-link",
        "--listen-port",
        str(context.link_port),
        "--target-port",
        str(context.ports[0]),
        "--control-port",
        str(context.control_port),
        "--delay-ms",
        str(delay),
        port=context.control_port,
    )


@when("one call is made through the link")
def step_one_call(context):
    context.record = _one_call(context, context.link_port)


@then("its answer takes at least {least:d} ms")
def step_answer_time(context, least):
    assert context.record.fate is Fate.ANSWERED, context.record
    assert context.record.seconds * 1000 >= least, context.record


@when("the link is {command}")
def step_link_command(context, command):
    name = {"cut": "cut", "healed": "heal"}[command]
    assert trio.run(send_command, "127.0.0.1", context.control_port, name)


@then("a call through the link is cut or not sent")
def step_call_cut(context):
    assert _one_call(context, context.link_port).fate is Fate.LOST


@then("a call through the link is answered")
def step_call_answered(context):
    assert _one_call(context, context.link_port).fate is Fate.ANSWERED


@given("a platform list with a lag of {lag:d} ms")
def step_platform_list(context, lag):
    (port,) = free_ports(1)
    context.list_address = f"http://127.0.0.1:{port}/machines"
    arguments = ("platform-list", "--port", str(port), "--lag-ms", str(lag))
    _start(context, "platform-list", *arguments, port=port)


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


@given('a report with a scenario that is "{status}"')
def step_report(context, status):
    context.scenarios = [ScenarioResult("scenario", status, "")]
    context.run = CommandResult(1 if status in ("failed", "error") else 0, "")
    context.known = []


@given("a report without scenarios")
def step_empty_report(context):
    context.scenarios = []
    context.run = CommandResult(0, "")
    context.known = []


@given('the known red list "{name}"')
def step_known_red(context, name):
    context.known = [KnownRed(name, "cause", "#1")]


@given('the known red list ""')
def step_no_known_red(context):
    context.known = []


@given("a run that ended with status {status:d}")
def step_run_status(context, status):
    context.run = CommandResult(status, "")


@when("the report is counted")
def step_count(context):
    context.counted = count_scenarios("folder", context.scenarios, context.run, context.known)


@then("{passed:d} passed and {failed:d} failed")
def step_counted(context, passed, failed):
    assert (context.counted.passed, context.counted.failed) == (passed, failed), context.counted


@given("a known red file of {count:d} lines")
def step_known_red_file(context, count):
    lines = "".join(f"scenario {number} | cause | #{number}\n" for number in range(count))
    (_scratch(context) / KNOWN_RED_FILE).write_text(lines)


@then("reading it gives a reason")
def step_known_red_refused(context):
    assert isinstance(read_known_red(_scratch(context)), str)


@then("checking it against a run without that scenario fails")
def step_known_red_unmet(context):
    known = read_known_red(_scratch(context))
    assert check_known_red(known, []).failed == 1


@then("docs/EVENTS.md is what the lab prints")
def step_events_page(context):
    import_event_modules()
    page = (ROOT / "docs" / "EVENTS.md").read_text()
    assert page == render(CATALOGUE.values()), "run `limelever-lab docs-events > docs/EVENTS.md`"
