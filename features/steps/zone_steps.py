"""Steps for the relay that the subscribers of a zone prefer."""

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
MANY_ZONES, FEW_RELAYS = 400, 5
RETURN = BackoffSettings(base=1.0, maximum=4.0)


def tell_relays(context: Context) -> None:
    addresses = tuple(context.mesh.network.address(relay) for relay in ZONES)
    for relay in ZONES:
        if relay not in context.mesh.network.dark:
            context.mesh.network.tell(relay, RelaysKnown(addresses))


@given("the relays have heard of each other")
def given_known(context: Context) -> None:
    context.mesh.network.run(1.0)
    tell_relays(context)
    context.mesh.network.run(1.0)


def start_subscriber(
    context: Context, name: str, zone: str, begins_at: str, **times: float
) -> None:
    order = sorted(ZONES, key=lambda relay: relay != begins_at)
    settings = SubscriberSettings(
        publishers=tuple(context.mesh.network.address(relay) for relay in order),
        services=("orders",),
        zone=zone,
        longest_pause=0.4,
        return_backoff=RETURN,
        **times,
    )
    context.mesh.add_reader(name, settings, zone)


@given('a proxy "{name}" of zone "{zone}" that begins at "{relay}"')
def given_subscriber(context: Context, name: str, zone: str, relay: str) -> None:
    start_subscriber(context, name, zone, relay)


@given('{count:d} proxies of zone "{zone}", half of which begin at each relay')
def given_halves(context: Context, count: int, zone: str) -> None:
    context.many = [f"many-{number}" for number in range(count)]
    for number, name in enumerate(context.many):
        start_subscriber(context, name, zone, list(ZONES)[number % 2])


@when('the relay "{relay}" is down for {seconds:d} seconds')
def relay_down(context: Context, relay: str, seconds: int) -> None:
    context.mesh.network.kill(relay)
    context.mesh.network.run(seconds)
    context.followed_meanwhile = relay_followed(context, "away").name
    start_relay(context, relay)
    context.mesh.network.run(1.0)
    tell_relays(context)


@then('the proxy "{name}" follows "{relay}"')
def follows(context: Context, name: str, relay: str) -> None:
    assert relay_followed(context, name).name == relay, relay_followed(context, name).name


@then('the proxy "away" has followed "{relay}"')
def has_followed(context: Context, relay: str) -> None:
    assert context.followed_meanwhile == relay


@then("they all follow one relay")
def one_relay(context: Context) -> None:
    followed = {relay_followed(context, name).name for name in context.many}
    assert len(followed) == 1, followed


@then(
    "for any relays and zones the preferred one is of the own zone if there is one, "
    "whatever the order"
)
def any_relays(context: Context) -> None:
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


@then("of many zones without a relay no relay has more than twice its part")
def spread(context: Context) -> None:
    listed = tuple(
        ListedPublisher(Address(f"10.0.{number}.7", 7241), "elsewhere")
        for number in range(FEW_RELAYS)
    )
    counts = Counter(preferred(listed, f"zone-{number}") for number in range(MANY_ZONES))
    assert max(counts.values()) <= 2 * MANY_ZONES / FEW_RELAYS, counts


@given(
    'a proxy "{name}" of zone "{zone}" that begins at "{relay}" and finds it stale after '
    "{stale:d} seconds"
)
def given_hasty(context: Context, name: str, zone: str, relay: str, stale: int) -> None:
    start_subscriber(context, name, zone, relay, stale_after=float(stale), probe_interval=0.5)


@when('the proxy "{name}" and "{relay}" are cut from each other without a word')
def cut(context: Context, name: str, relay: str) -> None:
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
    (context.asked,) = context.search.opened(dial.connection, context.now)


def answer(context: Context, *, current: bool) -> FreshnessAnswer:
    nonce = context.asked.message.nonce
    return FreshnessAnswer(nonce=nonce, version=1, unproved=not current)


def answers_not_current(context: Context) -> list[Output]:
    told = answer(context, current=False)
    assert not context.search.is_better(told, 1, context.now)
    return context.search.not_better(told, context.now)


@when("the candidate answers that it is not current")
def not_current(context: Context) -> None:
    assert answers_not_current(context) == []


@then("the search asks the candidate again after {seconds:g} seconds")
def asks_again(context: Context, seconds: float) -> None:
    assert math.isclose(context.search.next_deadline(), context.now + seconds)
    context.now += seconds
    (context.asked,) = context.search.on_deadline(context.now)
    assert isinstance(context.asked.message, FreshnessProbe)


@when("the candidate answers that it is current")
def is_current(context: Context) -> None:
    context.better = context.search.is_better(answer(context, current=True), 1, context.now)


@then("the candidate is better")
def candidate_better(context: Context) -> None:
    assert context.better


@when("the candidate answers for {seconds:d} seconds that it is not current")
def not_current_for(context: Context, seconds: int) -> None:
    end = context.now + seconds
    context.given_up = []
    while context.now < end and not context.given_up:
        context.given_up = answers_not_current(context)
        if not context.given_up:
            asks_again(context, ASK_INTERVAL)


@then("the search has given the candidate up")
def given_up(context: Context) -> None:
    (close,) = context.given_up
    assert isinstance(close, CloseConnection), close
