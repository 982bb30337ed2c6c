"""Steps for the preference of subscribers for a relay of their zone."""

from __future__ import annotations

import math
import random
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from relay_steps import ZONES, relay_followed, start_relay

from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import (
    Address,
    CloseConnection,
    DialledConnections,
    OpenConnection,
    Output,
)
from limelever.protocol.distribution_pb2 import FreshnessAnswer, FreshnessProbe
from limelever.relay.interface import RelaysKnown
from limelever.subscriber.publisher_choice import PublisherChoice
from limelever.subscriber.search import ASK_INTERVAL, Goal, PublisherSearch
from limelever.subscriber.settings import SubscriberSettings
from limelever.subscriber.zone_preference import ListedPublisher, preferred

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)
ZONE_COUNT, RELAY_COUNT = 400, 5
RETURN_BACKOFF = BackoffSettings(base=1.0, maximum=4.0)


def announce_relays(context: Context) -> None:
    addresses = tuple(context.mesh.network.address(relay) for relay in ZONES)
    for relay in ZONES:
        if relay not in context.mesh.network.dark:
            context.mesh.network.tell(relay, RelaysKnown(addresses))


@given("the relays know of each other")
def given_relays_known(context: Context) -> None:
    context.mesh.network.run(1.0)
    announce_relays(context)
    context.mesh.network.run(1.0)


def start_subscriber(
    context: Context, name: str, zone: str, first_relay: str, **times: float
) -> None:
    order = sorted(ZONES, key=lambda relay: relay != first_relay)
    settings = SubscriberSettings(
        publishers=tuple(context.mesh.network.address(relay) for relay in order),
        services=("orders",),
        zone=zone,
        longest_pause=0.4,
        return_backoff=RETURN_BACKOFF,
        **times,
    )
    context.mesh.add_reader(name, settings, zone)


@given('a proxy "{name}" of zone "{zone}" that first dials "{relay}"')
def given_subscriber(context: Context, name: str, zone: str, relay: str) -> None:
    start_subscriber(context, name, zone, relay)


@given('{count:d} proxies of zone "{zone}", half of which first dial each relay')
def given_split_proxies(context: Context, count: int, zone: str) -> None:
    context.split_proxies = [f"many-{number}" for number in range(count)]
    for number, name in enumerate(context.split_proxies):
        start_subscriber(context, name, zone, list(ZONES)[number % 2])


@when('the relay "{relay}" is down for {seconds:d} seconds')
def relay_down(context: Context, relay: str, seconds: int) -> None:
    context.mesh.network.kill(relay)
    context.mesh.network.run(seconds)
    context.followed_during_outage = relay_followed(context, "away").name
    start_relay(context, relay)
    context.mesh.network.run(1.0)
    announce_relays(context)


@then('the proxy "{name}" follows "{relay}"')
def follows(context: Context, name: str, relay: str) -> None:
    assert relay_followed(context, name).name == relay, relay_followed(context, name).name


@then('the proxy "away" followed "{relay}" during the outage')
def followed_other_relay(context: Context, relay: str) -> None:
    assert context.followed_during_outage == relay


@then("they all follow the same relay")
def same_relay(context: Context) -> None:
    followed = {relay_followed(context, name).name for name in context.split_proxies}
    assert len(followed) == 1, followed


@then(
    "for random relays and zones a relay of the own zone is preferred if there is one, in any order"
)
def zone_is_preferred(context: Context) -> None:
    zones = st.sampled_from(["a", "b", "c"])

    @PROPERTY
    @examples(st.lists(zones, min_size=1, max_size=6), zones, st.randoms(use_true_random=False))
    def check(relay_zones, zone, random) -> None:
        listed = [
            ListedPublisher(Address("10.0.0.1", port), relay_zone)
            for port, relay_zone in enumerate(relay_zones, 1)
        ]
        chosen = preferred(tuple(listed), zone)
        zone_of = {each.address: each.zone for each in listed}
        assert zone not in relay_zones or zone_of[chosen] == zone
        random.shuffle(listed)
        assert preferred(tuple(listed), zone) == chosen
        unknown = (*listed, ListedPublisher(Address("10.0.0.1", 99)))
        assert preferred(unknown, zone) is None

    check()


@then("no relay is preferred by more than twice its share of many zones without a relay")
def preferred_evenly(context: Context) -> None:
    listed = tuple(
        ListedPublisher(Address(f"10.0.{number}.7", 7241), "elsewhere")
        for number in range(RELAY_COUNT)
    )
    counts = Counter(preferred(listed, f"zone-{number}") for number in range(ZONE_COUNT))
    assert max(counts.values()) <= 2 * ZONE_COUNT / RELAY_COUNT, counts


@given(
    'a proxy "{name}" of zone "{zone}" that first dials "{relay}" and considers it stale after '
    "{stale:d} seconds"
)
def given_short_staleness(context: Context, name: str, zone: str, relay: str, stale: int) -> None:
    start_subscriber(context, name, zone, relay, stale_after=float(stale), probe_interval=0.5)


@when('the link between the proxy "{name}" and "{relay}" is cut silently')
def cut_link(context: Context, name: str, relay: str) -> None:
    context.mesh.network.cuts.add(frozenset((name, relay)))


@given("a search that has opened a link to a candidate")
def given_search(context: Context) -> None:
    publishers = (Address("10.0.0.1", 1), Address("10.0.0.2", 1))
    settings = SubscriberSettings(publishers, ("orders",), stale_after=1.5)
    generator = random.Random(1)
    choice = PublisherChoice(publishers, settings.dialling, generator, spread=False)
    context.search = PublisherSearch(settings, choice, DialledConnections(), generator)
    context.now = 10.0
    context.search.begin(Goal.CURRENT, context.now)
    context.now = context.search.next_deadline()
    (dial,) = context.search.on_deadline(context.now)
    assert isinstance(dial, OpenConnection)
    (context.probe,) = context.search.opened(dial.connection, context.now)


def answer(context: Context, *, current: bool) -> FreshnessAnswer:
    nonce = context.probe.message.nonce
    return FreshnessAnswer(nonce=nonce, version=1, unproved=not current)


def answers_not_current(context: Context) -> list[Output]:
    message = answer(context, current=False)
    assert not context.search.is_better(message, 1, context.now)
    return context.search.not_better(message, context.now)


@when("the candidate answers that it is not current")
def answers_once_not_current(context: Context) -> None:
    assert answers_not_current(context) == []


@then("the search asks the candidate again after {seconds:g} seconds")
def asks_again(context: Context, seconds: float) -> None:
    assert math.isclose(context.search.next_deadline(), context.now + seconds)
    context.now += seconds
    (context.probe,) = context.search.on_deadline(context.now)
    assert isinstance(context.probe.message, FreshnessProbe)


@when("the candidate answers that it is current")
def answers_current(context: Context) -> None:
    context.is_better = context.search.is_better(answer(context, current=True), 1, context.now)


@then("the candidate is accepted as better")
def candidate_better(context: Context) -> None:
    assert context.is_better


@when("the candidate keeps answering for {seconds:d} seconds that it is not current")
def keeps_not_current(context: Context, seconds: int) -> None:
    end = context.now + seconds
    context.closing = []
    while context.now < end and not context.closing:
        context.closing = answers_not_current(context)
        if not context.closing:
            asks_again(context, ASK_INTERVAL)


@then("the search has closed the link to the candidate")
def closed_link(context: Context) -> None:
    (close,) = context.closing
    assert isinstance(close, CloseConnection), close
