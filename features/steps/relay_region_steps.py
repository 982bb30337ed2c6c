"""Steps for regions that lose each other: whole relay cores under virtual time."""

from behave import given, then, when
from distribution_harness import Mesh, build, resource
from scripted_agent import RENEWAL_INTERVAL, STATES, ScriptedAgent

from limelever.protocol.distribution_pb2 import ConfigSnapshot
from limelever.relay.sealing import SnapshotSealer
from limelever.subscriber.settings import SubscriberSettings

LINK_LIFE = 30.0
"""Seconds after which the system ends a link over which nothing comes through."""


def zones_of(text):
    return [zone.strip() for zone in text.split(",")]


def run(context, duration):
    """Let time pass; the agents renew their leases."""
    network = context.mesh.network
    end = network.now + duration
    while network.now < end:
        for one in context.agents.values():
            one.renew(context.agent_states[one.name])
        network.run(min(RENEWAL_INTERVAL, end - network.now))
        watch_links(context)


def watch_links(context):
    """Note the proxies that have no open link to a relay of their region."""
    for region, zones in context.regions.items():
        relays = {f"relay-{zone}" for zone in zones}
        for name in proxies_in(context, region):
            links = context.mesh.network.nodes[name].links.values()
            if not any(other.name in relays for other, _ in links):
                context.unlinked[name] = context.unlinked.get(name, 0) + 1


def proxies_in(context, region):
    return [name for zone in context.regions[region] for name in context.proxies[zone]]


def start_proxy(context, name, zone):
    own_first = sorted(context.relays, key=lambda relay: relay != f"relay-{zone}")
    addresses = tuple(context.mesh.network.address(relay) for relay in own_first)
    settings = SubscriberSettings(publishers=addresses, services=("orders",))
    context.mesh.add_reader(name, settings, zone)


# --- the set-up ----------------------------------------------------------------------------


@given('a region "{region}" of the zones "{zones}" with the source')
def step_first_region(context, region, zones):
    context.mesh = Mesh()
    context.regions = {region: zones_of(zones)}
    context.agents, context.agent_states, context.unlinked = {}, {}, {}
    context.mesh.add_source("source")
    put = [build("service/orders"), resource("secret/till", value=b"hidden")]
    context.mesh.apply([*put, build("route/place", "orders", "till")])


@given('a region "{region}" of the zones "{zones}"')
def step_second_region(context, region, zones):
    context.regions[region] = zones_of(zones)
    context.relays = [f"relay-{zone}" for of in context.regions.values() for zone in of]
    for relay in context.relays:
        peers = [other for other in context.relays if other != relay]
        zone = relay.removeprefix("relay-")
        context.mesh.add_relay(relay, zone, peers, SnapshotSealer([b"k" * 32]))
    context.mesh.network.run(3.0)


@given("{count:d} region proxies in each zone that know every relay")
def step_region_proxies(context, count):
    zones = [zone for of in context.regions.values() for zone in of]
    context.proxies = {zone: [f"proxy-{zone}-{n}" for n in range(count)] for zone in zones}
    for zone, found in context.proxies.items():
        for name in found:
            start_proxy(context, name, zone)


@given("a region agent in each zone")
def step_region_agents(context):
    for zone in context.proxies:
        one = ScriptedAgent(context.mesh, f"agent-{zone}", 1)
        one.register(f"relay-{zone}", zone, 1)
        context.agents[one.name] = one
        context.agent_states[one.name] = "ready"


# --- what happens --------------------------------------------------------------------------


@when("{duration:g} seconds pass over the regions")
def step_pass(context, duration):
    run(context, duration)


@when("the regions are cut off from each other")
def step_cut(context):
    network = context.mesh.network
    near, far = context.regions
    side = {name for name in network.nodes if any(zone in name for zone in context.regions[far])}
    for one in network.nodes:
        for other in side:
            if one not in side:
                network.cuts.add(frozenset((one, other)))
    context.cut_version = context.mesh.version
    context.unlinked.clear()
    for node in network.nodes.values():
        node.received.clear()
    network.later(LINK_LIFE, end_dead_links, network)


def end_dead_links(network):
    for node in tuple(network.nodes.values()):
        for connection, (other, _) in tuple(node.links.items()):
            if frozenset((node.name, other.name)) in network.cuts:
                network._close(node, connection, "nothing came through")


@when("the configuration changes {count:d} times in {duration:d} seconds")
def step_changes(context, count, duration):
    for number in range(count):
        context.mesh.apply([build(f"route/place-{number % 7}", "orders", "till")])
        run(context, duration / count)


@when('the proxies in "{region}" restart with their disks')
def step_restart(context, region):
    for name in proxies_in(context, region):
        context.mesh.network.kill(name)
        start_proxy(context, name, name.removeprefix("proxy-").rpartition("-")[0])


@when('the agent in "{zone}" drains')
def step_drain(context, zone):
    context.agent_states[f"agent-{zone}"] = "draining"
    context.agents[f"agent-{zone}"].renew("draining")


@when("the regions are joined again")
def step_join(context):
    context.mesh.network.cuts.clear()


# --- what is so ----------------------------------------------------------------------------


def versions(context, region):
    return {
        context.mesh.network.nodes[name].core.subscriber.version
        for name in proxies_in(context, region)
    }


@then('every proxy in "{region}" holds the region\'s newest version')
def step_newest(context, region):
    assert versions(context, region) == {context.mesh.version}, versions(context, region)
    for name in proxies_in(context, region):
        held = context.mesh.network.nodes[name].core.held
        assert dict(held) == context.mesh.scope_of(["orders"])


@then('every proxy in "{region}" holds the version of the cut, whole')
def step_version_of_cut(context, region):
    assert versions(context, region) == {context.cut_version}, versions(context, region)
    for name in proxies_in(context, region):
        held = {str(key) for key in context.mesh.network.nodes[name].core.held}
        assert held == {"service/orders", "secret/till", "route/place"}, held


@then('no proxy in "{region}" has been without its region\'s relays')
def step_linked(context, region):
    found = {name: context.unlinked.get(name, 0) for name in proxies_in(context, region)}
    assert not any(found.values()), found


@then('every proxy in "{region}" sees the agent in "{zone}" as "{state}"')
def step_sees(context, region, zone, state):
    for name in proxies_in(context, region):
        endpoint = context.mesh.network.nodes[name].core.endpoints[f"agent-{zone}"]
        assert endpoint.state == STATES[state], (name, endpoint)


@then('since the cut no relay and no proxy in "{region}" was sent a snapshot')
def step_no_snapshot(context, region):
    readers = [f"relay-{zone}" for zone in context.regions[region]]
    for name in [*readers, *proxies_in(context, region)]:
        received = context.mesh.network.nodes[name].received
        assert received
        assert not any(isinstance(message, ConfigSnapshot) for message in received), name
