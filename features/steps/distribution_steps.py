"""Steps for publisher and subscriber: two cores, a small network, virtual time."""

import heapq
import random
from collections import Counter
from unittest import mock

from behave import given, then, when
from distribution_harness import (
    Mesh,
    SourceHost,
    build,
    configuration_messages,
    names,
    resource,
)
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import (
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    MessageReceived,
    Peer,
    Purpose,
    Role,
    SendMessage,
)
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest, resource_hash
from limelever.protocol.distribution_pb2 import (
    Ack,
    ConfigDelta,
    ConfigSnapshot,
    FreshnessAnswer,
    Heartbeat,
    InventoryRequest,
    RetryLater,
    Subscribe,
)
from limelever.protocol.keys import Key
from limelever.publisher.core import PublisherCore
from limelever.publisher.notices import FreshnessNeeded
from limelever.publisher.resources import ResourceTable
from limelever.publisher.scope import Scope, closure_now
from limelever.publisher.settings import PublisherSettings
from limelever.publisher.view import ScopeView
from limelever.subscriber import events
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.floor_file import decode_floor, encode_floor
from limelever.subscriber.held import HeldSet, from_delta
from limelever.subscriber.probes import Probes
from limelever.subscriber.settings import SubscriberSettings


def reader_settings(mesh, services, publishers):
    addresses = tuple(mesh.network.address(name) for name in names(publishers))
    return SubscriberSettings(publishers=addresses, services=tuple(names(services)))


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


def check_monotone(mesh, name):
    versions = [v for host in mesh.readers[name] for v in host.versions if v]
    assert versions == sorted(versions), versions


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


# --- a publisher alone ---------------------------------------------------------------------


def bare_publisher(**changed):
    publisher = PublisherCore(PublisherSettings(**{"batch_delay": 0.0, **changed}))
    put = [build("service/orders"), build("route/place", "orders")]
    publisher.load(1, [VersionedResource(resource=body, version=1) for body in put], 0.0)
    return publisher


def subscribe(publisher, connection, now, subscribe_message):
    peer = Peer(Role.PROXY, f"proxy-{connection}", "zone-a", Purpose.SUBSCRIPTION)
    publisher.handle(ConnectionOpened(connection, peer), now)
    return publisher.handle(MessageReceived(connection, subscribe_message), now)


@given('a publisher with {count:d} subscribers of the services "{service}"')
def step_many_subscribers(context, count, service):
    context.publisher = bare_publisher()
    for connection in range(count):
        subscribe(context.publisher, connection, 0.0, Subscribe(services=[service]))


@given('{count:d} more routes to "{service}" at the publisher')
def step_more_routes(context, count, service):
    put = [
        VersionedResource(resource=build(f"route/{n}", service), version=2) for n in range(count)
    ]
    context.publisher.advance(2, put, (), 0.5)
    for connection in range(50):
        context.publisher.handle(MessageReceived(connection, Ack(version=2)), 0.6)


@when('the publisher moves on to a new version of "{text}"')
def step_publisher_moves(context, text):
    version = context.publisher.version + 1
    put = [VersionedResource(resource=build(text, "orders"), version=version)]
    hashes = mock.Mock(wraps=resource_hash)
    with (
        mock.patch("limelever.publisher.view.resource_hash", hashes),
        mock.patch("limelever.protocol.digest.resource_hash", hashes),
    ):
        context.outputs = context.publisher.advance(version, put, (), 1.0)
    context.hashes = hashes.call_count


@then("the scope's digest took {count:d} hashes")
def step_hashes(context, count):
    assert context.hashes == count, context.hashes


@then("all {count:d} subscribers are sent the very same message")
def step_same_message(context, count):
    sent = [output.message for output in context.outputs if isinstance(output, SendMessage)]
    assert len(sent) == count
    assert isinstance(sent[0], ConfigDelta)
    assert len({id(message) for message in sent}) == 1


@given("a publisher that admits {rate:d} subscribers a second with a burst of {burst:d}")
def step_admission(context, rate, burst):
    context.publisher = bare_publisher(admission_rate=rate, admission_burst=burst)


@when("{count:d} subscribers with nothing held come at once and return when told")
def step_storm(context, count):
    arrivals = [(0.0, connection) for connection in range(count)]
    context.served, context.comings, context.kept, context.snapshots = [], Counter(), set(), set()
    while arrivals:
        now, connection = heapq.heappop(arrivals)
        context.comings[connection] += 1
        outputs = subscribe(context.publisher, connection, now, Subscribe(services=["orders"]))
        answer = next(o.message for o in outputs if isinstance(o, SendMessage))
        if isinstance(answer, RetryLater):
            assert any(isinstance(output, CloseConnection) for output in outputs)
            context.publisher.handle(ConnectionClosed(connection, "told"), now)
            heapq.heappush(arrivals, (now + answer.retry_after_ms / 1000, connection))
        else:
            context.served.append(now)
            context.snapshots.add(id(answer))
        context.kept.add(len(context.publisher) - len(context.served))


