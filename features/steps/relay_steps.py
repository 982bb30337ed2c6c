"""Steps for relays: complete relay cores in a simulated network under virtual time."""

import json

from behave import given, then, when
from distribution_harness import Mesh, build, endpoint_updates, resource
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st
from scripted_agent import RENEWAL_INTERVAL, STATES, ScriptedAgent

from limelever.common.errors import Failure
from limelever.common.sansio import OpenConnection, Purpose, Role, SendMessage
from limelever.protocol.distribution_pb2 import RolloutEntry, RolloutReport
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    LeaseLost,
    Register,
)
from limelever.relay.endpoint_entry import LOCAL_ORIGIN, EndpointName
from limelever.relay.endpoint_table import EndpointTable, TableSettings
from limelever.relay.interface import PlatformListRead, StopRequested
from limelever.relay.platform_list import parse_machines
from limelever.relay.rollout_reporter import RolloutReporter
from limelever.relay.sealing import SnapshotSealer
from limelever.subscriber.events import PUBLISHER_LEFT
from limelever.subscriber.settings import SubscriberSettings

ZONES = {"relay-1": "zone-a", "relay-2": "zone-b"}
SECRET = b"a value that must not stand on a disk"
KEY, OTHER_KEY = b"k" * 32, b"o" * 32


def start_proxy(context, name, *relays, zone=None):
    addresses = tuple(context.mesh.network.address(relay) for relay in relays)
    subscription = SubscriberSettings(publishers=addresses, services=("orders",))
    context.proxies[name] = relays
    return context.mesh.add_reader(name, subscription, zone or ZONES[relays[0]])


def start_relay(context, name, key=KEY, **options):
    peers = [relay for relay in ZONES if relay != name]
    context.mesh.add_relay(name, ZONES[name], peers, SnapshotSealer([key]), **options)


def agent(context, name):
    if name not in context.agents:
        context.agents[name] = ScriptedAgent(context.mesh, name, 0)
    return context.agents[name]


def proxy(context, name):
    return context.mesh.network.nodes[name].core


def relay_followed(context, name):
    return next(other for other, _ in context.mesh.network.nodes[name].links.values())


# --- setup ---------------------------------------------------------------------------------


@given('a mesh of the relays "relay-1" and "relay-2"')
def step_mesh(context):
    context.mesh = Mesh()
    context.agents, context.proxies = {}, {}
    context.mesh.add_source("source")
    secret = resource("secret/till", value=SECRET)
    route = build("route/place", "orders", "till")
    context.mesh.apply([build("service/orders"), secret, route])
    for name in ZONES:
        start_relay(context, name)


@given('a proxy "{one}" at "{relay}" and a proxy "{other}" at "{other_relay}"')
def step_proxies(context, one, relay, other, other_relay):
    context.mesh.network.run(1.0)
    start_proxy(context, one, relay)
    start_proxy(context, other, other_relay)
    context.mesh.network.run(4.0)


@given('a proxy "{name}" that may choose between "{one}" and "{other}"')
def step_proxy_choice(context, name, one, other):
    start_proxy(context, name, one, other)


@given('{count:d} more proxies at "{relay}"')
def step_more_proxies(context, count, relay):
    for number in range(count):
        start_proxy(context, f"more-{number}", relay)


@given('{count:d} more proxies that prefer "{relay}" to "{other}"')
def step_proxies_with_preference(context, count, relay, other):
    context.preferring = [f"preferring-{number}" for number in range(count)]
    for name in context.preferring:
        start_proxy(context, name, relay, other)


@given('an agent\'s subscription "{name}" at "{relay}"')
def step_agent_subscription(context, name, relay):
    host = start_proxy(context, name, relay)
    context.mesh.network.kill(name)
    context.mesh.network.dark.discard(name)
    context.mesh.network.add(name, host, Role.AGENT)


@given('the agent "{name}" registers at "{relay}" with incarnation {incarnation:d}')
@when('the agent "{name}" registers at "{relay}" with incarnation {incarnation:d}')
@when('the agent "{name}" registers again at "{relay}" with incarnation {incarnation:d}')
def step_register(context, name, relay, incarnation):
    agent(context, name).register(relay, ZONES[relay], incarnation)


# --- actions -------------------------------------------------------------------------------


@given("{duration:g} seconds pass at the relays")
@when("{duration:g} seconds pass at the relays")
def step_run(context, duration):
    context.mesh.network.run(duration)


@when('the agent "{name}" renews as "{state}"')
def step_renew(context, name, state):
    agent(context, name).renew(state)


