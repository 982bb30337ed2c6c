"""Steps for the departed runs that a relay keeps."""

from __future__ import annotations

import random

from behave import given, then, when
from behave.runner import Context

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    DialledConnections,
    MessageReceived,
    OpenConnection,
    Peer,
    Purpose,
    Role,
    SendMessage,
)
from limelever.protocol.departures import departures_message, departures_of, stored_message
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointSyncRequest,
    LeaseGranted,
    Register,
    RunsDeparted,
    RunsDepartedStored,
)
from limelever.relay.endpoint_entry import EndpointName
from limelever.relay.endpoint_exchange import EndpointExchange, EndpointExchangeSettings
from limelever.relay.interface import DeparturesRecovered, DeparturesWritten, WriteDepartures

RELAY_LINK = 21
OTHER_RELAY = Address("10.0.0.2", 1)


class DepartureRelay:
    """The endpoint exchange of a relay, and what it has put out."""

    def __init__(self) -> None:
        settings = EndpointExchangeSettings(peers=(OTHER_RELAY,))
        connections, generator = DialledConnections(), random.Random(1)
        self.exchange = EndpointExchange(settings, "relay-1", 1, connections, generator)
        self.now = 0.0
        self.outputs: list = []
        self.taken = 0
        self.exchange.start(self.now)
        self.add(self.exchange.on_deadline(self.now))
        (dial,) = self.of(OpenConnection)
        self.peer_link = dial.connection
        peer = Peer(Role.RELAY, "relay-2", "zone-b", Purpose.ENDPOINTS)
        opened = ConnectionOpened(self.peer_link, peer)
        self.add(self.exchange.handle_peer_event(self.peer_link, opened, self.now))
        self.taken = len(self.outputs)

    def add(self, outputs) -> None:
        self.outputs.extend(outputs)

    def of(self, kind) -> list:
        return [output for output in self.outputs if isinstance(output, kind)]

    def sent(self, link: int, kind) -> list:
        sent = (output for output in self.of(SendMessage) if output.connection == link)
        return [output.message for output in sent if isinstance(output.message, kind)]

    def report(self, node: int, run: DepartedRun) -> None:
        message = departures_message([run])
        self.add(self.exchange.handle_proxy_message(node, message, self.now))

    def recover(self, *runs: DepartedRun) -> None:
        self.add(self.exchange.handle_host_event(DeparturesRecovered(runs), self.now))

    def register(self, link: int, run: DepartedRun, *, leaving: bool = False) -> None:
        endpoint = Endpoint(
            service="orders",
            instance=f"agent-{link}",
            zone="zone-a",
            incarnation=1,
            sequence=len(self.outputs) + 1,
            host="10.0.0.9",
            port=1,
            slots=1,
            state=ENDPOINT_STATE_READY,
            run=run.instance,
            run_started_ms=run.started_at_ms,
            leaving=leaving,
        )
        register = Register(endpoint=endpoint)
        self.add(self.exchange.handle_agent_message(link, register, self.now))


@given("a relay whose disk has not been read")
def given_unread(context: Context) -> None:
    context.relay = DepartureRelay()


@given("a relay whose disk holds no departed runs")
def given_relay(context: Context) -> None:
    context.relay = DepartureRelay()
    context.relay.recover()


@given("a relay that has no disk")
def given_no_disk(context: Context) -> None:
    context.relay = DepartureRelay()
    recovered = DeparturesRecovered((), has_disk=False)
    context.relay.add(context.relay.exchange.handle_host_event(recovered, context.relay.now))


@given('the other relay confirms that it has stored "{run}"')
@when('the other relay confirms that it has stored "{run}"')
def relay_confirms(context: Context, run: str) -> None:
    message = stored_message([DepartedRun(run)])
    context.relay.add(context.relay.exchange.handle_stored(RELAY_LINK, message))


@given("the link to the other relay is lost")
def relay_lost(context: Context) -> None:
    context.relay.exchange.connection_closed(RELAY_LINK)


@when('node {node:d} reports that run "{run}" has left')
def report(context: Context, node: int, run: str) -> None:
    context.relay.report(node, DepartedRun(run))


@given('node {node:d} reports that run "{run}", started at {started:d}, has left')
def report_started(context: Context, node: int, run: str, started: int) -> None:
    context.relay.report(node, DepartedRun(run, started))