@then("all {count:d} have been served after at most {limit:g} seconds")
def step_all_served(context, count, limit):
    assert len(context.served) == count
    assert max(context.served) <= limit, max(context.served)


@then("no second saw more than {count:d} of them served")
def step_none_too_many(context, count):
    for start in range(int(max(context.served)) + 1):
        served = sum(start <= at < start + 1 for at in context.served)
        assert served <= count, (start, served)


@then("nobody had to come more than {count:d} times")
def step_comings(context, count):
    assert max(context.comings.values()) <= count, max(context.comings.values())


@then("the publisher never kept a subscriber that it had turned away")
def step_kept_none(context):
    assert context.kept == {0}, context.kept


@then("all {count:d} were served one and the same snapshot")
def step_one_snapshot(context, count):
    assert len(context.served) == count
    assert len(context.snapshots) == 1, len(context.snapshots)


@given("a publisher that went from version 1 to 5 by two changes at once")
def step_skipping_publisher(context):
    context.publisher = bare_publisher()
    first = VersionedResource(resource=build("route/first", "orders"), version=3)
    second = VersionedResource(resource=build("route/second", "orders"), version=5)
    context.publisher.advance(5, [first, second], (), 1.0)
    held = [build("service/orders"), build("route/place", "orders")]
    context.held = [first, *(VersionedResource(resource=body, version=1) for body in held)]


@when("a reader that saw the first of them at version 3 subscribes")
def step_subscribe_between(context):
    digest = SetDigest.of(context.held).to_bytes()
    message = Subscribe(services=["orders"], held_version=3, digest=digest, version_floor=3)
    context.outputs = subscribe(context.publisher, 1, 2.0, message)


@then("it is asked for its inventory")
def step_asked_inventory(context):
    (message,) = [o.message for o in context.outputs if isinstance(o, SendMessage)]
    assert isinstance(message, InventoryRequest)


@given("a publisher that passes on what it heard from others")
def step_relaying_publisher(context):
    context.publisher = bare_publisher(proves_itself=False)
    subscribe(context.publisher, 1, 0.0, Subscribe(services=["orders"]))
    context.probes = Probes()


def answers(outputs):
    messages = [output.message for output in outputs if isinstance(output, SendMessage)]
    return [message for message in messages if isinstance(message, FreshnessAnswer)]


@when("it was proved current at {proved:g} seconds and is probed at {probed:g} seconds")
def step_probed(context, proved, probed):
    context.publisher.proved_fresh(proved, probed)
    probe = context.probes.send(probed, to_source=False)
    outputs = context.publisher.handle(MessageReceived(1, probe), probed)
    (answer,) = answers(outputs)
    context.probes.answered(answer)


@then("the prober knows it to have been current at {at:g} seconds")
def step_known_current(context, at):
    assert abs(context.probes.publisher_fresh_at - at) < 0.01


@when("it is probed for a proof up to the source at {at:g} seconds")
def step_probed_to_source(context, at):
    probe = context.probes.send(at, to_source=True)
    outputs = context.publisher.handle(MessageReceived(1, probe), at)
    assert answers(outputs) == []
    assert any(isinstance(output, FreshnessNeeded) for output in outputs)


@when("it is proved current at {at:g} seconds again")
def step_proved_again(context, at):
    context.outputs = context.publisher.proved_fresh(at, at + 1.0)


@then("the probe up to the source is not answered")
def step_not_answered(context):
    assert answers(context.outputs) == []


@then("the probe up to the source is answered")
def step_answered(context):
    assert len(answers(context.outputs)) == 1


# --- properties ----------------------------------------------------------------------------

SERVICES = ("s0", "s1", "s2")
SECRETS = ("k0", "k1", "k2")
BASE = [build(f"service/{name}") for name in SERVICES] + [build(f"secret/{k}") for k in SECRETS]
CHANGES = st.one_of(
    st.tuples(
        st.just("route"),
        st.integers(0, 3),
        st.sampled_from(SERVICES),
        st.sets(st.sampled_from(SECRETS)),
    ),
    st.tuples(st.just("remove"), st.integers(0, 3)),
    st.tuples(st.just("secret"), st.sampled_from(SECRETS)),
    st.tuples(st.just("share"), st.sampled_from(SERVICES), st.integers(1, 9)),
    st.tuples(st.just("unshare"), st.sampled_from(SERVICES)),
)


def as_change(change):
    """Return what a drawn change puts and removes."""
    match change:
        case ("route", number, service, secrets):
            return [build(f"route/r{number}", service, ",".join(sorted(secrets)))], []
        case ("remove", number):
            return [], [Key.of(resource(f"route/r{number}"))]
        case ("secret", name):
            return [resource(f"secret/{name}")], []
        case ("share", service, weight):
            return [resource(f"share/{service}/g", weight=weight)], []
        case ("unshare", service):
            return [], [Key.of(resource(f"share/{service}/g"))]
    raise AssertionError(change)