@when('the agent "{name}" renews for {duration:d} seconds')
def step_renew_for(context, name, duration):
    end = context.mesh.network.now + duration
    while context.mesh.network.now < end:
        agent(context, name).renew("ready")
        context.mesh.network.run(min(RENEWAL_INTERVAL, end - context.mesh.network.now))


@when('the agent "{name}" renews {count:d} times with changing load')
def step_renew_load(context, name, count):
    for number in range(count):
        agent(context, name).renew("ready", in_flight=number)


@when('the agent "{name}" registers at "{relay}" with the same incarnation')
def step_register_elsewhere(context, name, relay):
    moving = agent(context, name)
    moving.register(relay, ZONES[relay], moving.incarnation)


@when('the agent "{name}" tells "{relay}" that it warms up for {left_ms:d} more milliseconds')
def step_register_warming(context, name, relay, left_ms):
    agent(context, name).warm_up_left_ms = left_ms
    step_register_elsewhere(context, name, relay)
    context.mesh.network.run(1.0)


@when('the agent "{name}" registers at "{relay}" again and states a limit of {limit:g} a second')
def step_register_limited(context, name, relay, limit):
    agent(context, name).stated = {"limit": limit}
    step_register_elsewhere(context, name, relay)
    context.mesh.network.run(1.0)


@then('the proxies "{names}" see a limit of {limit:g} for "{instance}"')
def step_see_limit(context, names, limit, instance):
    for name in names.split(", "):
        endpoint = proxy(context, name).endpoints[instance]
        assert endpoint.HasField("limit") and endpoint.limit == limit, endpoint


@when('the agent "{name}" states to "{relay}" that its instance "{run}" is leaving')
def step_register_leaving(context, name, relay, run):
    agent(context, name).stated = {"run": run, "leaving": True}
    step_register_elsewhere(context, name, relay)
    context.mesh.network.run(1.0)


@when('the agent "{name}" registers at "{relay}" beside the instance "{run}"')
def step_register_beside(context, name, relay, run):
    agent(context, name).stated = {"run": run}
    agent(context, name).register(relay, ZONES[relay], 5)
    context.mesh.network.run(1.0)


@then('the proxy "{name}" sees "{instance}" with {left_ms:d} milliseconds of warm-up left')
def step_see_warming(context, name, instance, left_ms):
    endpoint = proxy(context, name).endpoints[instance]
    assert endpoint.warm_up_left_ms == left_ms, endpoint


@when('{count:d} agents register at "{relay}" at once')
def step_many_agents(context, count, relay):
    agents = [ScriptedAgent(context.mesh, f"many-{number}", 1) for number in range(count)]
    for each in agents:
        dial = OpenConnection(2, context.mesh.network.address(relay), Purpose.REGISTRATION)
        context.mesh.network.carry_out(each.name, [dial])
    context.mesh.network.run(0.2)
    for number, each in enumerate(agents):
        endpoint = Endpoint(service="orders", instance=each.name, incarnation=1, sequence=1)
        endpoint.state, endpoint.port = ENDPOINT_STATE_READY, number
        message = SendMessage(2, Register(endpoint=endpoint))
        context.mesh.network.carry_out(each.name, [message])


@when(
    'the platform list of "{one}" and "{other}" shows "{name}" of incarnation {incarnation:d} '
    'as "{state}"'
)
def step_platform_list(context, one, other, name, incarnation, state):
    machines = [{"instance": name, "state": state, "incarnation": incarnation}]
    notices = parse_machines(json.dumps(machines).encode())
    for relay in {one, other}:
        context.mesh.network.tell(relay, PlatformListRead(notices))


@when('the relay "{name}" is killed')
def step_kill(context, name):
    context.mesh.network.kill(name)


@when("the mesh's source is killed")
def step_kill_source(context):
    context.mesh.network.kill("source")


@when('the relay "{name}" restarts')
def step_restart_relay(context, name):
    start_relay(context, name)


@when('the relay "{name}" restarts and admits no subscribers')
def step_restart_without_admission(context, name):
    start_relay(context, name, admission_burst=0.0)


@when('the relay "{name}" accepts links but sends nothing')
def step_silent_relay(context, name):
    # A killed node accepts links again, but has no core that could answer.
    context.mesh.network.dark.discard(name)


@when('the relay "{name}" restarts with another key')
def step_restart_relay_key(context, name):
    start_relay(context, name, OTHER_KEY)


@when('the proxy "{name}" restarts with its disk')
def step_restart_proxy(context, name):
    context.mesh.network.kill(name)
    start_proxy(context, name, *context.proxies[name])


