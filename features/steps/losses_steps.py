"""Steps for the command that tells where a day's worth was lost."""

from __future__ import annotations

import json
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from limelever_lab.cli import build_app

BEGIN = 1_000_000.0
LEAD = 10.0


def log_line(after, process, event, **fields):
    at = datetime.fromtimestamp(BEGIN + after, UTC).isoformat(timespec="milliseconds")
    line = {"time": at, "role": "node", "process": process, "event": event, "fields": fields}
    return f"{after - LEAD:8.3f} {process} {json.dumps(line)}"


def failed(after, kind, attempts, route="basket"):
    return log_line(
        after, "n-1", "call-failed", route=route, kind=kind, outcome="not-run", attempts=attempts
    )


def ends(name, late, refused):
    asked = 100
    return {
        "name": name,
        "n": asked,
        "in_aim": asked - late - refused,
        "late": late,
        "refused": refused,
        "failed": 0,
    }


@given("the report of a day and the logs of its calls")
def given_day(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.report, context.log = Path(folder.name) / "report", Path(folder.name) / "log"
    report = {
        "G": 0.625,
        "parts": [["whole day", 0.5, 0.8], ["worst windows", 0.5, 0.5]],
        "prices": [["processor seconds", 12.0, 0.025], ["cloud calls", 0.0, 0.0]],
        "classes": [ends("basket", 5, 15)],
        "windows": [ends("0", 0, 0), ends("2", 5, 15)],
    }
    context.report.write_text(json.dumps(report))
    context.log.write_text(
        "\n".join(
            [
                log_line(0.0, "n-1", "process-started", name="n-1"),
                failed(12.5, "deadline-too-short", 2),
                failed(13.9, "deadline-too-short", 1),
                failed(14.1, "no-configuration", 0, route=""),
                log_line(
                    15.0, "n-1", "call-answered", request_id="a", route="basket", milliseconds=100
                ),
                log_line(
                    15.0,
                    "n-2",
                    "call-ran",
                    request_id="a",
                    waited_milliseconds=20,
                    ran_milliseconds=70,
                ),
                log_line(
                    14.9, "n-2", "call-answered", request_id="a.b", route="stock", milliseconds=40
                ),
                "no log line",
            ]
        )
    )


def run(context, log):
    arguments = ["losses", str(context.report), "--log", str(log), "--lead", str(LEAD)]
    return CliRunner().invoke(build_app(arguments), arguments)


@when("the laboratory is asked where its worth was lost")
def when_asked(context):
    result = run(context, context.log)
    assert result.exit_code == 0, result.output
    context.rows = [line.split() for line in result.output.splitlines()]


@then("it names the largest part first, and the kind and window of the missed requests")
def then_parts(context):
    assert context.rows[:4] == [
        ["worth", "0.625"],
        ["-0.250", "worst", "windows"],
        ["-0.100", "whole", "day"],
        ["-0.025", "processor", "seconds"],
    ]
    assert ["basket", "100", "5", "15", "0"] in context.rows
    windows = context.rows.index(["from", "second", "asked", "late", "refused", "failed"])
    assert context.rows[windows + 1] == ["2", "100", "5", "15", "0"]


@then("it tells the step at which calls were lost, by window and route")
def then_steps(context):
    assert ["2", "basket", "refused", "queue", "2"] in context.rows
    assert ["4", "no-configuration", "never", "offered", "edge", "1"] in context.rows


@then("it divides the time of an answered call into queue, work, nested calls and the path")
def then_times(context):
    assert ["basket", "1", "100", "20", "30", "40", "10"] in context.rows


@when("the laboratory is asked with a log that holds nothing")
def when_empty(context):
    context.log.write_text("no log line\n")
    context.result = run(context, context.log)


@then("it ends with a usage error that names the file")
def then_usage(context):
    assert context.result.exit_code == 2, context.result.output
    assert context.log.name in context.result.output
