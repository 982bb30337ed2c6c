"""Steps for how long calls may take in their own zone, by the bytes they transfer."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when

from limelever.proxy.transfer_size import TransferSizes

ROUTE = "lookup"
NOW = 10.0


@given("a route with 1 second to its target whose answers have {answer:S} bytes")
def given_route(context, answer):
    context.sizes = TransferSizes()
    if answer != "no":
        for _ in range(20):
            context.sizes.observe(ROUTE, int(answer))


@when("the configuration no longer holds that route")
def when_gone(context):
    context.sizes.keep_only(frozenset({"another"}))


@then("a call on it with a body of {body:d} bytes may take {milliseconds:d} ms in its own zone")
def then_may_take(context, body, milliseconds):
    call = SimpleNamespace(
        request=SimpleNamespace(body=bytes(body)),
        route=SimpleNamespace(name=ROUTE, target_latency=1.0),
        target_at=NOW + 1.0,
    )
    found = context.sizes.local_time_limit(call, NOW)
    assert round(found * 1000) == milliseconds, found


@then("a call on it with a body of {body:d} bytes is {kind:w}")
def then_size_class(context, body, kind):
    call = SimpleNamespace(
        request=SimpleNamespace(body=bytes(body)),
        route=SimpleNamespace(name=ROUTE, target_latency=1.0),
    )
    assert context.sizes.is_small(call) is (kind == "small")