@given('another relay reports that run "{run}", started at {started:d}, has left')
@when('another relay reports that run "{run}", started at {started:d}, has left')
def relay_reports(context: Context, run: str, started: int) -> None:
    relay = context.relay
    message = departures_message([DepartedRun(run, started)])
    event = MessageReceived(relay.peer_link, message)
    relay.add(relay.exchange.handle_peer_event(relay.peer_link, event, relay.now))


@given('the disk is read, and holds "{run}", started at {started:d}')
def recover_started(context: Context, run: str, started: int) -> None:
    context.relay.recover(DepartedRun(run, started))


@when('the disk is read, and holds "{run}"')
def recover(context: Context, run: str) -> None:
    context.relay.recover(DepartedRun(run))


@when("the write is done")
def write_done(context: Context) -> None:
    token = context.relay.of(WriteDepartures)[-1].token
    written = DeparturesWritten(token)
    context.relay.add(context.relay.exchange.handle_host_event(written, context.relay.now))


@when("{seconds:d} seconds pass for the departed runs")
def pass_time(context: Context, seconds: int) -> None:
    relay = context.relay
    relay.now += seconds
    relay.add(relay.exchange.on_deadline(relay.now))


@then('the relay writes "{runs}" to its disk, and confirms nothing')
def writes(context: Context, runs: str) -> None:
    message = RunsDeparted()
    message.ParseFromString(context.relay.of(WriteDepartures)[-1].content)
    assert [run.instance for run in departures_of(message)] == runs.split(", "), message
    confirmed = context.relay.outputs[-1]
    assert isinstance(confirmed, WriteDepartures), confirmed


@then("the relay writes nothing")
def writes_nothing(context: Context) -> None:
    assert not context.relay.of(WriteDepartures)


@then('the relay confirms "{run}" to node {node:d}')
def confirms(context: Context, run: str, node: int) -> None:
    stored = context.relay.sent(node, RunsDepartedStored)
    assert [departures_of(each) for each in stored] == [[DepartedRun(run)]], stored


@then("the relay confirms nothing to node {node:d}")
def confirms_nothing(context: Context, node: int) -> None:
    assert not context.relay.sent(node, RunsDepartedStored)


@then('the relay confirms "{run}" to the relay that has reported it')
def confirms_to_relay(context: Context, run: str) -> None:
    confirms(context, run, context.relay.peer_link)


@then("the relay confirms nothing to the relay that has reported it")
def confirms_nothing_to_relay(context: Context) -> None:
    confirms_nothing(context, context.relay.peer_link)


@given('an agent beside run "{run}", started at {started:d}, on link {link:d}')
@when('an agent beside run "{run}", started at {started:d}, registers on link {link:d}')
def register(context: Context, run: str, started: int, link: int) -> None:
    context.relay.register(link, DepartedRun(run, started))


@given("the agent on link {link:d} registers again and states that its run is leaving")
def register_leaving(context: Context, link: int) -> None:
    context.relay.register(link, DepartedRun("i-1", 1000), leaving=True)


@then("the agent on link {link:d} is notified that its run has departed")
def notified(context: Context, link: int) -> None:
    assert context.relay.sent(link, LeaseGranted)[-1].run_departed


@then("the endpoint of link {link:d} is draining")
def is_draining(context: Context, link: int) -> None:
    entry = context.relay.exchange.table.get(EndpointName("orders", f"agent-{link}"))
    assert entry.endpoint.state == ENDPOINT_STATE_DRAINING and entry.endpoint.leaving, entry


@then("the endpoint of link {link:d} is ready")
def is_ready(context: Context, link: int) -> None:
    entry = context.relay.exchange.table.get(EndpointName("orders", f"agent-{link}"))
    assert entry.endpoint.state == ENDPOINT_STATE_READY and not entry.endpoint.leaving, entry
    assert not context.relay.sent(link, LeaseGranted)[-1].run_departed


@given("another relay of feature level {level:d} connects")
@when("another relay of feature level {level:d} connects")
def relay_connects(context: Context, level: int) -> None:
    relay = context.relay
    request = EndpointSyncRequest()
    relay.add(relay.exchange.handle_sync_request(RELAY_LINK, request, relay.now, level))


@then("it has received {runs}")
def received(context: Context, runs: str) -> None:
    messages = context.relay.sent(RELAY_LINK, RunsDeparted)
    found = [run.instance for message in messages for run in departures_of(message)]
    assert found == ([] if runs == "nothing" else runs.split(", ")), found
