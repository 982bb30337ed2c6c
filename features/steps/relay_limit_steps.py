"""Steps for tenants' limits at complete relay cores."""

from __future__ import annotations

from behave import then, when
from behave.runner import Context
from distribution_harness import resource

from limelever.common.sansio import SendMessage
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.limits_pb2 import LimitNews, TenantUse


def send_to_relay(context: Context, name: str, report: TenantUse) -> None:
    node = context.mesh.network.nodes[name]
    connection = node.core.subscriber.connection
    context.mesh.network.carry_out(name, [SendMessage(connection, report)])


def last_update(context: Context, name: str) -> LimitNews:
    received = context.mesh.network.nodes[name].received
    return [message for message in received if isinstance(message, LimitNews)][-1]


@when('the mesh limits the tenant "{name}" to {rate:d} calls a second')
def limit_tenant(context: Context, name: str, rate: int) -> None:
    context.mesh.apply([resource(f"tenant/{name}", rate_per_s=rate, burst=0)])


@when('the proxies "{names}" send empty usage reports to their relays')
def send_empty_reports(context: Context, names: str) -> None:
    for name in names.split(", "):
        send_to_relay(context, name, TenantUse())


@when('the proxy "{name}" reports {calls:d} admitted calls of "{tenant}" to its relay')
def report_usage(context: Context, name: str, calls: int, tenant: str) -> None:
    send_to_relay(context, name, TenantUse(tenants=[tenant_hash(tenant)], admitted=[calls]))


@then('the last limit update of the proxies "{names}" admits no calls of "{tenant}"')
def admits_nothing(context: Context, names: str, tenant: str) -> None:
    for name in names.split(", "):
        update = last_update(context, name)
        assert list(update.tenants) == [tenant_hash(tenant)], (name, update)
        assert list(update.permille) == [0], (name, update)


@then('the last limit update of the proxies "{names}" names no tenant')
def names_no_tenant(context: Context, names: str) -> None:
    for name in names.split(", "):
        assert not last_update(context, name).tenants, (name, last_update(context, name))


@then("no process has received a usage report or limit update")
def no_limit_messages(context: Context) -> None:
    for name, node in context.mesh.network.nodes.items():
        limit_messages = [
            message for message in node.received if isinstance(message, LimitNews | TenantUse)
        ]
        assert not limit_messages, (name, limit_messages)
