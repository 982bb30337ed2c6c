"""Steps for publisher and subscriber: two cores, a small network, virtual time."""

from behave import given, then, when
from distribution_harness import (
    Mesh,
    SourceHost,
    build,
    configuration_messages,
    names,
    resource,
)
from distribution_readers import check_monotone, reader_settings

from limelever.common.sansio import (
    MessageReceived,
    Role,
)
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest, resource_hash
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    Heartbeat,
    InventoryRequest,
)
from limelever.protocol.keys import Key
from limelever.publisher.resources import ResourceTable
from limelever.publisher.settings import PublisherSettings
from limelever.subscriber import events


def reader(context, name):
    return context.mesh.network.nodes[name].core


# --- the set-up ----------------------------------------------------------------------------


@given("a source of configuration")
def step_source(context):
    context.mesh = Mesh()
    context.mesh.add_source("source")
    context.mesh.add_source("source-2")
    context.services = {}


@given("the source holds")
def step_source_holds(context):
    put = [build(row["resource"], row["service"], row["secrets"]) for row in context.table]
    context.mesh.apply(put)


@given('a reader "{name}" of the services "{services}"')
def step_reader(context, name, services):
    context.services[name] = services
    context.mesh.add_reader(name, reader_settings(context.mesh, services, "source"))


@given('an agent "{name}" of the services "{services}"')
def step_agent(context, name, services):
    context.services[name] = services
    settings = reader_settings(context.mesh, services, "source")
    context.mesh.add_reader(name, settings, role=Role.AGENT)


@given('a reader "{name}" that may choose of "{publishers}" and uses "{services}"')
def step_reader_at(context, name, services, publishers):
    context.services[name] = services
    context.mesh.add_reader(name, reader_settings(context.mesh, services, publishers))


@given('a lagging source "{name}" that hears no change any more')
def step_lagging_source(context, name):
    context.mesh.add_source(name)
    context.mesh.catch_up(name)
    context.mesh.sources.remove(name)


@given('a cut-off source "{name}" that cannot prove itself')
def step_cut_off_source(context, name):
    step_lagging_source(context, name)
    context.mesh.network.nodes[name].core.isolated = True


def replace_source(context, **changed):
    mesh = context.mesh
    mesh.settings = PublisherSettings(**{"batch_delay": 0.0, **changed})
    for name in mesh.sources:
        mesh.network.kill(name)
        mesh.network.dark.discard(name)
        mesh.network.add(name, SourceHost(mesh.settings), Role.SOURCE)
        mesh.catch_up(name)


@given("a window of {count:d} versions at the source")
def step_window(context, count):
    replace_source(context, window=count)


@given("a window of {size:d} bytes at the source")
def step_window_bytes(context, size):
    replace_source(context, window_bytes=size)


@when("{versions:d} versions change each of {routes:d} routes, with a window of {size:d} MB")
def step_large_changes(context, versions, routes, size):
    context.window_bytes = size * 1_000_000
    context.kept = ResourceTable(window=4096, window_bytes=context.window_bytes)
    for version in range(1, versions + 1):
        bodies = [resource(f"route/r{n}", timeout_ms=version) for n in range(routes)]
        put = [VersionedResource(resource=body, version=version) for body in bodies]
        context.kept.advance(version, put, [])


@then("the former values that are kept are within the window")
def step_within_window(context):
    assert 0 < context.kept.window_size <= context.window_bytes, context.kept.window_size


@then("the last versions are still in the window, and the first ones are not")
def step_last_versions(context):
    assert context.kept.overlay_at(context.kept.version - 3) is not None
    assert context.kept.overlay_at(1) is None


@given("a batch delay of {delay:g} seconds at the source")
def step_batch_delay(context, delay):
    replace_source(context, batch_delay=delay)


# --- what happens --------------------------------------------------------------------------


@when("{duration:g} seconds pass in the distribution")
def step_pass(context, duration):
    context.mesh.network.run(duration)


@when('the source puts "{text}" to "{service}" with the secrets "{secrets}"')
def step_put_route(context, text, service, secrets):
    context.mesh.apply([build(text, service, secrets)])


@when(
    'the source puts "{text}" to "{service}" with the secrets "{secrets}" '
    "{count:d} times, {gap:g} seconds apart"
)
def step_put_often(context, text, service, secrets, count, gap):
    for number in range(count):
        body = build(text, service, secrets)
        body.route.timeout_ms = number + 1
        context.mesh.apply([body])
        context.mesh.network.run(gap)


@when('the source deletes "{text}"')
def step_delete(context, text):
    context.mesh.apply((), [Key.of(build(text))])


@when('the source puts "{text}" alone')
def step_put(context, text):
    context.mesh.apply([build(text)])


@when('the source makes {count:d} changes to the route "{name}" and its neighbours')
def step_many_changes(context, count, name):
    for number in range(count):
        text = f"route/{name}" if number % 2 else f"route/{name}-{number % 5}"
        secrets = "till" if number % 3 else ""
        context.mesh.apply([build(text, "orders", secrets)])


def wrong_digest(delta):
    delta.digest = bytes(16)


def part_missing(delta):
    del delta.put[0]


def dangling(delta):
    digest = SetDigest.from_bytes(delta.digest)
    digest.remove(resource_hash(delta.put[0]))
    delta.put[0].resource.route.secrets.append("ghost")
    digest.add(resource_hash(delta.put[0]))
    delta.digest = digest.to_bytes()


DAMAGES = {
    "with a wrong digest": wrong_digest,
    "without one of its parts": part_missing,
    "with a dangling reference": dangling,
}


@when('the next delta to "{name}" arrives {damage}')
def step_damage(context, name, damage):
    context.mesh.network.damages[name] = DAMAGES[damage]


