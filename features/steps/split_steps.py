"""Steps for traffic splits over many proxies, beside refusals, retries and changes of weights."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then
from behave.runner import Context
from proxy_harness import FIRST_AGENT_PORT, SERVICE, ProxyHarness, agent_endpoints, mesh_resources
from region_rule_steps import EVERY_RETRY, KEY, KEY_HEADER
from route_steps import split_entry

from limelever.common.errors import ErrorKind
from limelever.protocol.config_pb2 import (
    Resource,
    Service,
    Tenant,
    VersionedResource,
    WeightedService,
)
from limelever.protocol.endpoints_pb2 import Endpoint
from limelever.protocol.tenant_keys import digest_of
from limelever.proxy.traffic_split import TrafficSplitter

WINDOW, CALLS, RUNS = 300, 1500, 12
OTHER = "records"
BODY = b"x" * 100
STALE_SECONDS = 20.0


@given("{count:d} proxies with a split of {weights}")
def given_proxies(context: Context, count: int, weights: str) -> None:
    context.count, context.weights = count, [int(each) for each in weights.split(",")]


@then("any 300 calls in a row are within 0.1 of the weights, {changes}")
def within_weights(context: Context, changes: str) -> None:
    entries = {each[0]: split_entry(each) for each in (context.weights, context.weights[::-1])}
    for seed in range(RUNS):
        drawn = random.Random(seed)
        proxies = [TrafficSplitter(random.Random(drawn.random())) for _ in range(context.count)]
        weights = context.weights
        taken, due = [0], [0.0]
        for number in range(CALLS):
            if changes.startswith("with weights") and number and not number % (WINDOW // 2):
                weights = weights[::-1]
            chosen = drawn.choice(proxies).choose(entries[weights[0]]).service
            taken.append(taken[-1] + (chosen == "s0"))
            due.append(due[-1] + weights[0] / sum(weights))
        for first in range(CALLS - WINDOW):
            last = first + WINDOW
            deviation = (taken[last] - taken[first]) - (due[last] - due[first])
            assert abs(deviation) <= 0.1 * WINDOW, (seed, first, deviation)


class SplitHarness(ProxyHarness):
    """A proxy whose lookups are split evenly between two services with two endpoints each."""

    def __init__(self, max_body_bytes: int = 0) -> None:
        super().__init__(calls=EVERY_RETRY)
        self.resources = mesh_resources()
        lookup = next(r for r in self.resources if r.resource.route.name == "lookup")
        lookup.resource.route.service = ""
        parts = [WeightedService(service=name, weight=50) for name in (SERVICE, OTHER)]
        lookup.resource.route.split.extend(parts)
        other = Service(name=OTHER, max_body_bytes=max_body_bytes)
        tenant = Tenant(name="t", key_digests=[digest_of(KEY)])
        for body in (Resource(service=other), Resource(tenant=tenant)):
            self.resources.append(VersionedResource(resource=body, version=1))

    def listed_endpoints(self) -> list[Endpoint]:
        endpoints = agent_endpoints(4)
        for endpoint in endpoints[2:]:
            endpoint.service = OTHER
        return endpoints

    def service_of(self, connection: int) -> str:
        port = self.links[connection].address.port
        return SERVICE if port < FIRST_AGENT_PORT + 2 else OTHER

    def end_calls(self) -> None:
        while self.open_attempts:
            self.answer(*self.open_attempts[0])

    def services(self) -> Counter[str]:
        return Counter(start.service for _, start in self.sent_calls)


@given("a proxy with an even split that refuses every other call {reason}")
def given_refusing(context: Context, reason: str) -> None:
    host = context.proxy = SplitHarness().start()
    for number in range(60):
        group, headers = "web", KEY_HEADER
        if number % 2 and reason == "for its group":
            group = ""
        elif number % 2:
            headers = ((b"authorization", b"bearer unknown"),)
        call = host.ask("/orders/1", headers=headers, group=group)
        assert bool(number % 2) == bool(host.answers[call]), number
        host.end_calls()


@then("its admitted calls are split evenly")
def split_evenly(context: Context) -> None:
    assert context.proxy.services() == {SERVICE: 15, OTHER: 15}, context.proxy.services()


@given(
    "a proxy with an even split, one service of which takes no bodies, and a {age:w} configuration"
)
def given_no_bodies(context: Context, age: str) -> None:
    host = context.proxy = SplitHarness(max_body_bytes=1).start()
    if age == "stale":
        host.relay_answers = False
        host.advance(STALE_SECONDS)
    for _ in range(40):
        host.ask("/orders/1", "POST", headers=KEY_HEADER, body=BODY)
        host.end_calls()


@then("the other service still takes half of the calls with a body")
def half_of_bodies(context: Context) -> None:
    assert context.proxy.services() == {SERVICE: 20}, context.proxy.services()


@given("a proxy with an even split whose agents refuse every third attempt")
def given_refusing_agents(context: Context) -> None:
    host = context.proxy = SplitHarness().start()
    context.first, context.retried = Counter(), 0
    for number in range(120):
        host.ask(f"/orders/{number}", headers=KEY_HEADER)
        context.first[host.open_attempts[0][1].service] += 1
        if number % 3 == 0:
            service = host.open_attempts[0][1].service
            host.refuse(*host.open_attempts[0], ErrorKind.OVERLOADED)
            assert [start.service for _, start in host.open_attempts] == [service]
            context.retried += 1
        host.end_calls()


@then("its calls are split evenly, and each retry goes to the service of its call")
def retries_stay(context: Context) -> None:
    assert context.retried == 40 and context.first == {SERVICE: 60, OTHER: 60}, context.first
