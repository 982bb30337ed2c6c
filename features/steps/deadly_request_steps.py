"""Steps for requests that end each instance that begins them, on a fleet of real processes."""

from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when
from crashing_instances import CALLING, DEADLY
from deadly_fleet import (
    ALLOWED_LATE,
    KINDS,
    DeadlyFleet,
    Repeater,
    ask_by_http2,
    ask_in_pipeline,
    deadly,
    sound,
)
from loopback_networks import LoopbackNetwork
from platform_traffic import NOT_RUN, OK, READ

AT_ONCE_SECONDS = 0.5
KILL_GAP_SECONDS = 4.0
CRASH_GAP_SECONDS = 1.0
STOP_GAP_SECONDS = 1.0


@given("five control machines, and {nodes:d} nodes whose instances end under deadly requests")
def given_fleet(context, nodes):
    data = context.config.userdata
    network = LoopbackNetwork.take()
    context.add_cleanup(network.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    seed = int(data.get("seed", 1))
    fleet = DeadlyFleet(Path(folder.name), network, int(data.get("nodes", nodes)), seed)
    context.deadly = fleet
    context.add_cleanup(fleet.close)
    fleet.start()


@when("three callers repeat a deadly {kind} for {seconds:g} seconds")
def repeat_deadly(context, kind, seconds):
    fleet = context.deadly
    fleet.play(seconds, [deadly(fleet.nodes, kind, 1, fleet.seed)])


@when("a deadly read, write and upload are repeated for {seconds:g} seconds while nodes are killed")
def repeat_beside_kills(context, seconds):
    fleet = context.deadly
    repeaters = [deadly(fleet.nodes, kind, number, fleet.seed) for number, kind in enumerate(KINDS)]
    fleet.play(seconds, repeaters, [fleet.kill_nodes(KILL_GAP_SECONDS)])


@when("a deadly {kind} is repeated for {seconds:g} seconds while control machines stop by turns")
def repeat_beside_stops(context, kind, seconds):
    fleet = context.deadly
    repeaters = [deadly(fleet.nodes, kind, 1, fleet.seed)]
    fleet.play(seconds, repeaters, [fleet.stop_control(STOP_GAP_SECONDS)])


@when("deadly calls of instances, pipelined and HTTP/2 reads are repeated for {seconds:g} seconds")
def repeat_other_ways(context, seconds):
    fleet = context.deadly
    nodes, seed = fleet.nodes, fleet.seed
    repeaters = [
        Repeater(nodes, READ, f"{CALLING}-1", seed),
        Repeater(nodes, READ, f"{DEADLY}-pipelined", seed, ask=ask_in_pipeline),
        Repeater(nodes, READ, f"{DEADLY}-http2", seed, ask=ask_by_http2),
    ]
    fleet.play(seconds, repeaters)


@when("a sound read is repeated for {seconds:g} seconds while instances crash by themselves")
def repeat_sound(context, seconds):
    fleet = context.deadly
    crashes = [fleet.crash_by_themselves(CRASH_GAP_SECONDS)]
    fleet.play(seconds, [sound(fleet.nodes, READ, fleet.seed)], crashes)


@then("later than contact allows after its third crash, each was begun three times at most")
def then_bounded(context):
    print(context.deadly.report())
    late = context.deadly.late_arrivals()
    assert late and all(count <= ALLOWED_LATE for count in late.values()), context.deadly.report()


@then("{count:d} deadly requests were begun")
def then_begun(context, count):
    arrivals = context.deadly.journal.arrivals
    begun = {each.identity for each in arrivals}
    assert len(begun) == count, begun


@then("its last answers came at once, and say that it was not run")
def then_refused(context):
    last = sorted(context.deadly.repeats, key=lambda each: each.at)[-5:]
    assert all(each.answer.status in NOT_RUN for each in last), last
    assert all(each.seconds < AT_ONCE_SECONDS for each in last), last


@then("no promise to the other callers was broken")
def then_promises(context):
    assert not context.deadly.broken_promises(), context.deadly.broken_promises()[:5]


@then("no node quarantined a request, and the sound read was never refused")
def then_sound(context):
    """A coming whose own back end ends twice may fail; none is turned away."""
    fleet = context.deadly
    print(fleet.report())
    assert not fleet.quarantined()
    assert any(each.answer.status == OK for each in fleet.repeats), fleet.report()
    assert not any(each.answer.status in NOT_RUN for each in fleet.repeats), fleet.report()