@when('a snapshot of version {version:d} reaches "{name}"')
def step_old_snapshot(context, version, name):
    network = context.mesh.network
    (connection,) = network.nodes[name].links
    bodies = [build("service/orders"), build("route/place", "orders")]
    put = [VersionedResource(resource=body, version=version) for body in bodies]
    digest = SetDigest.of(put).to_bytes()
    snapshot = ConfigSnapshot(version=version, resources=put, digest=digest)
    network.tell(name, MessageReceived(connection, snapshot))


@when('the disk of "{name}" stalls')
def step_disk_stalls(context, name):
    context.mesh.network.nodes[name].disk_stalled = True


@when('the disk of "{name}" goes on')
def step_disk_goes_on(context, name):
    context.mesh.network.sync(name)


@when('the reader "{name}" is killed and starts again with only "{publisher}"')
def step_restart_reader(context, name, publisher):
    context.mesh.network.kill(name)
    services = context.services[name]
    context.mesh.add_reader(name, reader_settings(context.mesh, services, publisher))


@when('a reader "{name}" starts with only "{publisher}"')
def step_start_reader(context, name, publisher):
    context.services[name] = "orders"
    context.mesh.add_reader(name, reader_settings(context.mesh, "orders", publisher))


def publisher_of(context, name):
    links = context.mesh.network.nodes[name].links
    return next(other for other, _ in links.values())


@when('the publisher of "{name}" is cut off from its majority')
def step_publisher_cut_off(context, name):
    publisher_of(context, name).core.isolated = True


@when("every publisher is cut off from its majority")
def step_all_cut_off(context):
    for name in context.mesh.sources:
        context.mesh.network.nodes[name].core.isolated = True


@when('the link of "{name}" is cut without a word')
def step_cut(context, name):
    context.cut = frozenset((name, publisher_of(context, name).name))
    context.mesh.network.cuts.add(context.cut)


@when('the link of "{name}" is mended')
def step_mend(context, name):
    context.mesh.network.cuts.discard(context.cut)


@when('the link of "{name}" breaks')
def step_break(context, name):
    network = context.mesh.network
    node = network.nodes[name]
    network.bytes["source"] = 0
    for connection, (other, accepted) in tuple(node.links.items()):
        network._close(node, connection, "broken")
        network._closed(other, accepted, "broken")


@when('the publisher of "{name}" stops as planned')
def step_publisher_stops(context, name):
    network, node = context.mesh.network, publisher_of(context, name)
    node.core.isolated = True
    network.carry_out(node.name, node.core.publisher.shut_down(network.now))
    network.dark.add(node.name)


# --- what is so ----------------------------------------------------------------------------


@then('the reader "{name}" holds just "{texts}"')
def step_holds_just(context, name, texts):
    held = sorted(str(key) for key in reader(context, name).held)
    assert held == sorted(names(texts)), held


@then('the reader "{name}" holds nothing')
def step_holds_nothing(context, name):
    assert not reader(context, name).held


@then('the reader "{name}" holds the source\'s version')
def step_holds_version(context, name):
    host = reader(context, name)
    assert host.subscriber.version == context.mesh.version, host.subscriber.version
    assert dict(host.held) == context.mesh.scope_of(names(context.services[name]))


@then('the reader "{name}" is at the source\'s version')
def step_at_version(context, name):
    assert reader(context, name).subscriber.version == context.mesh.version


@then('the reader "{name}" was sent {count:d} sets or deltas')
def step_was_sent(context, name, count):
    sent = configuration_messages(context.mesh.network.nodes[name])
    assert len(sent) == count, len(sent)


@then('the reader "{name}" was sent {count:d} heartbeats')
def step_sent_heartbeats(context, name, count):
    received = context.mesh.network.nodes[name].received
    heartbeats = [message for message in received if isinstance(message, Heartbeat)]
    assert len(heartbeats) == count, len(heartbeats)


@then('the reader "{name}" has refused {count:d} version')
def step_has_refused(context, name, count):
    log = context.mesh.network.nodes[name].log
    refused = [fields for code, fields in log if code == events.VERSION_REFUSED]
    assert len(refused) == count, refused


@then('the reader "{name}" has never gone backward')
def step_never_backward(context, name):
    check_monotone(context.mesh, name)


@then("the source counts {in_force:d} in force and {lagging:d} lagging for its version")
def step_counts(context, in_force, lagging):
    publisher = context.mesh.network.nodes["source"].core.publisher
    zones = publisher.rollout(context.mesh.version)
    counts = (sum(z.in_force for z in zones), sum(z.lagging for z in zones))
    assert counts == (in_force, lagging), counts


@then('the reader "{name}" follows a publisher that is current')
def step_follows_current(context, name):
    publisher = publisher_of(context, name)
    assert not publisher.core.isolated
    assert frozenset((name, publisher.name)) not in context.mesh.network.cuts
    assert reader(context, name).subscriber.subscribed


@then('the reader "{name}" has dialled at most {count:d} times')
def step_dialled(context, name, count):
    log = context.mesh.network.nodes[name].log
    left = [fields for code, fields in log if code == events.PUBLISHER_LEFT]
    assert 0 < len(left) <= count, len(left)


@then("an up-to-date reconnect costs the publisher less than {limit:d} bytes")
def step_reconnect_cost(context, limit):
    sent = context.mesh.network.bytes["source"]
    assert 0 < sent < limit, sent


@then('the reader "{name}" was asked for its inventory and sent no second snapshot')
def step_inventory(context, name):
    received = context.mesh.network.nodes[name].received
    assert any(isinstance(m, InventoryRequest) for m in received)
    assert sum(isinstance(m, ConfigSnapshot) for m in received) == 1
