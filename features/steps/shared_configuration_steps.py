"""Steps for an agent that uses the configuration of the proxy in its process."""

from __future__ import annotations

import random

from agent_harness import PROXY, PROXY_CONNECTION, RELAY, call_start
from behave import given, then, when
from behave.runner import Context

from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.interface import BackendProbed, ConfigurationShared, RelaysShared
from limelever.agent.registration import RegistrationSettings
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    Event,
    MessageReceived,
    OpenConnection,
    Purpose,
    SendMessage,
    Started,
)
from limelever.protocol.calls_pb2 import CallFailed
from limelever.protocol.config_pb2 import Resource, Service, VersionedResource
from limelever.protocol.endpoints_pb2 import LeaseGranted
from limelever.subscriber.configuration import EMPTY_CONFIGURATION
from limelever.subscriber.notices import PublishersReceived

PORT = 7241
NOW = 100.0


def handle(context: Context, event: Event) -> None:
    context.outputs.extend(context.core.handle(event, NOW))


def opened_connections(context: Context) -> list[OpenConnection]:
    return [output for output in context.outputs if isinstance(output, OpenConnection)]


@given('an agent without a subscription of its own, registered at "{host}"')
def given_agent(context: Context, host: str) -> None:
    relays = (Address(host, PORT),)
    registration = RegistrationSettings(
        relays, "orders", "orders-1", "zone-a", Address("10.0.0.9", 5), 1
    )
    context.core = AgentCore(AgentOptions(registration, None), 7, random.Random(1))
    context.outputs = []
    handle(context, Started())
    handle(context, BackendProbed(True))
    (opening,) = opened_connections(context)
    handle(context, ConnectionOpened(opening.connection, RELAY))
    grant = LeaseGranted(lease_ms=6000, incarnation=7)
    handle(context, MessageReceived(opening.connection, grant))
    handle(context, ConnectionOpened(PROXY_CONNECTION, PROXY))


@when("its process shares a configuration with a maximum body size of {size:d} bytes")
def shares_configuration(context: Context, size: int) -> None:
    service = Service(name="orders", max_body_bytes=size)
    versioned = VersionedResource(version=3, resource=Resource(service=service))
    configuration = EMPTY_CONFIGURATION.changed((), [versioned])
    handle(context, ConfigurationShared(3, configuration))


@then("a call with a body of {over:d} bytes is refused, and one of {within:d} is not")
def refused_over(context: Context, over: int, within: int) -> None:
    for stream, size in ((1, over), (2, within)):
        handle(context, MessageReceived(PROXY_CONNECTION, call_start(stream, body=bytes(size))))
    sent = [output.message for output in context.outputs if isinstance(output, SendMessage)]
    failed = [message.stream for message in sent if isinstance(message, CallFailed)]
    assert failed == [1], failed


@when('its process shares relays of which "{host}" is preferred')
def shares_relays(context: Context, host: str) -> None:
    known = (Address("10.0.0.1", PORT), Address(host, PORT))
    handle(context, RelaysShared(PublishersReceived(known, known[1])))


@then('the agent registers at "{host}"')
def registers_at(context: Context, host: str) -> None:
    assert opened_connections(context)[-1].address == Address(host, PORT)
    assert opened_connections(context)[-1].purpose is Purpose.REGISTRATION


@then("it has never subscribed")
def never_subscribed(context: Context) -> None:
    assert all(
        opening.purpose is not Purpose.SUBSCRIPTION for opening in opened_connections(context)
    )
