"""Steps that prove the laboratory's own parts: stand-ins, load generator and test run."""

import signal
from contextlib import suppress
from functools import partial
from itertools import islice
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from behave import given, then, when

from limelever.common.events import CATALOGUE
from limelever_lab.event_catalogue import import_event_modules
from limelever_lab.event_catalogue import render as render_events
from limelever_lab.feature_report import (
    CommandResult,
    JobResult,
    ScenarioResult,
    check_known_red,
    count_scenarios,
    render,
)
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.fleet.http import get_json, post_json
from limelever_lab.fleet.ports import free_ports
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.known_red import KNOWN_RED_FILE, KnownRed, read_known_red
from limelever_lab.load.audit import audit, merge_counts
from limelever_lab.load.calls import ArrivalSettings, draw_calls
from limelever_lab.load.generator import LoadSettings, run_for
from limelever_lab.load.outcomes import Fate, summarise
from limelever_lab.standins.delay_link import DelayLink, Direction
from limelever_lab.standins.network import NetworkLink, send_command, write_links
from limelever_lab.standins.runs import RunCounts
from limelever_lab.testrun import LATE_STATUS, ROOT, run_command

SEED = 1
LINK_LIMIT_SECONDS = 30


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
    links = _scratch(context) / "links.json"
    write_links(links, [NetworkLink("caller", "backend", context.link_port, context.ports[0])])
    arguments = ("--links", links, "--control-port", context.control_port, "--delay-ms", delay)
    _start(context, "network", "network", *map(str, arguments), port=context.control_port)


@when("one call is made through the link")
def step_one_call(context):
    context.record = _one_call(context, context.link_port)


@then("its answer takes at least {least:d} ms")
def step_answer_time(context, least):
    assert context.record.fate is Fate.ANSWERED, context.record
    assert context.record.seconds * 1000 >= least, context.record


@when("the link is {command}")
def step_link_command(context, command):
    line = {"cut": "cut backend", "healed": "heal", "silenced": "isolate backend caller"}[command]
    assert trio.run(send_command, context.control_port, line)


@when("a link swallows bytes of a connection and is healed")
def step_swallow_and_heal(context):
    context.received = trio.run(_swallow_and_heal)


async def _swallow_and_heal():
    """Send through a link before, while and after it is silent; return what comes back."""
    with trio.fail_after(LINK_LIMIT_SECONDS):
        async with trio.open_nursery() as nursery:
            link = DelayLink("127.0.0.1", await _serve(nursery, _echo), 0.0)
            port = await _serve(nursery, link.forward)
            received = await _send_around_silence(link, port)
            nursery.cancel_scope.cancel()
    return received


async def _serve(nursery, handler):
    (listener,) = await nursery.start(partial(trio.serve_tcp, handler, 0, host="127.0.0.1"))
    return listener.socket.getsockname()[1]


async def _send_around_silence(link, port):
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        await stream.send_all(b"before")
        received = await stream.receive_some()
        link.silence(Direction.FORWARD)
        await stream.send_all(b"swallowed")
        while not link.swallowed_bytes:
            await trio.sleep(0.001)
        link.heal()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"after")
            received += await stream.receive_some()
    return received


async def _echo(stream):
    async for data in stream:
        await stream.send_all(data)


@when("a link swallows the echo of what is sent on it")
def step_swallow_echo(context):
    context.sent = (b"first", b"second", b"third")
    context.received = trio.run(_send_with_silent_echo, context.sent)


async def _send_with_silent_echo(parts):
    """Send parts over a link whose way back is silent; return what its target got."""
    received = []

    async def note_and_echo(stream):
        async for data in stream:
            received.append(data)
            await stream.send_all(data)

    with trio.fail_after(LINK_LIMIT_SECONDS):
        async with trio.open_nursery() as nursery:
            link = DelayLink("127.0.0.1", await _serve(nursery, note_and_echo), 0.0)
            link.silence(Direction.BACKWARD)
            stream = await trio.open_tcp_stream("127.0.0.1", await _serve(nursery, link.forward))
            async with stream:
                await _send_each_swallowed(stream, link, parts)
            nursery.cancel_scope.cancel()
    return b"".join(received)


async def _send_each_swallowed(stream, link, parts):
    sent = 0
    for part in parts:
        await stream.send_all(part)
        sent += len(part)
        while link.swallowed_bytes < sent:
            await trio.sleep(0.001)


@then("the target received all that was sent")
def step_received_all(context):
    assert context.received == b"".join(context.sent), context.received


@then("the connection was closed, with nothing after the gap")
def step_nothing_after_gap(context):
    assert context.received == b"before", context.received


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
    assert page == render_events(CATALOGUE.values()), (
        "run `limelever-lab docs-events > docs/EVENTS.md`"
    )


@given('a report with a scenario "{name}" that is "{status}", with the error "{error}"')
def step_named_scenario(context, name, status, error):
    context.scenarios.append(ScenarioResult(name, status, error))


@given('a run that printed "{output}"')
def step_run_output(context, output):
    context.run = CommandResult(1, output)


@then('"{text}" is shown, and "{other}" is not')
def step_shown(context, text, other):
    assert text in context.counted.details, context.counted
    assert other not in context.counted.details, context.counted


@when("rooms with {passed:d} passed and {failed:d} failed scenarios are printed")
def step_print_rooms(context, passed, failed):
    rooms = [JobResult("one", passed, 0, seconds=1.0), JobResult("two", 0, failed, seconds=2.5)]
    context.printed = render(rooms, [KnownRed("scenario", "cause", "#1")]).splitlines()


@then('the last lines are "{heading}", the known failure and "{counts}"')
def step_last_lines(context, heading, counts):
    *_, first, second, last = context.printed
    assert (first, last) == (heading, counts), context.printed
    assert "scenario | cause | #1" in second, second


@then("each room stands there with its seconds")
def step_room_table(context):
    rows = [line.split() for line in context.printed]
    assert ["two", "0", "1", "2.5"] in rows, rows


@when("a command that started another one runs too long")
def step_late_command(context):
    code = "import subprocess; c = subprocess.Popen(['sleep', '300']); print(c.pid); c.wait()"
    context.late = run_command(["python", "-u", "-c", code], limit=2)


@then("it counts as late, and no process of it is left")
def step_late(context):
    assert context.late.status == LATE_STATUS, context.late
    child = int(context.late.output.split()[0])
    wait_until(lambda: not _is_running(child), LINK_LIMIT_SECONDS, f"process {child} ends")


def _is_running(identifier):
    try:
        state = Path(f"/proc/{identifier}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"