@when('the proxy "{name}" restarts with an empty disk')
def step_restart_proxy_empty(context, name):
    context.mesh.network.kill(name)
    context.mesh.network.nodes[name].files.clear()
    start_proxy(context, name, *context.proxies[name])


@when('the link between "{one}" and "{other}" is cut silently')
def step_cut_relays(context, one, other):
    context.mesh.network.cuts.add(frozenset((one, other)))


@when("all links are restored")
def step_restore_links(context):
    context.mesh.network.cuts.clear()


@when('the relay that "{name}" follows is cut off silently from the source')
def step_cut_relay(context, name):
    relay = relay_followed(context, name).name
    context.mesh.network.cuts.add(frozenset((relay, "source")))


@when('the relay that "{name}" follows stops as planned')
def step_stop_relay(context, name):
    relay = relay_followed(context, name).name
    context.mesh.network.tell(relay, StopRequested())
    context.mesh.network.dark.add(relay)


@when('the mesh changes the route "{name}"')
def step_change_route(context, name):
    context.mesh.apply([build(f"route/{name}", "orders")])


@when('the disk of the proxy "{name}" stalls')
def step_stall(context, name):
    context.mesh.network.nodes[name].disk_stalled = True


@when('the disk of the proxy "{name}" recovers')
def step_recover_disk(context, name):
    context.mesh.network.sync(name)


@when('the proxy "{name}" starts counting its endpoint updates')
def step_count_updates(context, name):
    context.updates = len(endpoint_updates(context.mesh.network.nodes[name]))


# --- checks --------------------------------------------------------------------------------


@then('the proxies "{names}" see "{instance}" as "{state}"')
def step_see(context, names, instance, state):
    for name in names.split(", "):
        endpoint = proxy(context, name).endpoints[instance]
        assert endpoint.state == STATES[state], (name, endpoint)


@then('the proxies "{names}" see incarnation {incarnation:d} of "{instance}"')
def step_see_incarnation(context, names, incarnation, instance):
    for name in names.split(", "):
        assert proxy(context, name).endpoints[instance].incarnation == incarnation


@then('the proxy "{name}" has always seen "{instance}" as "{state}"')
def step_always_seen(context, name, instance, state):
    updates = endpoint_updates(context.mesh.network.nodes[name])
    seen = [e.state for update in updates for e in update.endpoints if e.instance == instance]
    assert seen and set(seen) == {STATES[state]}, seen
    assert proxy(context, name).endpoints[instance].state == STATES[state]


@then('the agent "{name}" is told that its lease is lost')
def step_lease_lost(context, name):
    received = context.mesh.network.nodes[name].received
    assert any(isinstance(message, LeaseLost) for message in received)


@then('the proxy "{name}" received {count:d} more endpoint updates')
def step_more_updates(context, name, count):
    updates = len(endpoint_updates(context.mesh.network.nodes[name]))
    assert updates - context.updates == count, updates - context.updates


@then('the subscription "{name}" holds the configuration and received no endpoints')
def step_agent_config(context, name):
    node = context.mesh.network.nodes[name]
    assert node.core.subscriber.version == context.mesh.version
    assert endpoint_updates(node) == []


@then('the source counts the newest version in force at "{expected}"')
def step_source_counts(context, expected):
    publisher = context.mesh.network.nodes["source"].core.publisher
    zones = publisher.rollout(context.mesh.version)
    counted = ", ".join(f"{z.zone}: {z.in_force} of {z.in_force + z.lagging}" for z in zones)
    assert counted == expected, counted


@then('the proxy "{name}" holds the newest version')
def step_proxy_holds(context, name):
    host = proxy(context, name)
    assert host.subscriber.version == context.mesh.version, host.subscriber.version
    assert dict(host.held) == context.mesh.scope_of(["orders"])


@then('the proxy "{name}" holds no configuration')
def step_proxy_holds_nothing(context, name):
    assert not proxy(context, name).held


@then('the relay "{name}" holds the newest version')
def step_relay_holds(context, name):
    assert context.mesh.network.nodes[name].core.version == context.mesh.version


@then('the disk of "{name}" holds a snapshot and no plain-text secret')
def step_no_secret(context, name):
    files = context.mesh.network.nodes[name].files
    assert "snapshot" in files
    assert not any(SECRET in content for content in files.values())


@then("all proxies hold the newest version")
def step_all_hold(context):
    for name in context.proxies:
        step_proxy_holds(context, name)


def followers(context, relay):
    return [n for n in context.preferring if relay_followed(context, n).name == relay]


