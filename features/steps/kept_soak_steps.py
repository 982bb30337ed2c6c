"""Steps for the soak of kept connections; ``-D seed=N -D rounds=N -D nodes=N`` draw others."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from deadly_soak import DeadlySoak
from kept_soak import KeptSoak, Size
from leave_soak import LeaveSoak
from loopback_networks import LoopbackNetwork
from statement_soak import StatementSoak

KEPT = Path(tempfile.gettempdir())
SHOWN = 5
BROKEN_FILE = "broken.txt"


@given(
    "five control machines and {nodes:d} nodes with callers that keep connections, seed {seed:d}"
)
def given_fleet(context, nodes, seed):
    start_soak(context, KeptSoak, nodes, seed)


@given(
    "five control machines and {nodes:d} nodes whose instances end under deadly requests, "
    "seed {seed:d}"
)
def given_deadly_fleet(context, nodes, seed):
    start_soak(context, DeadlySoak, nodes, seed)


@given(
    "five control machines and {nodes:d} nodes whose instances state limits and leaves, seed "
    "{seed:d}"
)
def given_stating_fleet(context, nodes, seed):
    start_soak(context, StatementSoak, nodes, seed)


@given("five control machines and {nodes:d} nodes whose instances leave, seed {seed:d}")
def given_leaving_fleet(context, nodes, seed):
    start_soak(context, LeaveSoak, nodes, seed)


def start_soak(context, kind, nodes, seed):
    given = context.config.userdata
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    size = Size(int(given.get("nodes", nodes)))
    context.soak = kind(Path(folder.name), int(given.get("seed", seed)), network, size)
    context.add_cleanup(context.soak.close)
    context.soak.start()


@when("{rounds:d} rounds of series that overlap strike them")
def when_struck(context, rounds):
    for _ in range(int(context.config.userdata.get("rounds", rounds))):
        if context.soak.is_whole:
            context.soak.run_round()


@then("each request that was read is answered, and every other promise held")
def then_held(context):
    soak = context.soak
    print("\n".join(soak.report()))
    if soak.broken:
        kept = Path(context.config.userdata.get("kept", KEPT)) / f"kept-soak-{soak.seed}"
        shutil.copytree(soak.folder, kept, dirs_exist_ok=True)
        (kept / BROKEN_FILE).write_text("\n".join(soak.broken))
        shown = "\n".join(soak.broken[:SHOWN])
        raise AssertionError(f"seed {soak.seed}, logs in {kept}:\n{shown}")
