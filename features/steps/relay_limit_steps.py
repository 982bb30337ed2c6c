"""Steps for limits of tenants among whole relays."""

from __future__ import annotations

from behave import then, when
from behave.runner import Context
from distribution_harness import resource

from limelever.common.sansio import SendMessage
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.limits_pb2 import LimitNews, TenantUse


def send_up(context: Context, name: str, use: TenantUse) -> None:
    node = context.mesh.network.nodes[name]
    connection = node.core.subscriber.connection
    context.mesh.network.carry_out(name, [SendMessage(connection, use)])


def last_news(context: Context, name: str) -> LimitNews:
    received = context.mesh.network.nodes[name].received
    return [message for message in received if isinstance(message, LimitNews)][-1]


@when('the mesh limits the tenant "{name}" to {rate:d} calls a second')
def limit_tenant(context: Context, name: str, rate: int) -> None:
    context.mesh.apply([resource(f"tenant/{name}", rate_per_s=rate, burst=0)])


@when('the proxies "{names}" tell their relays that they share limits')
def share_limits(context: Context, names: str) -> None:
    for name in names.split(", "):
        send_up(context, name, TenantUse())


@when('the proxy "{name}" tells its relay of {calls:d} calls of "{tenant}" let in')
def tell_use(context: Context, name: str, calls: int, tenant: str) -> None:
    send_up(context, name, TenantUse(tenants=[tenant_hash(tenant)], admitted=[calls]))


@then('the proxies "{names}" were last told to let in nothing of "{tenant}"')
def told_nothing_in(context: Context, names: str, tenant: str) -> None:
    for name in names.split(", "):
        news = last_news(context, name)
        assert list(news.tenants) == [tenant_hash(tenant)], (name, news)
        assert list(news.permille) == [0], (name, news)


@then('the proxies "{names}" were last told of no tenant')
def told_of_none(context: Context, names: str) -> None:
    for name in names.split(", "):
        assert not last_news(context, name).tenants, (name, last_news(context, name))


@then("nobody has heard of limits")
def heard_nothing(context: Context) -> None:
    for name, node in context.mesh.network.nodes.items():
        heard = [each for each in node.received if isinstance(each, LimitNews | TenantUse)]
        assert not heard, (name, heard)
