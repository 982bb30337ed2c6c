"""Steps for a publisher alone: storms of subscribers, scopes and proofs."""

import heapq
from collections import Counter
from unittest import mock

from behave import given, then, when
from distribution_harness import (
    build,
)

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
    FreshnessAnswer,
    InventoryRequest,
    RetryLater,
    Subscribe,
)
from limelever.publisher.core import PublisherCore
from limelever.publisher.notices import FreshnessNeeded
from limelever.publisher.settings import PublisherSettings
from limelever.subscriber.probes import Probes


def bare_publisher(**changed):
    publisher = PublisherCore(PublisherSettings(**{"batch_delay": 0.0, **changed}))
    put = [build("service/orders"), build("route/place", "orders")]
    publisher.load(1, [VersionedResource(resource=body, version=1) for body in put], 0.0)
    return publisher


def subscribe(publisher, connection, now, subscribe_message):
    peer = Peer(Role.PROXY, f"proxy-{connection}", "zone-a", Purpose.SUBSCRIPTION, feature_level=1)
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
