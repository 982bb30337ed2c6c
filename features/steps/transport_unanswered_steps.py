"""Steps for HTTP/2 requests that their application leaves unread or unanswered."""

from __future__ import annotations

import threading

import trio
import trio.testing
from behave import given, then, when
from http2_caller import Http2Caller
from http_server import HttpServer
from transport_late_answer_steps import serve_application
from transport_server import PATIENCE, wait_for

STREAMS = 40
LARGE_BYTES = 64 << 20
BLOCKED_SECONDS = 0.05
OK = 200


@given("a listener whose application ends a request without an answer while its callers leave")
def given_unanswered(context):
    first_left = trio.Event()
    context.requests = []

    async def application(scope, receive, send):
        number = len(context.requests)
        context.requests.append(scope["path"])
        if number == STREAMS - 1:
            await first_left.wait()
            return
        while (await receive())["type"] != "http.disconnect":
            pass
        first_left.set()

    context.late_answers = HttpServer(serve_application(application))
    context.add_cleanup(context.late_answers.stop)


@when("a caller over HTTP/2 has many requests in progress and leaves")
def when_many(context):
    caller = Http2Caller(context.late_answers.address)
    for _ in range(STREAMS):
        caller.send("/")
    assert wait_for(lambda: len(context.requests) == STREAMS)
    caller.close()


@given("a listener whose application ends a request without an answer while another is sent")
def given_unanswered_behind(context):
    context.ended = threading.Event()

    async def application(scope, receive, send):
        if scope["path"] != "/large":
            await trio.testing.wait_all_tasks_blocked(BLOCKED_SECONDS)
            context.ended.set()
            return
        await send({"type": "http.response.start", "status": OK, "headers": ()})
        await send({"type": "http.response.body", "body": bytes(LARGE_BYTES), "more_body": False})

    context.late_answers = HttpServer(serve_application(application))
    context.add_cleanup(context.late_answers.stop)


@when("a caller over HTTP/2 reads nothing of a large answer, asks that request too and leaves")
def when_reads_nothing(context):
    caller = Http2Caller(context.late_answers.address)
    caller.open_windows(LARGE_BYTES)
    caller.send("/large")
    caller.send("/")
    assert context.ended.wait(PATIENCE)
    caller.close()


@given("a listener whose application answers without reading a body")
def given_unread(context):
    async def application(scope, receive, send):
        if scope["path"] == "/later":
            await trio.testing.wait_all_tasks_blocked()
        await send({"type": "http.response.start", "status": OK, "headers": ()})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    context.late_answers = HttpServer(serve_application(application))
    context.add_cleanup(context.late_answers.stop)


@when("a caller over HTTP/2 sends a body in {count:d} frames")
def when_frames(context, count):
    context.caller = Http2Caller(context.late_answers.address)
    context.add_cleanup(context.caller.close)
    context.stream = context.caller.send_in_frames("/later", count)


@then("that caller is answered over HTTP/2, and its next request as well")
def then_both(context):
    assert context.caller.status(context.stream) == OK
    assert context.caller.status(context.caller.send("/")) == OK
