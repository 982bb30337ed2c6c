"""Steps for a soak of the platform's processes; behave's ``-D seed=N -D rounds=N`` draw others."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from loopback_networks import LoopbackNetwork
from platform_soak import Soak

KEPT = Path(tempfile.gettempdir())


@given("five control machines and four nodes of the platform, seed {seed:d}")
def given_fleet(context, seed):
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.seed = int(context.config.userdata.get("seed", seed))
    context.soak = Soak(Path(folder.name), context.seed, network)
    context.add_cleanup(context.soak.close)
    context.soak.start()


@when("{rounds:d} rounds of drawn faults strike them under calls and changes")
def when_struck(context, rounds):
    for _ in range(int(context.config.userdata.get("rounds", rounds))):
        if not context.soak.broken:
            context.soak.run_round()
    if not context.soak.broken:
        context.soak.finish()


@then("every promise to callers and operators held")
def then_held(context):
    soak = context.soak
    print(f"seed {context.seed}: {dict(soak.struck)}, {soak.operator.newest} changes,")
    print(f"{soak.answered} requests answered, {len(soak.broken)} promises broken")
    zones = [f"{drain.zone} drained" for drain in soak.zones.drains]
    print(f"{zones}, {soak.zones.resent} orders sent again")
    starts = sum(each.starts for each in soak.instances)
    most = max(each.most_while_cold for each in soak.instances)
    print(f"{starts} starts of back ends, at most {most} requests in 1 s while cold")
    print(f"ends by kind and status: {dict(sorted(soak.audit.counts.items()))}")
    if soak.broken:
        kept = KEPT / f"platform-soak-{context.seed}"
        shutil.copytree(soak._folder, kept, dirs_exist_ok=True)
        raise AssertionError(f"seed {context.seed}, logs in {kept}: {soak.broken[:5]}")
