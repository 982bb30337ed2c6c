"""Steps for orders to evacuate a zone, sent to the platform's control process."""

from __future__ import annotations

from behave import then, when
from platform_process_steps import call, heartbeat, put, send, tell, wait_until

METRICS_PORT = 9464
CHECKED_REQUESTS = 10


def order(context, method, zone):
    return call(context.operator, method, f"/v1/evacuate/{zone}")[0]


@when('the platform\'s operator evacuates the zone "{zone}"')
def when_evacuated(context, zone):
    context.zone = zone
    assert order(context, "POST", zone) == 200


@when('the evacuation of the zone "{zone}" is withdrawn')
def when_withdrawn(context, zone):
    assert order(context, "DELETE", zone) == 200


@when("another configuration is put")
def when_put(context):
    put(context, 2, 1, {"read": "safe", "write": "unsafe"})


@when("the node is killed and started again, and the back end reports itself")
def when_node_restarted(context):
    node = context.machines[1]
    node.end()
    node.start()
    wait_until(lambda: tell(context, heartbeat(context)) == 200, "the report is taken")


def refusal(context):
    """Send a request; return its status and whether a retry time came with it."""
    status, headers, _ = send(context, "/read/1")[1]
    return status, "retry-after" in {name.lower() for name in headers}


@then("requests through the node are refused with 503 and a retry time, and reach no back end")
def then_refused(context):
    wait_until(lambda: refusal(context) == (503, True), "the drain is followed")
    seen = len(context.back_end.seen)
    for _ in range(CHECKED_REQUESTS):
        assert refusal(context) == (503, True)
    assert len(context.back_end.seen) == seen


@then("the same evacuation is acknowledged")
def then_again(context):
    wait_until(lambda: order(context, "POST", context.zone) == 200, "the order is acknowledged")


@then("the metrics of the node tell of {count:d} drained zone")
def then_metrics(context, count):
    address = f"{context.network.address(2)}:{METRICS_PORT}"
    status, _, body = call(address, "GET", "/metrics")
    assert status == 200 and f"limelever_proxy_drained_zones {count}" in body.decode(), body
