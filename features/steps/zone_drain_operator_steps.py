"""Steps for what operators see of zone drains: names, refusals, logs and explanations."""

from __future__ import annotations

import tempfile
from pathlib import Path

from behave import given, then, when
from cli_session import reach
from cli_steps import start_source
from explain_steps import WANTED, line
from replication_group import SEALER

from limelever.cli.explain import explain
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch, Resource, ZoneDrain
from limelever.protocol.operators_pb2 import ApplyRequest
from limelever.proxy import events as proxy_events
from limelever.source import events as source_events
from limelever.source import grpc_wire
from limelever.source.grpc_asgi import Refusal
from limelever.source.operator_door import OperatorToken, RequestChecks

APPLY = "/limelever.v1.Operator/Apply"


def ordered(operator, zone, zones, claimed=""):
    """Return what the operators' service makes of an order sent with an operator's credential."""
    drain = ZoneDrain(zone=zone, ordered_at_ms=5, ordered_by=claimed)
    batch = Batch(request_id="zone-order@1", put=[Resource(zone_drain=drain)])
    body = grpc_wire.encode_message(ApplyRequest(batch=batch))
    token = OperatorToken(name=operator, token="t")
    return RequestChecks(SEALER, zones).request(APPLY, {}, body, token)


@then('an order of "{operator}" that claims to be from "{other}" is passed on as "{name}"\'s')
def then_named(context, operator, other, name):
    request = ordered(operator, "east", {}, claimed=other)
    assert request.batch.put[0].zone_drain.ordered_by == name, request


@then('an order of "{operator}" for the zone "{zone}" is refused where the settings list "{zones}"')
def then_refused(context, operator, zone, zones):
    context.order = (operator, zone)
    refusal = ordered(operator, zone, {name: "" for name in zones.split(", ")})
    assert isinstance(refusal, Refusal) and refusal.failure.kind is ErrorKind.NOT_FOUND, refusal


@then("it is passed on where the settings list no zones")
def then_passed(context):
    assert isinstance(ordered(*context.order, {}), ApplyRequest)


@then('the group logged one order by "{operator}" for "{zone}" and one withdrawal')
def then_logged(context, operator, zone):
    context.group.run(1.0)
    orders = [f for _, code, f in context.group.logged if code == source_events.ZONE_DRAIN_ORDERED]
    assert [(f["zone"], f["ordered_by"]) for f in orders] == [(zone, operator)], orders
    withdrawals = [
        f for _, code, f in context.group.logged if code == source_events.ZONE_DRAIN_WITHDRAWN
    ]
    assert [f["zone"] for f in withdrawals] == [zone], withdrawals


@then('the proxy logged once that the drain of "{zone}" began and ended')
def then_proxy_logged(context, zone):
    codes = (proxy_events.ZONE_DRAIN_BEGAN, proxy_events.ZONE_DRAIN_ENDED)
    logged = [each for each in context.proxy.logged if each.code in codes]
    assert [each.code for each in logged] == list(codes), logged
    assert {each.fields["zone"] for each in logged} == {zone}, logged


@given(
    'the log of a proxy that knows of drains of "{first}" and "{second}", of which "{ended}" '
    "has ended"
)
def given_log(context, first, second, ended):
    began = proxy_events.ZONE_DRAIN_BEGAN
    context.lines = [
        line(1, "proxy", began, "zone-drain-began", {"zone": first, "version": 6}),
        line(2, "proxy", began, "zone-drain-began", {"zone": second, "version": 7}),
        line(3, "proxy", proxy_events.ZONE_DRAIN_ENDED, "zone-drain-ended", {"zone": ended}),
    ]


@given('a request that it refuses as "{kind}"')
def given_request(context, kind):
    reason = "all endpoints of orders are in drained zones"
    fields = {"request_id": WANTED, "kind": kind, "reason": reason}
    context.lines.append(line(4, "proxy", proxy_events.CALL_FAILED, "call-failed", fields))


@when("the request is explained")
def when_explained(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "proxy.log"
        path.write_text("\n".join(context.lines) + "\n")
        context.explanation = explain(WANTED, [path])


@then('the explanation\'s deciding line says "{reason}"')
def then_decides(context, reason):
    assert context.explanation.deciding.fields["reason"] == reason, context.explanation


@then('it names just the drain of "{zone}" among what the proxy believed')
def then_believed(context, zone):
    found = [each.fields["zone"] for each in context.explanation.beliefs]
    assert found == [zone], context.explanation.beliefs


@given('a source whose drain of "{zone}" another operator withdraws just before each deletion')
def given_other_withdraws(context, zone):
    def script(request):
        if isinstance(request, ApplyRequest) and request.batch.delete:
            return Failure(ErrorKind.NOT_FOUND, "nothing to delete")
        return None

    server = start_source(context, script)
    put = [Resource(zone_drain=ZoneDrain(zone=zone))]
    server.state.apply(6, Batch(request_id="zone-order@1", put=put))
    reach(context, server.address)