@then("random histories reach the same scope by delta as by snapshot")
def step_any_to_any(context):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @examples(
        st.lists(CHANGES, min_size=1, max_size=12),
        st.sampled_from([("s0",), ("s1", "s2"), ("s0", "missing")]),
        st.booleans(),
    )
    def check(changes, services, everything):
        scope = Scope(everything=True) if everything else Scope(frozenset(services))
        table = ResourceTable(window=64)
        table.load(1, [VersionedResource(resource=body, version=1) for body in BASE])
        closures = {1: dict(closure_now(scope, table))}
        for version, change in enumerate(changes, start=2):
            put, removed = as_change(change)
            versioned = [VersionedResource(resource=body, version=version) for body in put]
            table.advance(version, versioned, removed)
            closures[version] = dict(closure_now(scope, table))
            view = ScopeView(scope, table)
            for earlier, held in closures.items():
                digest = SetDigest.of(held.values())
                assert view.digest_at(earlier) == digest.to_bytes()
                delta = view.delta_since(earlier)
                built = from_delta(HeldSet(earlier, ConfigurationSet(held), digest), delta)
                assert isinstance(built, HeldSet), built
                assert dict(built.configuration.resources) == closures[version]
                assert built.digest.to_bytes() == view.snapshot().digest

    check()


ACTIONS = st.one_of(
    CHANGES.map(lambda change: ("change", change)),
    st.sampled_from(
        ["restart", "lose disk", "cut", "mend", "lag", "catch up", "stall", "go on", "window"]
    ).map(lambda name: (name, None)),
)


@then("in random runs no reader goes backward, dangles, or fails to catch up")
def step_random_runs(context):
    @settings(max_examples=120, derandomize=True, deadline=None, database=None)
    @examples(st.lists(st.tuples(ACTIONS, st.sampled_from([0.01, 0.5, 4.0])), max_size=25))
    def check(actions):
        RandomRun().run(actions)

    check()


class RandomRun:
    """One reader, a current source and one that lags from time to time."""

    def __init__(self):
        self.mesh = Mesh(PublisherSettings(batch_delay=0.02, window=3))
        self.mesh.add_source("source")
        self.mesh.add_source("source-2")
        self.mesh.apply(BASE)
        self.truths = {1: self.mesh.scope_of(["s0"])}
        self.settings = reader_settings(self.mesh, "s0", "source, source-2")
        self.mesh.add_reader("proxy", self.settings)
        self.lagging = False

    def run(self, actions):
        for (name, detail), pause in actions:
            self._act(name, detail)
            self.mesh.network.run(pause)
            self._check()
        for name in ("go on", "mend", "catch up"):
            self._act(name, None)
        self.mesh.network.run(90.0)
        self._check()
        assert self.mesh.readers["proxy"][-1].subscriber.version == self.mesh.version

    def _check(self):
        check_monotone(self.mesh, "proxy")
        host = self.mesh.readers["proxy"][-1]
        if host.subscriber.version:
            assert dict(host.held) == self.truths[host.subscriber.version]

    def _act(self, name, detail):
        network = self.mesh.network
        match name:
            case "change":
                put, removed = as_change(detail)
                self.mesh.apply(put, removed, to=["source"] if self.lagging else None)
                self.truths[self.mesh.version] = self.mesh.scope_of(["s0"])
            case "restart" | "lose disk":
                network.kill("proxy")
                if name == "lose disk":
                    network.nodes["proxy"].files.clear()
                self.mesh.add_reader("proxy", self.settings)
            case "cut":
                network.cuts.add(frozenset(("proxy", "source")))
            case "mend":
                network.cuts.clear()
            case "lag":
                self.lagging = network.nodes["source-2"].core.isolated = True
            case "catch up":
                self.lagging = network.nodes["source-2"].core.isolated = False
                self.mesh.catch_up("source-2")
            case "stall":
                network.nodes["proxy"].disk_stalled = True
            case "go on":
                network.sync("proxy")


@then("floors are read back as written, and damaged ones as missing")
def step_floors(context):
    for version in (1, 9, 2**64 - 1):
        content = encode_floor(version)
        assert decode_floor(content) == version
        for index in range(len(content) - 1):
            damaged = bytearray(content)
            damaged[index] ^= 0x01
            assert decode_floor(bytes(damaged)) is None
    assert decode_floor(None) is None


@then("delays stay between the advice and the advice with the bound on top")
def step_backoff(context):
    bounds = BackoffSettings(base=0.5, maximum=4.0)
    herd = [Backoff(bounds, random.Random(seed)) for seed in range(1000)]
    for attempt in range(12):
        bound = min(4.0, 0.5 * 2**attempt)
        delays = [backoff.next_delay(retry_after=2.0) for backoff in herd]
        assert all(2.0 <= delay <= 2.0 + bound for delay in delays)
        assert max(delays) - min(delays) > 0.9 * bound
    herd[0].reset()
    assert herd[0].next_delay() <= 0.5
