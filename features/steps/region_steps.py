"""Steps for the regions of processes and endpoints."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence

import parse
from agent_harness import REGISTRATION
from balancing_steps import SERVICE, agent_endpoints, view_of
from behave import given, register_type, then, when
from behave.runner import Context
from configuration_format import parse_configuration
from msgspec.structs import replace as replaced
from platform_steps import configuration, given_settings
from relay_steps import ZONES, agent, proxy

from limelever.agent.process import build_agent_options
from limelever.agent.registration import _endpoint_of
from limelever.agent.settings import AgentSettings, BackendSettings
from limelever.common.errors import Failure
from limelever.common.regions import Regions
from limelever.common.sansio import Address, Role
from limelever.control.process import ControlInterface
from limelever.control.settings import relay_settings, source_settings
from limelever.node.reports import InstanceReport
from limelever.node.settings import agent_settings, proxy_settings
from limelever.protocol.endpoints_pb2 import EndpointUpdate
from limelever.protocol.operators_pb2 import ApplyRequest
from limelever.proxy.balancer import Balancer, BalancerSettings
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.health import HealthSettings, Verdict
from limelever.proxy.process import core_settings
from limelever.proxy.region_spill import (
    LARGE_WAIT_FRACTION,
    MEDIUM_WAIT_FRACTION,
    SMALL_WAIT_FRACTION,
    RegionSpill,
)
from limelever.source.grpc_asgi import Refusal


@parse.with_pattern(r'[^"]*')
def region_name(text: str) -> str:
    return text


@parse.with_pattern(r"stays|leaves its region")
def goes(text: str) -> str:
    return text


register_type(Region=region_name, Goes=goes)


@given('the agent "{name}" registers at "{relay}" in region "{region}"')
@when('the agent "{name}" registers at "{relay}" in region "{region}"')
def register_in_region(context: Context, name: str, relay: str, region: str) -> None:
    agent(context, name).register(relay, ZONES[relay], 1, region)


@then('the proxies "{names}" see "{instance}" in region "{region}"')
def seen_in_region(context: Context, names: str, instance: str, region: str) -> None:
    for name in names.split(", "):
        assert proxy(context, name).endpoints[instance].region == region, name


@then(
    'an agent of zone "{zone}" with the region "{region}" and the zones "{zones}" '
    'registers "{stated}"'
)
def agent_states(context: Context, zone: str, region: str, zones: str, stated: str) -> None:
    here = Address("127.0.0.1", 1)
    settings = AgentSettings(
        role=Role.AGENT,
        name="orders-1",
        zone=zone,
        region=region.strip("-"),
        zones=dict(pair.split("=") for pair in zones.split() if pair != "-"),
        service=SERVICE,
        listen=here,
        relays=(here,),
        backend=BackendSettings(address=here),
    )
    registration = build_agent_options(settings, here, None).registration
    assert _endpoint_of(registration, 1).region == stated.strip("-")
    assert _endpoint_of(replaced(REGISTRATION, region="x"), 1).region == "x"


@then('an endpoint of zone "{zone}" that states "{stated}" is in region "{region}"')
def endpoint_region(context: Context, zone: str, stated: str, region: str) -> None:
    endpoint = agent_endpoints(1, zone)[0]
    endpoint.region = stated.strip("-")
    view = EndpointView(Regions("north", {"north-a": "north", "south-a": "south"}))
    view.apply(EndpointUpdate(full=True, endpoints=[endpoint]), 0.0)
    assert view.usable(SERVICE, 0.0)[0].region == region.strip("-")


@then("nodes avoid links that are silent for {limit:d} ms only where there are two regions")
def links_probed(context: Context, limit: int) -> None:
    from node_boot import node_settings

    given_settings(context)
    near = {"region": "north", "zones.one": "north", "zones.two": "north"}
    for fields, expected in ((near, 0), (near | {"zones.two": "south"}, limit)):
        settings = node_settings({**context.node_fields, **fields})
        assert settings.calls.link_silence_ms == expected, (fields, settings.calls)


@then("the platform's fields of regions reach the node's proxy and agent and the control process")
def platform_regions(context: Context) -> None:
    from control_boot import control_settings
    from node_boot import node_settings

    given_settings(context)
    fields = {"region": "north", "zones.one": "north", "zones.two.b": "south", "zones.": "no"}
    zones = {"one": "north", "two.b": "south"}
    node = node_settings({**context.node_fields, **fields})
    report = InstanceReport("instance-1", "alpha", 1)
    control = control_settings({**context.control_fields, **fields})
    for settings in (
        proxy_settings(node),
        agent_settings(node, report, "a"),
        control,
        source_settings(control),
        relay_settings(control),
    ):
        assert settings.regions() == Regions("north", zones), settings
    assert core_settings(proxy_settings(node)).regions == Regions("north", zones)
    assert node_settings(context.node_fields).regions() == Regions()


def balancer_in(region: str, seed: int = 1) -> Balancer:
    settings = BalancerSettings(zone="here", region=region)
    return Balancer(settings, HealthSettings(), random.Random(seed))


def regional_view(places: Sequence[tuple[str, str]]) -> EndpointView:
    """Return a view with an endpoint of 9 slots in each (zone, region)."""
    endpoints = []
    for number, (zone, region) in enumerate(places):
        endpoint = agent_endpoints(1, zone, 9, number)[0]
        endpoint.region = region
        endpoints.append(endpoint)
    return view_of(endpoints)


@given("a region with 3 endpoints of 9 slots at a load of {near:d} each, and another at {far:w}")
def two_regions(context: Context, near: int, far: str) -> None:
    places = [("here", "north")] * 3 + [("there", "south")] * 3
    context.usable = regional_view(places).usable(SERVICE, 0.0)
    context.balancer = balancer_in("north")
    context.near_load, context.far_load = near, far


def report_loads(context: Context, work: float) -> None:
    for entry in context.usable:
        if entry.region == "north":
            context.balancer.observe_zone_load(entry.key, context.near_load, NOW)
            context.balancer.observe_load(entry.key, context.near_load, NOW, work)
        elif context.far_load != "none":
            context.balancer.observe_load(entry.key, int(context.far_load), NOW, work)


NOW = 60.0
"""Long after the loads of the first table have lost their weight."""

WAIT_FRACTIONS = {
    "small": SMALL_WAIT_FRACTION,
    "medium": MEDIUM_WAIT_FRACTION,
    "large": LARGE_WAIT_FRACTION,
}


@then("a {kind:w} call with {work:d} ms of work and {target:d} ms to its target {goes:Goes}")
def region_call_goes(context: Context, kind: str, work: int, target: int, goes: str) -> None:
    report_loads(context, work / 1000)
    spill = RegionSpill.of(target / 1000, WAIT_FRACTIONS[kind])
    regions = {
        context.balancer.pick(context.usable, NOW, local_budget=target / 1000, spill=spill).region
        for _ in range(20)
    }
    assert regions == {"north" if goes == "stays" else "south"}, regions


@then("a large call that has tried all endpoints of its region leaves it")
def all_tried(context: Context) -> None:
    report_loads(context, 0.26)
    tried = {entry.key for entry in context.usable if entry.region == "north"}
    picked = context.balancer.pick(context.usable, NOW, tried)
    assert picked is not None and picked.region == "south"


@given("a full zone, an idle zone of the same region and an idle zone of another region")
def three_zones(context: Context) -> None:
    places = [("here", "north"), ("near", "north"), ("there", "south")]
    context.usable = regional_view(places).usable(SERVICE, 0.0)
    context.balancer = balancer_in("north")
    for entry, load in zip(context.usable, (40, 0, 0), strict=True):
        context.balancer.observe_load(entry.key, load, 1.0, 0.3)


@then("calls of every size go to the idle zone of the same region")
def to_idle_zone(context: Context) -> None:
    for fraction in WAIT_FRACTIONS.values():
        spill = RegionSpill.of(1.0, fraction)
        for small in (False, True):
            picked = context.balancer.pick(
                context.usable, 1.0, local_budget=0.5, small=small, spill=spill
            )
            assert picked.zone == "near", picked


@given("the endpoints of 6 zones that {regions}")
def six_zones(context: Context, regions: str) -> None:
    zones = ["here", "b", "c", "d", "e", "f"] * 3
    own = "" if regions.endswith("none") else "north"
    stated = {
        "state": lambda n: "",
        "are all": lambda n: "north",
        "are partly": lambda n: "north" if n % 3 else "",
    }
    region_of = next(
        (make for start, make in stated.items() if regions.startswith(start)),
        lambda n: ("north", "south", "west")[n % 3],
    )
    context.plain = regional_view([(zone, "") for zone in zones])
    context.regional = regional_view([(z, region_of(n)) for n, z in enumerate(zones)])
    context.own_region = own


def placements(view: EndpointView, region: str) -> list[str]:
    balancer = balancer_in(region, seed=5)
    drawn = random.Random(7)
    found = []
    for number in range(500):
        now = number * 0.01
        usable = view.usable(SERVICE, now)
        entry, load = drawn.choice(usable), drawn.randrange(30)
        balancer.observe_load(entry.key, load, now, 0.2)
        if entry.zone == "here":
            balancer.observe_zone_load(entry.key, load, now)
        picked = balancer.pick(
            usable,
            now,
            local_budget=0.4,
            small=drawn.random() < 0.5,
            spill=RegionSpill.of(1.0, SMALL_WAIT_FRACTION),
        )
        assert picked is not None
        balancer.attempt_started(picked.key)
        if number % 3:
            balancer.attempt_ended(picked.key, Verdict.SUCCEEDED, 0.2, now)
        found.append(picked.key.instance)
    return [*found, repr(balancer._random.getstate())]


@then("500 calls are placed as without regions, with the same random draws")
def placed_alike(context: Context) -> None:
    assert placements(context.regional, context.own_region) == placements(context.plain, "")


def order_with_regions(regions: list[str]) -> bytes:
    value = configuration(tenants=[{"name": "t", "apiKeys": [], "allowedRegions": regions}])
    for host in value["virtualHosts"]:
        for path_route in host["pathRoutes"]:
            path_route["allowedRegions"] = regions
    return json.dumps(value).encode()


@then("a configuration whose route and tenant have allowed regions is taken over with both")
def allowed_regions_taken_over(context: Context) -> None:
    batch = parse_configuration(order_with_regions(["north", "south"]))
    assert not isinstance(batch, Failure), batch
    assert {"route", "tenant"} <= {resource.WhichOneof("body") for resource in batch.put}
    for resource in batch.put:
        if resource.HasField("route"):
            assert resource.route.allowed_regions == ["north", "south"]
        if resource.HasField("tenant"):
            assert resource.tenant.allowed_regions == ["north", "south"]
    assert isinstance(parse_configuration(order_with_regions(["n\u00f6rd"])), Failure)
    assert isinstance(parse_configuration(order_with_regions([7])), Failure)  # type: ignore[list-item]


@then(
    'the control process refuses an order with the allowed region "{region:Region}" '
    'because "{reason}"'
)
def order_refused(context: Context, region: str, reason: str) -> None:
    from control_boot import control_settings

    given_settings(context)
    fields = {**context.control_fields, "zones.one": "north", "zones.two": "south"}
    checks = ControlInterface(control_settings(fields)).request_checks
    batch = parse_configuration(order_with_regions([region]))
    answer = checks.checked(ApplyRequest(batch=batch))
    assert isinstance(answer, Refusal) and reason in answer.failure.reason, answer
    sound = parse_configuration(order_with_regions(["south"]))
    assert not isinstance(checks.checked(ApplyRequest(batch=sound)), Refusal)


@given(
    "a zone at a load of {load:d} calls, and a zone of its region and one of another that report "
    "{others}"
)
def overloaded_zone(context: Context, load: int, others: str) -> None:
    places = [("here", "north"), ("near", "north"), ("there", "south")]
    context.usable = regional_view(places).usable(SERVICE, 0.0)
    context.balancer = balancer_in("north")
    own, *rest = context.usable
    context.balancer.observe_zone_load(own.key, load, NOW)
    context.balancer.observe_load(own.key, load, NOW, 0.26)
    for entry in rest if others == "no load" else ():
        context.balancer.observe_load(entry.key, 0, NOW, 0.26)


@then(
    "a large call with {work:d} ms of work and {target:d} ms to its target goes to the other zone "
    "of the region"
)
def to_other_zone(context: Context, work: int, target: int) -> None:
    spill = RegionSpill.of(target / 1000, LARGE_WAIT_FRACTION)
    zones = {
        context.balancer.pick(context.usable, NOW, local_budget=target / 1000, spill=spill).zone
        for _ in range(20)
    }
    assert zones == {"near"}, zones
