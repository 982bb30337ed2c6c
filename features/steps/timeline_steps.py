"""Steps for the timeline of a recovery."""

from __future__ import annotations

import json
from datetime import UTC, datetime

from behave import given, then
from behave.runner import Context

from limelever_lab.logs import read_lines
from limelever_lab.timeline.steps import Reached, reached_after

LOSS = 1_000_000.0


def log_line(after: float, process: str, role: str, event: str) -> str:
    at = datetime.fromtimestamp(LOSS + after, UTC).isoformat(timespec="milliseconds")
    return "  12.3 name " + json.dumps(
        {"time": at, "role": role, "process": process, "event": event}
    )


@given("the logs of a control process and two nodes that start 1, 2 and 3 seconds after a loss")
def given_logs(context: Context) -> None:
    context.text = [
        log_line(-5.0, "node-1", "node", "process-started"),
        log_line(1.0, "core-1", "control", "process-started"),
        log_line(2.0, "node-1", "node", "process-started"),
        log_line(2.5, "node-1", "node", "routes-in-force"),
        log_line(2.9, "node-1", "node", "routes-in-force"),
        log_line(3.0, "node-2", "node", "process-started"),
        "something that is no log line",
        log_line(4.0, "node-2", "node", "routes-in-force"),
    ]
    reached = reached_after(read_lines(context.text), LOSS)
    context.reached = {each.step.name: each for each in reached}


def check(reached: Reached, first: float, most: float) -> None:
    assert (reached.processes, round(reached.first, 3), round(reached.most, 3)) == (2, first, most)


@then("the timeline says that nodes started after {first:g} seconds at first and {most:g} at most")
def nodes_started(context: Context, first: float, most: float) -> None:
    check(context.reached["node started"], first, most)


@then("it says that nodes had routes after {first:g} seconds at first and {most:g} at most")
def nodes_routed(context: Context, first: float, most: float) -> None:
    check(context.reached["node has routes"], first, most)


@then("what was before the loss counts for nothing")
def before_counts_nothing(context: Context) -> None:
    assert all(each.first > 0 for each in context.reached.values())
