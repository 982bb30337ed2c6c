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


@given('a proxy "{name:w}" of the zone of "{zone_of}" at "{relay}"')
def given_proxy_of_zone(context: Context, name: str, zone_of: str, relay: str) -> None:
    start_proxy(context, name, relay, zone=ZONES[zone_of])


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


def report_silent(context: Context, name: str, hashes: list[int]) -> None:
    reader = context.mesh.readers[name][-1]
    outputs = reader.subscriber.send_up(LoadUpdate(suspects=hashes))
    assert outputs, "the proxy has no link to its relay"
    context.mesh.network.carry_out(name, outputs)
    context.mesh.network.run(0.005)


def silent_updates(context: Context, name: str) -> list[list[int]]:
    received = context.mesh.network.nodes[name].received
    return [list(each.suspects) for each in received if isinstance(each, LoadUpdate)]


def was_told(context: Context, name: str, instance: str) -> bool:
    number = endpoint_hash(SERVICE, instance)
    return any(number in suspects for suspects in silent_updates(context, name))


@when('the proxy "{name}" reports "{instance}" as silent')
def proxy_reports(context: Context, name: str, instance: str) -> None:
    report_silent(context, name, [endpoint_hash(SERVICE, instance)])


@when('the proxy "{name}" reports {count:d} endpoints as silent twice in a moment')
def proxy_reports_many(context: Context, name: str, count: int) -> None:
    report_silent(context, name, list(range(count)))
    report_silent(context, name, list(range(count, 2 * count)))


@then('the proxies "{names}" were told that "{instance}" is silent')
def check_told(context: Context, names: str, instance: str) -> None:
    for name in names.split(", "):
        assert was_told(context, name, instance), name


@then('the proxies "{names}" were not told that "{instance}" is silent')
def check_not_told(context: Context, names: str, instance: str) -> None:
    for name in names.split(", "):
        assert not was_told(context, name, instance), name


@then('the proxies "{names}" were told of at most {count:d} silent endpoints at once')
def check_bounded(context: Context, names: str, count: int) -> None:
    for name in names.split(", "):
        lengths = [len(each) for each in silent_updates(context, name)]
        assert 0 < max(lengths) <= count, lengths
