"""Steps for network partitions between regions: complete relay cores under virtual time."""

from behave import given, then, when
from distribution_harness import Mesh, build, resource
from scripted_agent import RENEWAL_INTERVAL, STATES, ScriptedAgent

from limelever.protocol.distribution_pb2 import ConfigSnapshot
from limelever.relay.sealing import SnapshotSealer
from limelever.subscriber.settings import SubscriberSettings

LINK_TIMEOUT = 30.0
"""Seconds after which the operating system closes a connection without acknowledgements."""


def zones_of(text):
    return [zone.strip() for zone in text.split(",")]


def run(context, duration):
    """Advance virtual time while the agents renew their leases."""
    network = context.mesh.network
    end = network.now + duration
    while network.now < end:
        for agent in context.agents.values():
            agent.renew(context.agent_states[agent.name])
        network.run(min(RENEWAL_INTERVAL, end - network.now))
        record_unlinked_proxies(context)


def record_unlinked_proxies(context):
    """Count for each proxy how often it has no open link to a relay of its region."""
    for region, zones in context.regions.items():
        relays = {f"relay-{zone}" for zone in zones}
        for name in proxies_in(context, region):
            links = context.mesh.network.nodes[name].links.values()
            if not any(other.name in relays for other, _ in links):
                context.unlinked_counts[name] = context.unlinked_counts.get(name, 0) + 1


def proxies_in(context, region):
    return [name for zone in context.regions[region] for name in context.proxies[zone]]


def start_proxy(context, name, zone):
    own_first = sorted(context.relays, key=lambda relay: relay != f"relay-{zone}")
    addresses = tuple(context.mesh.network.address(relay) for relay in own_first)
    settings = SubscriberSettings(publishers=addresses, services=("orders",))
    context.mesh.add_reader(name, settings, zone)


# --- setup ---------------------------------------------------------------------------------


@given('a region "{region}" of the zones "{zones}" with the source')
def step_first_region(context, region, zones):
    context.mesh = Mesh()
    context.regions = {region: zones_of(zones)}
    context.agents, context.agent_states, context.unlinked_counts = {}, {}, {}
    context.mesh.add_source("source")
    resources = [build("service/orders"), resource("secret/till", value=b"hidden")]
    context.mesh.apply([*resources, build("route/place", "orders", "till")])


@given('a region "{region}" of the zones "{zones}"')
def step_second_region(context, region, zones):
    context.regions[region] = zones_of(zones)
    context.relays = [
        f"relay-{zone}" for region_zones in context.regions.values() for zone in region_zones
    ]
    for relay in context.relays:
        peers = [other for other in context.relays if other != relay]
        zone = relay.removeprefix("relay-")
        context.mesh.add_relay(relay, zone, peers, SnapshotSealer([b"k" * 32]))
    context.mesh.network.run(3.0)


@given("{count:d} region proxies in each zone that know every relay")
def step_region_proxies(context, count):
    zones = [zone for region_zones in context.regions.values() for zone in region_zones]
    context.proxies = {zone: [f"proxy-{zone}-{n}" for n in range(count)] for zone in zones}
    for zone, names in context.proxies.items():
        for name in names:
            start_proxy(context, name, zone)


@given("a region agent in each zone")
def step_region_agents(context):
    for zone in context.proxies:
        agent = ScriptedAgent(context.mesh, f"agent-{zone}", 1)
        agent.register(f"relay-{zone}", zone, 1)
        context.agents[agent.name] = agent
        context.agent_states[agent.name] = "ready"


# --- actions -------------------------------------------------------------------------------


@when("{duration:g} seconds pass over the regions")
def step_run(context, duration):
    run(context, duration)


@when("the network between the regions is partitioned")
def step_partition(context):
    network = context.mesh.network
    near, far = context.regions
    far_nodes = {
        name for name in network.nodes if any(zone in name for zone in context.regions[far])
    }
    for one in network.nodes:
        for other in far_nodes:
            if one not in far_nodes:
                network.cuts.add(frozenset((one, other)))
    context.version_before_partition = context.mesh.version
    context.unlinked_counts.clear()
    for node in network.nodes.values():
        node.received.clear()
    network.later(LINK_TIMEOUT, close_cut_links, network)


def close_cut_links(network):
    for node in tuple(network.nodes.values()):
        for connection, (other, _) in tuple(node.links.items()):
            if frozenset((node.name, other.name)) in network.cuts:
                network._close(node, connection, "connection timed out")


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


@when("the network partition is healed")
def step_heal(context):
    context.mesh.network.cuts.clear()


# --- checks --------------------------------------------------------------------------------


def versions(context, region):
    return {
        context.mesh.network.nodes[name].core.subscriber.version
        for name in proxies_in(context, region)
    }


@then('every proxy in "{region}" holds the newest version')
def step_newest(context, region):
    assert versions(context, region) == {context.mesh.version}, versions(context, region)
    for name in proxies_in(context, region):
        held = context.mesh.network.nodes[name].core.held
        assert dict(held) == context.mesh.scope_of(["orders"])


@then('every proxy in "{region}" holds the complete version from before the partition')
def step_version_before_partition(context, region):
    assert versions(context, region) == {context.version_before_partition}, versions(
        context, region
    )
    for name in proxies_in(context, region):
        held = {str(key) for key in context.mesh.network.nodes[name].core.held}
        assert held == {"service/orders", "secret/till", "route/place"}, held


@then('every proxy in "{region}" was always linked to a relay of its region')
def step_always_linked(context, region):
    counts = {name: context.unlinked_counts.get(name, 0) for name in proxies_in(context, region)}
    assert not any(counts.values()), counts


@then('every proxy in "{region}" sees the agent in "{zone}" as "{state}"')
def step_sees(context, region, zone, state):
    for name in proxies_in(context, region):
        endpoint = context.mesh.network.nodes[name].core.endpoints[f"agent-{zone}"]
        assert endpoint.state == STATES[state], (name, endpoint)


@then('no relay or proxy in "{region}" received a snapshot since the partition')
def step_no_snapshot(context, region):
    readers = [f"relay-{zone}" for zone in context.regions[region]]
    for name in [*readers, *proxies_in(context, region)]:
        received = context.mesh.network.nodes[name].received
        assert received
        assert not any(isinstance(message, ConfigSnapshot) for message in received), name
