"""Many HTTP/2 clients of an interface that a process serves beside its own, with large bodies."""

from __future__ import annotations

from behave import given, then, when
from http2_caller import Http2Caller
from transport_server import wait_for
from upgrade_offer_steps import serve_interface

MEBIBYTE = 1 << 20
SERVED = 200


@given("an interface of a process that reads each body whole")
def given_reading_interface(context):
    async def application(scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        await send({"type": "http.response.start", "status": SERVED, "headers": []})
        await send({"type": "http.response.body", "body": body})

    serve_interface(context, application)


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
