"""Steps for nodes of the platform beside instances that state limits and leaves."""

from __future__ import annotations

import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from loopback_networks import LoopbackNetwork
from platform_machines import NodeMachine
from platform_traffic import OK, Instance, Operator, is_ready
from statement_audit import SETTLE_SECONDS, StatementAudit
from stating_instances import StatedCallers, StatingInstance, ask
from stop_limit_steps import AloneControl

NODES, ZONES = 4, 2
START_SECONDS = 30.0
DOWN_SECONDS = 0.3
PAUSE_SECONDS = 0.02
REFUSED = 503


@given("a control process and four nodes of the platform with an instance each")
def given_fleet(context: Context) -> None:
    start_fleet(context, NODES, StatingInstance)


def start_fleet(
    context: Context,
    count: int,
    instance_of: Callable[[NodeMachine], Instance],
    node_of: type[NodeMachine] = NodeMachine,
) -> None:
    """Start a control process and nodes, and wait until all instances serve."""
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    root = Path(folder.name)
    control = AloneControl(root, "core-1", network.address(1), "zone-0")
    context.nodes = [
        node_of(root, f"sidecar-{number}", network.address(number), f"zone-{number % ZONES}")
        for number in range(2, 2 + count)
    ]
    context.control = control
    for machine in (control, *context.nodes):
        machine.write_settings([control.control], first_start=True)
        machine.start()
        context.add_cleanup(machine.kill)
    context.instances = [instance_of(node) for node in context.nodes]
    for instance in context.instances:
        context.add_cleanup(instance.end)
    Operator([control], random.Random(1)).change()
    wait_until(lambda: all(is_ready(node) for node in context.nodes), "the nodes are ready")
    wait_until(lambda: serve_all(context), "all instances serve")


def wait_until(condition, what: str) -> None:
    end = time.monotonic() + START_SECONDS
    while not condition():
        assert time.monotonic() < end, what
        time.sleep(0.1)


def serve_all(context: Context) -> bool:
    """Return whether each instance has served a request of each node."""
    for node in context.nodes:
        ask(node, f"start-{node.name}-{time.monotonic_ns()}")
    return all(each.arrivals for each in context.instances)


def begin_calls(context: Context, callers: int) -> None:
    context.callers = StatedCallers(context.nodes, callers // NODES, PAUSE_SECONDS)
    context.add_cleanup(context.callers.stop)
    time.sleep(1.0)
    context.stated_at = time.monotonic()


@when("all instances state a limit of {limit:g} a second, under {callers:d} callers")
def state_limits(context: Context, limit: float, callers: int) -> None:
    begin_calls(context, callers)
    context.limit = limit
    for instance in context.instances:
        instance.state(limit)


@when("one instance states that it leaves, under {callers:d} callers")
def state_leave(context: Context, callers: int) -> None:
    begin_calls(context, callers)
    context.leaving = context.instances[-1]
    context.leaving.state(leaving=True)


@when("for {seconds:g} seconds a node is killed every {gap:g} seconds and started again")
def kill_nodes(context: Context, seconds: float, gap: float) -> None:
    """Kill the nodes one after the other, the one of the last instance first."""
    context.strikes = {node.name: [] for node in context.nodes}
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() + gap <= end:
        number += 1
        node = context.nodes[-number % NODES]
        node.kill()
        context.strikes[node.name].append(time.monotonic())
        time.sleep(DOWN_SECONDS)
        node.start()
        time.sleep(gap - DOWN_SECONDS)
    time.sleep(max(0.0, end - time.monotonic()))
    context.callers.stop()
    context.audit = StatementAudit(context.instances, context.callers.ended, context.strikes)


@then("no instance got more than its limit allows from the nodes that had passed it on")
def within_limit(context: Context) -> None:
    broken = context.audit.over_limit()
    print(f"most in a span: {[context.audit.most_in_span(each) for each in context.instances]}")
    assert not broken, broken


@then("the instances together got at least {percent:d} of 100 of what they take")
def used_in_full(context: Context, percent: int) -> None:
    begun = context.stated_at + SETTLE_SECONDS
    end = max(each.ended_at for each in context.callers.ended)
    got = sum(begun <= each.at <= end for one in context.instances for each in one.arrivals)
    takes = context.limit * len(context.instances) * (end - begun)
    print(f"{got} requests of {takes:.0f} that the instances take")
    assert got >= takes * percent / 100, f"{got} of {takes:.0f}"


@then("what no instance can take was refused within {seconds:g} seconds, with a time to come back")
def refused_at_once(context: Context, seconds: float) -> None:
    refused = [each for each in settled(context) if each.status == REFUSED]
    assert refused, "nothing was refused"
    slowest = max(each.ended_at - each.sent_at for each in refused)
    print(f"{len(refused)} of {len(settled(context))} refused, the slowest after {slowest:.3f} s")
    late = [each for each in refused if each.ended_at - each.sent_at > seconds]
    assert not late, f"{len(late)} of {len(refused)}: {late[:3]}"
    assert all(each.retry_after > 0 for each in refused)


@then("the instance that leaves got no request sent over 2 seconds after a node had passed that on")
def none_after_leave(context: Context) -> None:
    broken = context.audit.after_leave()
    assert not broken, f"{len(broken)}: {broken[:3]}"


@then("the others serve at least {percent:d} of 100 requests of the nodes that were not killed")
def others_serve(context: Context, percent: int) -> None:
    sent = settled(context)
    served = sum(each.status == OK for each in sent)
    print(f"{served} of {len(sent)} served")
    assert sent and served >= len(sent) * percent / 100, f"{served} of {len(sent)}"


def settled(context: Context) -> list:
    """Return the requests sent after the statements settled to nodes that were never struck."""
    begun = context.stated_at + SETTLE_SECONDS
    calm = {name for name, times in context.strikes.items() if not times}
    return [each for each in context.callers.ended if each.sent_at >= begun and each.node in calm]