@then('{count:d} proxies follow "{relay}"')
def step_follow(context, count, relay):
    assert len(followers(context, relay)) == count, len(followers(context, relay))


@then('the proxies that follow "{relay}" hold the newest version')
def step_followers_hold(context, relay):
    for name in followers(context, relay):
        step_proxy_holds(context, name)


@then('over {seconds:d} seconds at most {count:d} proxies a second move to "{relay}"')
def step_move_gradually(context, seconds, count, relay):
    before = len(followers(context, relay))
    for _ in range(seconds):
        context.mesh.network.run(1.0)
        after = len(followers(context, relay))
        assert after - before <= count, after - before
        before = after


def relays_left(context, name):
    log = context.mesh.network.nodes[name].log
    return sum(code == PUBLISHER_LEFT for code, _ in log)


@then("each of them has left a relay {count:d} times")
def step_left(context, count):
    found = {relays_left(context, name) for name in context.preferring}
    assert found == {count}, found


@then("each of them has left a relay at most {count:d} times")
def step_left_at_most(context, count):
    assert max(relays_left(context, name) for name in context.preferring) <= count


@then('each of them has dialled "{relay}" at least {count:d} times')
def step_dialled_often(context, relay, count):
    callers = context.mesh.network.nodes[relay].callers
    assert min(callers[name] for name in context.preferring) >= count, callers


@then("unchanged rollout counts are reported once to each new publisher")
def step_counts_reported_once(context):
    reporter = RolloutReporter(1.0)
    report = RolloutReport(entries=[RolloutEntry(zone="zone-a", version=1, holders=2)])
    assert reporter.report_if_changed(report, 1) == report
    assert reporter.report_if_changed(report, 1) is None
    assert reporter.report_if_changed(report, 3) == report
    assert reporter.report_if_changed(report, 3) is None
    assert reporter.report_if_changed(RolloutReport(), 3) == RolloutReport()


@then("the source has {count:d} subscribers")
def step_source_subscribers(context, count):
    assert len(context.mesh.network.nodes["source"].links) == count


@then("random updates of an endpoint merge to the same state in any order")
def step_any_order(context):
    update = st.tuples(st.integers(1, 3), st.integers(1, 4), st.sampled_from([1, 2, 3]))

    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @examples(st.lists(update, min_size=1, max_size=6), st.randoms(use_true_random=False))
    def check(updates, generator):
        shuffled = list(updates)
        generator.shuffle(shuffled)
        assert merged_state(updates) == merged_state(shuffled), (updates, shuffled)

    check()


def merged_state(updates):
    table = EndpointTable(TableSettings())
    for incarnation, sequence, state in updates:
        endpoint = Endpoint(service="orders", instance="one")
        endpoint.incarnation, endpoint.sequence, endpoint.state = incarnation, sequence, state
        table.merge(endpoint, "relay-1", None, 0.0)
    found = table.get(EndpointName("orders", "one")).endpoint
    return (found.incarnation, found.sequence, found.state)


@then(
    "platform lists are parsed into notices of leaving and dead machines, and invalid ones refused"
)
def step_parse_list(context):
    machines = [
        {"instance": "a", "state": "live", "incarnation": 1},
        {"instance": "b", "state": "leaving", "incarnation": 2},
        {"instance": "c", "state": "dead", "incarnation": 3},
    ]
    notices = parse_machines(json.dumps(machines).encode())
    assert [(n.instance, n.state, n.observed_incarnation) for n in notices] == [
        ("b", ENDPOINT_STATE_DRAINING, 2),
        ("c", ENDPOINT_STATE_GONE, 3),
    ]
    for body in (b"", b"{", b"[1]", b'[{"instance": "a"}]', b'[{"state": "dead"}]', b"5"):
        assert isinstance(parse_machines(body), Failure), body


@then("an endpoint table that removed a tombstone cannot list the changes since before it")
def step_dropped_tombstone(context):
    table = EndpointTable(TableSettings(tombstone=10.0))
    endpoint = Endpoint(service="orders", instance="one", incarnation=1, sequence=1)
    endpoint.state = ENDPOINT_STATE_READY
    table.merge(endpoint, LOCAL_ORIGIN, 5.0, 0.0)
    received_change = table.last_local_change
    table.expire(6.0)
    assert [e.state for e in table.local_changes_since(received_change)] == [ENDPOINT_STATE_GONE]
    table.expire(20.0)
    assert table.local_changes_since(received_change) is None
    assert table.local_changes_since(table.last_local_change) == []
