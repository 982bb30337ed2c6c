"""Steps for load reports: from agents through relays to the proxies of their zone."""

from __future__ import annotations

from agent_harness import AgentHarness
from behave import given, then, when
from behave.runner import Context
from relay_steps import ZONES, agent, start_proxy

from limelever.common.sansio import OpenConnection, Purpose, SendMessage
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoints_pb2 import LoadReport, LoadUpdate

SERVICE = "orders"


def numbers(text: str) -> list[int]:
    return [int(each) for each in text.split(", ") if each]


@given('a proxy "far" of the zone of "{zone_of}" at "{relay}"')
def given_proxy_of_zone(context: Context, zone_of: str, relay: str) -> None:
    start_proxy(context, "far", relay, zone=ZONES[zone_of])


@given('the agent "{name}" has a link to "{relay}" and no lease')
def given_unregistered(context: Context, name: str, relay: str) -> None:
    unregistered = agent(context, name)
    unregistered.connection = next(unregistered.connections)
    address = context.mesh.network.address(relay)
    dial = OpenConnection(unregistered.connection, address, Purpose.REGISTRATION)
    context.mesh.network.carry_out(name, [dial])
    context.mesh.network.run(0.01)


@when('the agent "{name}" reports a load of {load:d}')
def reports_load(context: Context, name: str, load: int) -> None:
    connection = agent(context, name).connection
    report = SendMessage(connection, LoadReport(load=load))
    context.mesh.network.carry_out(name, [report])
    context.mesh.network.run(0.005)


@then('the proxies "{names}" have received the loads "{loads}" of "{instance}"')
@then('the proxies "{names}" have received the loads "" of "{instance}"')
def check_loads(context: Context, names: str, instance: str, loads: str = "") -> None:
    number = endpoint_hash(SERVICE, instance)
    for name in names.split(", "):
        received = context.mesh.network.nodes[name].received
        updates = [message for message in received if isinstance(message, LoadUpdate)]
        received_loads = [
            load
            for update in updates
            for at, load in zip(update.endpoints, update.loads, strict=True)
            if at == number
        ]
        assert received_loads == numbers(loads), (name, received_loads)


@then('the agent has reported the loads "{loads}"')
@then('the agent has reported the loads ""')
def has_reported(context: Context, loads: str = "") -> None:
    bench: AgentHarness = context.agent
    sent = [output.message for output in bench.outputs_of(SendMessage)]
    reports = [message.load for message in sent if isinstance(message, LoadReport)]
    assert reports == numbers(loads), reports


@when('the proxy "{name}" stops')
def proxy_stops(context: Context, name: str) -> None:
    context.mesh.network.kill(name)


def received_loads_of(context: Context, relay: str) -> list[int]:
    received = context.mesh.network.nodes[relay].received
    return [load for each in received if isinstance(each, LoadUpdate) for load in each.loads]


@then('"{relay}" has received no loads from "{other}"')
def check_no_loads(context: Context, relay: str, other: str) -> None:
    assert received_loads_of(context, relay) == []


@then('"{relay}" has received the loads "{loads}" from "{other}"')
def check_loads_from(context: Context, relay: str, loads: str, other: str) -> None:
    assert received_loads_of(context, relay) == numbers(loads)
