"""Steps for the soak's checks of drains, on requests made up here."""

from __future__ import annotations

import re
import time
from types import SimpleNamespace

from behave import given, then, when
from keyed_calls import KeyedSent
from platform_traffic import READ, Answer
from warming_instances import WarmingInstance, too_many_while_cold
from zone_orders import Drain, Outages, ZoneOrders

DRAINED, OTHER = "sidecar-1", "sidecar-2"
DRAIN_SECONDS, CALLED_AT = 20.0, 6.0


@given("a zone that is drained")
def given_drained(context):
    context.begun = time.monotonic() - 2 * DRAIN_SECONDS
    context.outages, context.sent = Outages(), []
    context.nodes = [
        SimpleNamespace(name=DRAINED, zone="zone-0", arrivals=[]),
        SimpleNamespace(name=OTHER, zone="zone-1", arrivals=[context.begun + 10.0]),
    ]
    context.orders = ZoneOrders([], context.nodes, context.outages, 1)
    end = context.begun + DRAIN_SECONDS
    context.orders.drains.append(Drain("zone-0", context.begun, end))


@when("its node is struck {struck}, and its back end gets a request after {at:g} s")
def when_arrives(context, struck, at):
    if struck != "never":
        since, until = (context.begun + float(each) for each in re.findall(r"\d+", struck))
        context.outages.spans[DRAINED] = [[since, until]]
    context.nodes[0].arrivals.append(context.begun + at)


@when(
    "its callers send {count:d} requests, answered {status:d}, with the other zone's node {other}"
)
def when_called(context, count, status, other):
    if other == "struck":
        context.outages.spans[OTHER] = [[context.begun, context.begun + 1.0]]
    at = context.begun + CALLED_AT
    context.sent += [KeyedSent("1", READ, DRAINED, Answer(status), "", at) for _ in range(count)]


@given("a back end that is cold for {seconds:g} s")
def given_cold(context, seconds):
    context.begun = time.monotonic()
    context.back_end = WarmingInstance.__new__(WarmingInstance)
    context.back_end.name = DRAINED
    context.back_end.arrivals, context.back_end.cold_arrivals = [], []
    context.back_end.cold_until = context.begun + seconds


@when("{count:d} requests come to it within {seconds:g} s, the first after {at:g} s")
def when_they_come(context, count, seconds, at):
    for number in range(count):
        context.back_end.arrived("/read/1", context.begun + at + number * seconds / (count - 1))


@then("the check of the warm-up says {verdict}")
def then_warm_up_says(context, verdict):
    judge(too_many_while_cold([context.back_end]), verdict)


@then("the check of the drain says {verdict}")
def then_says(context, verdict):
    judge(context.orders.check(context.sent), verdict)


def judge(found, verdict):
    if verdict == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and verdict.strip('"') in found[0], found
