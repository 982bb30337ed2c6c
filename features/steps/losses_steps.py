"""Steps for the command that tells where a day's worth was lost."""

from __future__ import annotations

import itertools
import json
import tempfile
from datetime import UTC, datetime
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from limelever.agent.response_pacer import NO_LINK_CAPACITY
from limelever_lab.cli import build_app

BEGIN = 1_000_000.0
LEAD = 10.0


def log_line(after, process, event, **fields):
    at = datetime.fromtimestamp(BEGIN + after, UTC).isoformat(timespec="milliseconds")
    line = {"time": at, "role": "node", "process": process, "event": event, "fields": fields}
    return f"{after - LEAD:8.3f} {process} {json.dumps(line)}"


def failed(after, kind, attempts, route="basket", reason="", **more):
    return log_line(
        after,
        "n-1",
        "call-failed",
        route=route,
        kind=kind,
        outcome="not-run",
        reason=reason,
        attempts=attempts,
        **more,
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
                failed(14.2, "backend-refused", 2),
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
    assert ["4", "basket", "refused", "slot", "1"] in context.rows


@then("it divides the time of an answered call into queue, work, nested calls and the path")
def then_times(context):
    assert ["basket", "1", "100", "20", "30", "40", "10"] in context.rows


def add_to_log(context, *lines):
    context.log.write_text("\n".join([context.log.read_text(), *lines]))


@given("its callers show keys of tenants, some unknown, some of tenants at their limit")
def given_tenants(context):
    limited = {"kind": "rate-limited", "attempts": 0, "route": ""}
    add_to_log(
        context,
        failed(12.0, **limited, tenant="greedy"),
        failed(12.1, **limited, tenant="greedy"),
        failed(12.2, **limited, tenant="small"),
        failed(12.3, "unauthenticated", 0, route=""),
        failed(12.4, "deadline-too-short", 1, reason=NO_LINK_CAPACITY, tenant="small"),
        failed(12.5, "deadline-too-short", 1, route="stock", tenant="small"),
        failed(12.6, "no-endpoint", 0, route="stock", tenant="small"),
    )


@then("it tells refusals by key, by limit and for the answer's link as steps of their own")
def then_refusals(context):
    assert ["2", "rate-limited", "never", "offered", "limit", "3"] in context.rows
    assert ["2", "unauthenticated", "never", "offered", "key", "1"] in context.rows
    assert ["2", "basket", "refused", "answer", "1"] in context.rows
    assert ["2", "stock", "refused", "queue", "1"] in context.rows


def tenant_rows(context):
    """Return the rows by tenant, each a mapping of its headings."""
    headings = next(row for row in context.rows if row[:1] == ["tenant"])
    below = context.rows[context.rows.index(headings) + 1 :]
    rows = itertools.takewhile(bool, below)
    return [dict(zip(headings, row, strict=True)) for row in rows]


@then("it tells the calls of each tenant that were not served by step, the most first")
def then_by_tenant(context):
    rows = tenant_rows(context)
    assert [(row["tenant"], row["calls"]) for row in rows] == [("small", "4"), ("greedy", "2")]
    small, greedy = rows
    assert greedy["limit"] == "2" and greedy["queue"] == "0", greedy
    assert all(small[step] == "1" for step in ("limit", "answer", "queue", "edge")), small


@given("{count:d} tenants had calls that were not served")
def given_many_tenants(context, count):
    for number in range(count):
        line = failed(12.0, "deadline-too-short", 1, tenant=f"t-{number}")
        add_to_log(context, *[line] * (number + 1))


@then("it has rows for the {count:d} tenants with most of them")
def then_bounded(context, count):
    names = [row["tenant"] for row in tenant_rows(context)]
    assert names == [f"t-{number}" for number in range(49, 49 - count, -1)], names


@then("it says nothing of tenants")
def then_no_tenants(context):
    assert not any(row[:1] == ["tenant"] for row in context.rows)


@when("the laboratory is asked with a log that holds nothing")
def when_empty(context):
    context.log.write_text("no log line\n")
    context.result = run(context, context.log)


@then("it ends with a usage error that names the file")
def then_usage(context):
    assert context.result.exit_code == 2, context.result.output
    assert context.log.name in context.result.output
