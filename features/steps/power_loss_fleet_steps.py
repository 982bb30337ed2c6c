"""Steps for losses of power; behave's ``-D seed=N -D rounds=N`` draw others."""

from __future__ import annotations

import contextlib
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from loopback_networks import LoopbackNetwork
from power_loss_fleet import PowerLossFleet
from torn_append import SLOW_SYNCS, lose_power_in_append
from unsynced_rename import SYNC_SECONDS, lose_power_after_kill

KEPT = Path(tempfile.gettempdir())


@given("five control machines of the platform on recorded disks, seed {seed:d}")
def given_fleet(context, seed):
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.seed = int(context.config.userdata.get("seed", seed))
    context.fleet = PowerLossFleet(context.folder, context.seed, network)
    context.add_cleanup(context.fleet.close)


@contextlib.contextmanager
def named_errors(context, what):
    """Say of an error, or a failed assertion, in which round of which seed it came; keep logs."""
    try:
        yield
    except Exception as error:
        context.fleet.close()  # files that vanish during the copy would hide the error
        where = f"seed {context.seed}, {what}, logs in {keep_logs(context)}"
        raise RuntimeError(where) from error


def keep_logs(context):
    """Copy the folder of all machines to where it outlives the scenario; return where."""
    kept = KEPT / f"power-loss-{context.seed}"
    shutil.copytree(context.folder, kept, dirs_exist_ok=True)
    return kept


@when("all lose power while one appends, whose append is torn, and two others lose their disks")
def when_append_is_torn(context):
    context.fleet.start(SLOW_SYNCS)
    lose_power_in_append(context.fleet, disks=2)


@when("one is killed as it renames a snapshot, all lose power later, and two others their disks")
def when_rename_is_lost(context):
    context.fleet.start([SYNC_SECONDS])
    lose_power_after_kill(context.fleet, disks=2)


@when("all lose power {rounds:d} times amid changes, and some their disks")
def when_power_is_lost(context, rounds):
    rounds = int(context.config.userdata.get("rounds", rounds))
    with named_errors(context, "start"):
        context.fleet.start()
    for number in range(1, rounds + 1):
        if not context.fleet.broken:
            with named_errors(context, f"round {number} of {rounds}"):
                context.fleet.run_round()


@then("each time the newest acknowledged configuration was read back, and never an older one")
def then_read_back(context):
    fleet = context.fleet
    broken = fleet.broken + fleet.operator.broken
    print(f"seed {context.seed}: {fleet.operator.newest} changes, {dict(fleet.counts)}")
    print(fleet.seen)
    if broken:
        raise AssertionError(f"seed {context.seed}, logs in {keep_logs(context)}: {broken[:5]}")
