"""Steps for a publisher whose subscribers come before it holds anything."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from limelever.common.sansio import (
    CloseConnection,
    ConnectionClosed,
    ConnectionOpened,
    DeadlineReached,
    MessageReceived,
    Output,
    Peer,
    Purpose,
    Role,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import ConfigSnapshot, RetryLater, Subscribe
from limelever.publisher.core import PublisherCore
from limelever.publisher.notices import SubscriberAdmitted
from limelever.publisher.settings import PublisherSettings

VERSION = 7


@given("a publisher that holds nothing and lets subscribers wait for {seconds:g} seconds")
def given_empty(context: Context, seconds: float) -> None:
    context.empty = PublisherCore(PublisherSettings(hold_empty=seconds))
    context.now = 100.0
    context.outputs: list[Output] = []


@when("{count:d} subscribers come")
def subscribers_come(context: Context, count: int) -> None:
    context.links = [2 * number + 1 for number in range(count)]
    for link in context.links:
        peer = Peer(Role.PROXY, f"proxy-{link}", "zone-a", Purpose.SUBSCRIPTION)
        subscribe = Subscribe(everything=True)
        for event in (ConnectionOpened(link, peer), MessageReceived(link, subscribe)):
            context.outputs.extend(context.empty.handle(event, context.now))


@when("the first of them leaves")
def first_leaves(context: Context) -> None:
    context.empty.handle(ConnectionClosed(context.links[0], "left"), context.now)


@when("the publisher is loaded {seconds:g} seconds later")
def loaded(context: Context, seconds: float) -> None:
    context.now += seconds
    context.outputs.extend(context.empty.load(VERSION, (), context.now))


@when("{seconds:g} seconds pass at the publisher that holds nothing")
def seconds_pass(context: Context, seconds: float) -> None:
    assert context.empty.next_deadline() <= context.now + seconds
    context.now += seconds
    context.outputs.extend(context.empty.handle(DeadlineReached(), context.now))


def links_sent(context: Context, kind: type) -> list[int]:
    sent = [output for output in context.outputs if isinstance(output, SendMessage)]
    return [output.connection for output in sent if isinstance(output.message, kind)]


def links_admitted(context: Context) -> list[int]:
    admitted = [each for each in context.outputs if isinstance(each, SubscriberAdmitted)]
    return [each.connection for each in admitted]


@then("the publisher has answered none of them")
def answered_none(context: Context) -> None:
    assert context.outputs == [], context.outputs


@then("the publisher has sent each of them the configuration and admitted it")
def answered_all(context: Context) -> None:
    assert links_sent(context, ConfigSnapshot) == context.links, context.outputs
    assert links_admitted(context) == context.links, context.outputs


@then("the publisher has answered the second one only")
def answered_second(context: Context) -> None:
    assert links_admitted(context) == context.links[1:], context.outputs


@then("the publisher has sent each of them away")
def sent_away(context: Context) -> None:
    closed = [each for each in context.outputs if isinstance(each, CloseConnection)]
    assert links_sent(context, RetryLater) == context.links, context.outputs
    assert [each.connection for each in closed] == context.links
    assert not links_admitted(context)
