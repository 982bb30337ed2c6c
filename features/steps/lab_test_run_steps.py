"""Steps that prove the run of all checks: what is counted, printed and ended."""

from pathlib import Path

from behave import given, then, when
from lab_stand_ins import scratch

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
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.known_red import KNOWN_RED_FILE, KnownRed, read_known_red
from limelever_lab.testrun import LATE_STATUS, ROOT, Room, run_command, run_room

END_LIMIT_SECONDS = 30
RAISING_STEP = """from behave import when


@when("it acts")
def act(context):
    raise ValueError("{text}")
"""


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
    lines = "".join(f"scenario {number} | cause | {number}\n" for number in range(count))
    (scratch(context) / KNOWN_RED_FILE).write_text(lines)


@given('a known red file of the lines "{lines}"')
def step_known_red_lines(context, lines):
    text = lines.replace(" /", " |").replace("; ", "\n")
    (scratch(context) / KNOWN_RED_FILE).write_text(f"{text}\n")


@then("reading it gives a reason")
def step_known_red_refused(context):
    assert isinstance(read_known_red(scratch(context)), str)


@then("checking it against a run without that scenario fails")
def step_known_red_unmet(context):
    known = read_known_red(scratch(context))
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


@given("a folder of features with a step that raises ValueError of {count:d} lines")
def step_raising_feature(context, count):
    context.lines = [f"line {number} of {count}" for number in range(1, count + 1)]
    steps = scratch(context) / "steps"
    steps.mkdir()
    text = "\\n".join(context.lines)
    code = RAISING_STEP.format(text=text)
    (steps / "steps.py").write_text(code)
    feature = scratch(context) / "raising.feature"
    feature.write_text("Feature: Errors\n  Scenario: It raises\n    When it acts\n")
    context.room = Room("raising", (feature,))


@when("the folder runs as a room")
def step_run_room(context):
    context.counted = run_room(context.room, ())


@then("each line of the error is shown, and the step that raised it")
def step_error_shown(context):
    details = context.counted.details
    missing = [text for text in (*context.lines, "When it acts") if text not in details]
    assert not missing, (missing, details)


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
    wait_until(lambda: not _is_running(child), END_LIMIT_SECONDS, f"process {child} ends")


def _is_running(identifier):
    try:
        state = Path(f"/proc/{identifier}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"
