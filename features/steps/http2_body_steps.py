"""Many HTTP/2 clients of an interface that a process serves beside its own, with large bodies."""

from __future__ import annotations

from functools import partial
from unittest import mock

from behave import given, then, when
from http2_caller import Http2Caller
from transport_server import wait_for
from upgrade_offer_steps import serve_interface

from limelever.transport.http_limits import HttpLimits

MEBIBYTE = 1 << 20
SERVED = 200


@given("an interface of a process that reads each body whole")
def given_reading_interface(context):
    context.run = 0

    async def application(scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        context.run += 1
        await send({"type": "http.response.start", "status": SERVED, "headers": []})
        await send({"type": "http.response.body", "body": body})

    serve_interface(context, application)


@given(
    "an interface with {count:d} connections over HTTP/2"
    " whose clients have {seconds:g} seconds to send a body"
)
def given_short_of_time(context, count, seconds):
    limits = partial(HttpLimits, body=seconds)
    for name, value in (("http_guard.HTTP2_CONNECTIONS", count), ("gateway.HttpLimits", limits)):
        patch = mock.patch(f"limelever.transport.{name}", value)
        patch.start()
        context.add_cleanup(patch.stop)
    given_reading_interface(context)


def connect(context, count):
    context.clients = [Http2Caller(context.interface.address) for _ in range(count)]
    for client in context.clients:
        context.add_cleanup(client.close)


@when(
    "{count:d} clients over HTTP/2 of that interface each send {size:d} MiB of a body without end"
)
def when_bodies(context, count, size):
    connect(context, count)
    for client in context.clients:
        client.begin_upload(size * MEBIBYTE)


@then("one of them is refused with {status:d} over HTTP/2")
def then_refused(context, status):
    statuses = [each for client in context.clients for each in client.statuses.values()]
    assert set(statuses) == {status}, statuses


@when("{count:d} clients over HTTP/2 of that interface each begin a body that does not end")
def when_unended(context, count):
    connect(context, count)
    context.streams = [client.announce(MEBIBYTE) for client in context.clients]
    for client, stream in zip(context.clients, context.streams, strict=True):
        client.send_body(stream, 1)


@then("each of them is refused with {status:d} over HTTP/2, and none was run")
def then_each_refused(context, status):
    for client, stream in zip(context.clients, context.streams, strict=True):
        assert client.status(stream) == status
    assert context.run == 0, context.run


@then("another client over HTTP/2 of that interface is served")
def then_another_served(context):
    found = status_of_another(context)
    assert found == SERVED, found


@when("{count:d} clients over HTTP/2 of that interface ask, and read nothing")
def when_asked(context, count):
    connect(context, count)
    for client in context.clients:
        client.send("/")


@then("another client over HTTP/2 is refused with {status:d}")
def then_another_refused(context, status):
    assert wait_for(lambda: status_of_another(context) == status)


def status_of_another(context):
    client = Http2Caller(context.interface.address)
    try:
        return client.status(client.send("/", b"x"))
    finally:
        client.close()
