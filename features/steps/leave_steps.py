"""Steps for the leaves that a node has stored before it acknowledges them; virtual time."""

from __future__ import annotations

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionOpened,
    Peer,
    Purpose,
    Role,
    SendMessage,
)
from limelever.node.leaves import Leaves, unstored_refusal
from limelever.protocol.departures import departures_of, stored_message
from limelever.protocol.endpoints_pb2 import RunsDeparted
from limelever.proxy.call_types import RunDeparted, RunDepartureStored
from limelever.proxy.departure_reporter import DepartureReporter

RUN = DepartedRun("i-1", 1000)
RELAY = Address("10.0.0.1", 1)


@given("a node whose relay stores a leave {stored}, and that {stops}")
def given_node(context: Context, stored: str, stops: str) -> None:
    context.delay = None if stored == "never" else float(stored.split()[1])
    context.stopping = stops == "is stopping"


async def leave(delay: float | None, stopping: bool) -> tuple[bool, float]:
    """Return whether a leave is acknowledged, and after how many seconds."""
    leaves = Leaves()
    begun = trio.current_time()

    async def store(run: DepartedRun) -> None:
        if delay is not None:
            await trio.sleep(delay)
            leaves.stored(run)

    async with trio.open_nursery() as nursery:
        leaves.proxy_started(lambda event: nursery.start_soon(store, event.run))
        leaves.announce(RUN)
        leaves.announce(RUN)
        stored = await leaves.wait_stored(RUN)
        took = trio.current_time() - begun
        nursery.cancel_scope.cancel()
    return unstored_refusal(stored=stored, stopping=stopping) is None, took


@when("its instance says that it leaves")
def says_leave(context: Context) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.acknowledged, context.took = trio.run(
        leave, context.delay, context.stopping, clock=clock
    )


@then("the leave is {answer:S} after {seconds:g} s")
def is_answered(context: Context, answer: str, seconds: float) -> None:
    assert context.acknowledged is (answer == "acknowledged"), context.acknowledged
    assert abs(context.took - seconds) < 0.01, context.took


class FakeSubscriber:
    """The subscription of a proxy, as far as reports use it."""

    def __init__(self) -> None:
        self.connection: int | None = None

    @property
    def subscribed(self) -> bool:
        return self.connection is not None

    def send_up(self, message):
        return [SendMessage(self.connection, message)]


@given("a node's proxy without a relay")
def given_proxy(context: Context) -> None:
    context.subscriber = FakeSubscriber()
    context.reporter = DepartureReporter(context.subscriber)
    context.outputs = []
    context.last = 0


@when("its instance has left")
def has_left(context: Context) -> None:
    context.outputs.extend(context.reporter.announce(RunDeparted(RUN).run))


@when("the proxy subscribes to a relay of feature level {level:d}")
def subscribe(context: Context, level: int) -> None:
    context.last += 2
    peer = Peer(Role.RELAY, "relay", "zone", Purpose.SUBSCRIPTION, feature_level=level)
    context.reporter.observe(ConnectionOpened(context.last, peer))
    context.subscriber.connection = context.last
    for _ in range(2):
        context.outputs.extend(context.reporter.poll())


@when("that link is lost, and the proxy subscribes to a relay of feature level {level:d}")
def change_relay(context: Context, level: int) -> None:
    context.reporter.observe(ConnectionClosed(context.last, "lost"))
    context.subscriber.connection = None
    context.outputs.extend(context.reporter.poll())
    subscribe(context, level)


def reported(context: Context, link: int) -> list:
    sent = [each for each in context.outputs if isinstance(each, SendMessage)]
    return [
        departures_of(each.message)
        for each in sent
        if each.connection == link and isinstance(each.message, RunsDeparted)
    ]


@then("nothing is reported")
def nothing_reported(context: Context) -> None:
    assert not context.outputs, context.outputs


@then("the leave is reported on that link once")
def reported_once(context: Context) -> None:
    assert reported(context, context.last) == [[RUN]], context.outputs


@then("nothing is reported on that link")
def none_reported(context: Context) -> None:
    assert not reported(context, context.last), context.outputs


@when("that relay confirms it")
def confirm(context: Context) -> None:
    context.stored = context.reporter.stored(stored_message([RUN]))


@then("the node hears that it is stored")
def node_hears(context: Context) -> None:
    assert context.stored == [RunDepartureStored(RUN)], context.stored
