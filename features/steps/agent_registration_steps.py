"""Steps for the cold start and the registration of an agent."""

from __future__ import annotations

import random

from agent_harness import (
    REGISTRATION,
    RELAY,
    RELAYS,
    AgentHarness,
)
from behave import given, then, when
from behave.runner import Context

from limelever.agent.interface import (
    BackendProbed,
)
from limelever.agent.registration import Registration
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    MessageReceived,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.protocol.distribution_pb2 import (
    RetryLater,
)
from limelever.protocol.endpoints_pb2 import (
    LeaseGranted,
    LeaseLost,
    LeaseRenew,
    Register,
)


@given("an agent beside a cold back end")
def given_cold(context: Context) -> None:
    context.agent = AgentHarness(1)


def registrations_dialled(context: Context) -> int:
    dials = context.agent.outputs_of(OpenConnection)
    return sum(1 for dial in dials if dial.purpose is Purpose.REGISTRATION)


@then("no relay has been dialled by the agent")
def check_not_dialled(context: Context) -> None:
    assert registrations_dialled(context) == 0


@then("a relay has been dialled by the agent")
def check_dialled(context: Context) -> None:
    assert registrations_dialled(context) == 1


@when("a health probe passes")
def probe_passes(context: Context) -> None:
    context.agent.handle(BackendProbed(True))


class RegistrationHarness:
    """A registration that holds a lease; the test acts as its relay."""

    def __init__(self, lease_ms: int) -> None:
        self.registration = Registration(REGISTRATION, 7, DialledConnections(), random.Random(3))
        self.now = 0.0
        self.outputs: list[Output] = self.registration.start(self.now)
        self.handle(ConnectionOpened(self.connection, RELAY))
        self.receive(LeaseGranted(lease_ms=lease_ms, incarnation=7))
        self.relay = self.registration.relay

    @property
    def dials(self) -> list[OpenConnection]:
        return [output for output in self.outputs if isinstance(output, OpenConnection)]

    @property
    def connection(self) -> int:
        return self.dials[-1].connection

    def messages(self, kind: type) -> list[object]:
        sent = (output for output in self.outputs if isinstance(output, SendMessage))
        return [output.message for output in sent if isinstance(output.message, kind)]

    def handle(self, event: Event) -> None:
        self.outputs.extend(self.registration.handle(event, self.now))

    def receive(self, message: object) -> None:
        self.handle(MessageReceived(self.connection, message))  # type: ignore[arg-type]

    def pass_next_deadline(self) -> None:
        due = self.registration.next_deadline()
        assert due is not None
        self.now = due
        self.handle(DeadlineReached())


@then("agents with any random seed dial the first listed relay")
def check_first_listed(context: Context) -> None:
    for seed in range(20):
        registration = Registration(REGISTRATION, 7, DialledConnections(), random.Random(seed))
        [dial] = registration.start(0.0)
        assert isinstance(dial, OpenConnection) and dial.address == RELAYS[0], dial


@given("a registration with relays A and B that holds a lease of {seconds:d} seconds")
def given_lease(context: Context, seconds: int) -> None:
    context.registration = RegistrationHarness(seconds * 1000)


@when("its next deadline comes")
def next_deadline(context: Context) -> None:
    context.registration.pass_next_deadline()


@then("{seconds:d} seconds have passed and the lease was renewed")
def check_renewed(context: Context, seconds: int) -> None:
    assert context.registration.now == seconds
    assert len(context.registration.messages(LeaseRenew)) == 1


@when("the connection to its relay closes and its next deadline comes")
def relay_closes(context: Context) -> None:
    harness = context.registration
    harness.handle(ConnectionClosed(harness.connection, "lost"))
    harness.pass_next_deadline()


@when("no renewal is answered for {seconds:d} seconds")
def leave_renewals_unanswered(context: Context, seconds: int) -> None:
    harness = context.registration
    while len(harness.dials) == 1 and harness.registration.next_deadline() <= seconds:
        harness.pass_next_deadline()


@then("the other relay is dialled")
def check_other_relay_dialled(context: Context) -> None:
    harness = context.registration
    assert [dial.address for dial in harness.dials][1:] == [
        relay for relay in RELAYS if relay != harness.relay
    ]


@when("the relay says that the lease is lost")
def lease_lost(context: Context) -> None:
    context.registration.receive(LeaseLost(incarnation=7, reason="expired"))


@then("the endpoint is registered again with a higher sequence")
def check_registered_again(context: Context) -> None:
    first, second = context.registration.messages(Register)
    assert second.endpoint.sequence > first.endpoint.sequence


@when("the relay asks for a retry after {seconds:d} seconds")
def retry_later(context: Context, seconds: int) -> None:
    context.registration.receive(RetryLater(retry_after_ms=seconds * 1000))


@then("no relay is dialled within {seconds:d} seconds and one is dialled later")
def check_deferred(context: Context, seconds: int) -> None:
    harness = context.registration
    assert len(harness.dials) == 1
    harness.pass_next_deadline()
    assert harness.now >= seconds and len(harness.dials) == 2
