"""Steps for the laboratory's upgrade of a fleet."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from limelever.publisher.events import SNAPSHOT_SENT
from limelever_lab.fleet.metrics import Sample
from limelever_lab.fleet.processes import LabProcess
from limelever_lab.upgrade.run import EVENTS_TOTAL, Upgrade
from limelever_lab.upgrade.worktree import earlier_code

PRINT_PATH = "import limelever; print(limelever.__path__[0])"


@when("the laboratory takes the code of the present commit")
def when_takes(context):
    with earlier_code("HEAD") as code, tempfile.TemporaryDirectory() as folder:
        context.code = code
        process = LabProcess("path", (Path(sys.executable).name, "-c", PRINT_PATH), Path(folder))
        process.code = code
        process.start()
        assert process.wait() == 0
        context.printed = process.log_tail()


@then("a process with that code imports the modules of that worktree")
def then_imports(context):
    assert context.printed == str(context.code / "limelever"), context.printed


@then("the worktree is gone afterwards")
def then_gone(context):
    listed = subprocess.run(["git", "worktree", "list"], capture_output=True, text=True, check=True)
    assert not context.code.exists()
    assert str(context.code.parent) not in listed.stdout


class Publisher:
    def __init__(self, name, sent):
        self.name, self.sent = name, sent

    def samples(self):
        labels = (("code", str(SNAPSHOT_SENT)),)
        other = (("code", "1"),)
        return [Sample(EVENTS_TOTAL, labels, self.sent), Sample(EVENTS_TOTAL, other, 50.0)]


@given("publishers that have sent {first:d} and {second:d} snapshots")
def given_publishers(context, first, second):
    context.publishers = [Publisher("one", first), Publisher("two", second)]
    members = SimpleNamespace(sources=context.publishers[:1], relays=context.publishers[1:])
    context.upgrade = Upgrade(SimpleNamespace(fleet=members), 1, print)


@when("the first is counted, ends, and sends {more:d} more after its start")
def when_ends(context, more):
    first = context.publishers[0]
    context.upgrade._count_snapshots(first)
    context.upgrade._counted.pop(first.name)
    first.sent = more


@then("{count:d} snapshots are counted in all")
def then_counted(context, count):
    for _ in range(2):
        context.upgrade._count_snapshots()
    assert context.upgrade.result.snapshots == count, context.upgrade.result
