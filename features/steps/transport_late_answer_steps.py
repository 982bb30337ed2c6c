"""Steps for an HTTP application that answers only after its caller has left."""

from __future__ import annotations

import trio
import trio.testing
from behave import given, then, when
from http_server import HttpClient, HttpServer, ask_over_http2
from transport_server import wait_for

from limelever.common.sansio import Address
from limelever.transport import metrics
from limelever.transport.http_guard import (
    GuardOptions,
    application_service,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.http_limits import HttpLimits

LISTENER = "late-answers"
MEBIBYTE = 1 << 20
OPTIONS = GuardOptions(
    listener=LISTENER, connection_limit=8, stop_limit=0.1, failed_event=1, limit_event=2
)


async def answer_late(scope, receive, send):
    """Answer once the caller has left and its connection's reader has ended."""
    while (await receive())["type"] != "http.disconnect":
        pass
    await trio.testing.wait_all_tasks_blocked()
    await send({"type": "http.response.start", "status": 200, "headers": ()})
    await send({"type": "http.response.body", "body": bytes(MEBIBYTE), "more_body": False})


def serve_application(application):
    """Return what serves an application on a guarded listener."""

    async def serve(task_status):
        listeners = await open_listeners(Address("127.0.0.1", 0), None, LISTENER)
        task_status.started(bound_address(listeners))
        service = application_service(application, HttpLimits(idle=5.0), MEBIBYTE)
        await serve_guarded(service, listeners, OPTIONS, trio.Event())

    return serve


def open_connections():
    return metrics.HTTP_CONNECTIONS_OPEN.labels(LISTENER).read()


@given("a listener whose application answers only after its caller has left")
def given_late_answers(context):
    context.late_answers = HttpServer(serve_application(answer_late))
    context.add_cleanup(context.late_answers.stop)


@when("a caller over HTTP/2 asks it and leaves")
def when_caller_leaves(context):
    client = HttpClient(context.late_answers.address)
    ask_over_http2(client, "/")
    assert wait_for(lambda: open_connections() == 1)
    client.close()


@then("that listener holds no connection")
def then_none_held(context):
    assert wait_for(lambda: open_connections() == 0), open_connections()
