"""Steps for ``limelever explain`` over the logs of several processes."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from limelever.cli.application import app

WANTED = "9c41d07be2a35f68"
CASES = {
    "is refused by agents that are full": [
        ("proxy", 4042, "attempt-sent", {"instance": "i-1"}),
        ("agent-1", 5051, "call-not-served", {"kind": "overloaded"}),
        ("proxy", 4043, "attempt-failed", {"kind": "overloaded", "goes_on": True}),
        ("proxy", 4042, "attempt-sent", {"instance": "i-2"}),
        ("agent-2", 5051, "call-not-served", {"kind": "overloaded"}),
        ("proxy", 4043, "attempt-failed", {"kind": "overloaded", "goes_on": False}),
        ("proxy", 4041, "call-failed", {"kind": "overloaded", "outcome": "not-run"}),
    ],
    "may have run when its link was lost": [
        ("proxy", 4042, "attempt-sent", {"instance": "i-1"}),
        ("proxy", 4043, "attempt-failed", {"kind": "connection-lost", "goes_on": False}),
        ("proxy", 4041, "call-failed", {"kind": "connection-lost", "outcome": "unknown"}),
    ],
    "finds no route": [("proxy", 4041, "call-failed", {"kind": "no-route", "version": 7})],
    "is answered at the second agent": [
        ("proxy", 4042, "attempt-sent", {"instance": "i-1"}),
        ("agent-1", 5051, "call-not-served", {"kind": "draining"}),
        ("proxy", 4043, "attempt-failed", {"kind": "draining", "goes_on": True}),
        ("proxy", 4042, "attempt-sent", {"instance": "i-2"}),
        ("agent-2", 5050, "call-ran", {"status": 200}),
        ("proxy", 4040, "call-answered", {"status": 200}),
    ],
}


def line(second, process, code, event, fields):
    return json.dumps(
        {
            "time": f"2026-12-02T10:00:{second:02d}.000+00:00",
            "process": process,
            "code": code,
            "event": event,
            "fields": fields,
        }
    )


@given("the logs of a proxy and two agents in which a request {case}")
def given_logs(context, case):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.expected = CASES[case]
    texts = {"proxy": [], "agent-1": [], "agent-2": []}
    texts["proxy"].append(line(0, "proxy", 4000, "routes-in-force", {"version": 7}))
    texts["proxy"].append("  not a line of ours")
    for second, (process, code, event, fields) in enumerate(context.expected, start=1):
        text = line(second, process, code, event, {"request_id": WANTED, **fields})
        texts[process].append(f"  {second}.0 machine {text}")
        texts[process].append(line(second, process, code, event, {"request_id": "other"}))
    context.files = []
    for process, lines in texts.items():
        path = Path(folder.name) / f"{process}.log"
        path.write_text("\n".join(lines) + "\n")
        context.files.append(str(path))


@when("limelever explain is asked for that request")
def when_explained(context):
    arguments = ["explain", WANTED, *context.files]
    context.result = CliRunner().invoke(app, arguments)
    context.json = json.loads(CliRunner().invoke(app, [*arguments, "--json"]).output)


@when("limelever explain is asked for another request")
def when_other(context):
    context.result = CliRunner().invoke(app, ["explain", "none", *context.files])


@then("it names the line {event} of {process} as the one that decided")
def then_decided(context, event, process):
    assert context.result.exit_code == 0, context.result.output
    deciding = context.json["deciding"]
    assert (deciding["event"], deciding["process"]) == (event, process), deciding
    (shown,) = [text for text in context.result.output.splitlines() if text.startswith("decided")]
    assert event in shown and process in shown, shown


@then("it shows every line of that request and none of another")
def then_all_lines(context):
    shown = [(each["process"], each["code"]) for each in context.json["lines"]]
    assert shown == [(process, code) for process, code, _, _ in context.expected], shown
    assert all(each["fields"]["request_id"] == WANTED for each in context.json["lines"])
    assert context.json["beliefs"][0]["fields"] == {"version": 7}


@then("it exits with 1 and says so")
def then_says_so(context):
    assert context.result.exit_code == 1
    assert "no line names this request" in context.result.output


@given(
    "the logs of the agents hold a limit of agent-1, a leave of its instance, and a limit of "
    "agent-2 that ended"
)
def given_limits(context):
    changed = {"former": 0.0, "calls_per_s": 12.5, "source": "response"}
    ended = {"former": 12.5, "calls_per_s": 0.0, "source": "response"}
    earlier = {
        "agent-1": [
            (5150, "instance-limit-changed", changed),
            (5062, "leave-learned", {"instance": "i-1", "source": "end"}),
            (5063, "leave-acknowledged", {"instance": "i-1", "stored": True}),
            (5153, "instance-leaving", {}),
        ],
        "agent-2": [
            (5150, "instance-limit-changed", changed),
            (5151, "instance-limit-ended", ended),
        ],
    }
    for name, lines in earlier.items():
        (path,) = (Path(file) for file in context.files if name in file)
        texts = [line(0, name, code, event, fields) for code, event, fields in lines]
        path.write_text("\n".join(texts) + "\n" + path.read_text())


@then("what agent-1 believed holds the limit and the leave, and what agent-2 believed does not")
def then_believed(context):
    believed = {(each["process"], each["event"]) for each in context.json["beliefs"]}
    events = ("instance-limit-changed", "leave-learned", "leave-acknowledged", "instance-leaving")
    assert {("agent-1", event) for event in events} <= believed, believed
    assert not [each for each in believed if each[0] == "agent-2"], believed
