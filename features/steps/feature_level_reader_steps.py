"""Steps for readers of builds of different feature levels."""

from __future__ import annotations

from behave import given, then, when
from distribution_harness import Mesh, configuration_messages, resource

from limelever.common.sansio import Peer, Purpose, Role, SendMessage
from limelever.protocol.config_pb2 import Resource, ZoneDrain
from limelever.protocol.distribution_pb2 import (
    ConfigDelta,
    ConfigSnapshot,
    InventoryRequest,
    Reject,
    Subscribe,
)
from limelever.protocol.endpoints_pb2 import Endpoint
from limelever.publisher.scope import Scope
from limelever.publisher.settings import PublisherSettings
from limelever.relay.endpoint_feed import EndpointFeed
from limelever.relay.sealing import SnapshotSealer
from limelever.subscriber.settings import SubscriberSettings

SEALER = SnapshotSealer([b"k" * 32])
LEVELS = (0, 1)
TOLD_IN = 60.0
"""Seconds within which a heartbeat has named each version."""


def drain(zone):
    return Resource(zone_drain=ZoneDrain(zone=zone))


def begin(context, relay_level, **settings):
    mesh = context.mesh = Mesh(PublisherSettings(**{"batch_delay": 0.0, **settings}))
    mesh.add_source("source")
    mesh.network.levels["relay"] = relay_level
    context.relay = mesh.add_relay("relay", sealer=SEALER)


@given("a source, a relay of level {relay:d}, and proxies of levels 0 and 1 at that relay")
def given_readers(context, relay):
    begin(context, relay)
    mesh = context.mesh
    for level in LEVELS:
        name = f"proxy-{level}"
        mesh.network.levels[name] = level
        publishers = (mesh.network.address("relay"),)
        mesh.add_reader(name, SubscriberSettings(publishers=publishers, everything=True))
    mesh.network.run(5.0)


@when("the source moves on to a service, then a zone drain, then another service")
def when_moves_on(context):
    for body in (resource("service/one"), drain("lodz-a"), resource("service/two")):
        context.mesh.apply([body])
        context.mesh.network.run(5.0)


@when("the source moves on to a second zone drain")
def when_second(context):
    context.mesh.apply([drain("lodz-b")])
    context.mesh.network.run(TOLD_IN)


def relay_subscriber(context):
    return context.mesh.network.nodes["relay"].core._subscriber


def held(subscriber):
    configuration = subscriber.configuration
    return [] if configuration is None else list(configuration.resources.values())


def drains(subscriber):
    return sum(item.resource.HasField("zone_drain") for item in held(subscriber))


def services(subscriber):
    return {item.resource.service.name for item in held(subscriber)} - {""}


def subscribers(context):
    readers = [context.mesh.readers[f"proxy-{level}"][-1].subscriber for level in LEVELS]
    return [relay_subscriber(context), *readers]


@then("the relay holds {relay:d} zone drains, its proxies 0 and {proxy:d}")
def then_drains(context, relay, proxy):
    counts = [drains(each) for each in subscribers(context)]
    assert counts == [relay, 0, proxy], counts


@then("the relay and its proxies hold both services, having refused nothing")
def then_services(context):
    for subscriber in subscribers(context):
        assert services(subscriber) == {"one", "two"}, services(subscriber)
        assert subscriber.version == context.mesh.version
    for node in context.mesh.network.nodes.values():
        assert not any(isinstance(message, Reject) for message in node.received), node.name


@then("the relay was sent 2 versions and has been told of the last one")
def then_told(context):
    node = context.mesh.network.nodes["relay"]
    versions = [m for m in configuration_messages(node) if not m_is_empty(m)]
    assert len(versions) == 2, versions
    assert relay_subscriber(context).version == context.mesh.version


def m_is_empty(message):
    """Return whether a message brings nothing: the snapshot of a source that holds nothing."""
    return isinstance(message, ConfigSnapshot) and not message.resources


@given("a source with a window of {window:d} and a relay of level {level:d}")
def given_window(context, window, level):
    begin(context, level, window=window)


@given("the source holds services and zone drains")
def given_holds(context):
    mesh = context.mesh
    mesh.apply([resource("service/one"), drain("lodz-a")])
    mesh.network.run(5.0)
    mesh.apply([resource("service/two")])
    mesh.network.run(5.0)


def go_down(context):
    context.mesh.network.kill("relay")


def come_back(context):
    context.mesh.add_relay("relay", sealer=SEALER)
    context.mesh.network.run(20.0)
    context.received = context.mesh.network.nodes["relay"].received


@when("the relay is down while services and zone drains change")
def when_down(context):
    go_down(context)
    context.mesh.apply([drain("lodz-b")])
    context.mesh.apply([resource("service/three")])
    context.mesh.apply([drain("lodz-c")])
    come_back(context)


@when("the relay is down while a zone drain is given")
def when_down_drain(context):
    go_down(context)
    context.mesh.apply([drain("lodz-b")])
    come_back(context)


@when("the relay comes back with this build")
def when_upgraded(context):
    go_down(context)
    context.mesh.network.levels["relay"] = 1
    come_back(context)


def sent(context, kind):
    return [message for message in context.received if isinstance(message, kind)]


@then("the relay catches up by {way}, without a snapshot and without a zone drain")
def then_catches_up(context, way):
    assert not sent(context, ConfigSnapshot)
    assert len(sent(context, ConfigDelta)) == 1, context.received
    assert bool(sent(context, InventoryRequest)) == ("inventory" in way), context.received
    subscriber = relay_subscriber(context)
    assert (services(subscriber), drains(subscriber)) == ({"one", "two", "three"}, 0)


@then("the relay is up to date without a delta or a snapshot")
def then_up_to_date(context):
    assert not sent(context, ConfigDelta | ConfigSnapshot), context.received
    assert relay_subscriber(context).version == context.mesh.version


@then("the relay holds the zone drains and was sent no snapshot")
def then_holds_drains(context):
    assert drains(relay_subscriber(context)) == 1
    assert not sent(context, ConfigSnapshot), context.received


class OneEndpoint:
    """A table of one endpoint."""

    endpoint = Endpoint(service="one", instance="back-end-1")

    class Entry:
        endpoint = Endpoint(service="one", instance="back-end-1")

    def get(self, _name):
        return self.Entry

    def live_endpoints(self):
        return [self.endpoint]


@given("an endpoint feed with proxies for everything of levels 0 and 1")
def given_feed(context):
    context.feed = EndpointFeed(OneEndpoint())
    for level in LEVELS:
        context.feed.add_proxy(level, Scope(everything=True, level=level))


@when("an endpoint changes")
def when_changes(context):
    class Name:
        service = "one"

    context.outputs = context.feed.publish([Name])


@then("both proxies are sent it")
def then_both(context):
    sends = [output for output in context.outputs if isinstance(output, SendMessage)]
    assert [each.connection for each in sends] == list(LEVELS), sends
    assert all(len(each.message.endpoints) == 1 for each in sends), sends


def scopes(role, subscribe, levels):
    peers = [Peer(role, "reader", "", Purpose.SUBSCRIPTION, feature_level=n) for n in levels]
    return {Scope.of(subscribe, peer) for peer in peers}


@then("relays of levels 1, 2 and 7 that ask for everything share one whole scope")
def then_whole(context):
    (scope,) = scopes(Role.RELAY, Subscribe(everything=True), (1, 2, 7))
    assert scope.is_whole, scope


@then("proxies of levels 1, 2 and 7 that ask for one service share a scope")
def then_shared(context):
    assert len(scopes(Role.PROXY, Subscribe(services=["order"]), (1, 2, 7))) == 1
