"""Many clients of an interface that a process serves beside its own, with large bodies."""

from __future__ import annotations

import socket
import time

from behave import given, then, when
from http_server import HttpClient
from transport_edge_steps import connect as connect_caller
from transport_server import wait_for
from upgrade_offer_steps import serve_interface

MEBIBYTE = 1 << 20
REFUSED, SERVED = 503, 200
LOOK_SECONDS = 0.5
SEND_PAUSE_SECONDS = 0.05


@given("an interface of a process that returns {size:d} MiB for a request without a body")
def given_large_interface(context, size):
    async def application(scope, receive, send):
        message = await receive()
        body = message["body"] or bytes(size * MEBIBYTE)
        await send({"type": "http.response.start", "status": SERVED, "headers": []})
        await send({"type": "http.response.body", "body": body})

    serve_interface(context, application)


def connect(context, count):
    context.clients = [HttpClient(context.interface.address) for _ in range(count)]
    for client in context.clients:
        context.add_cleanup(client.close)


@when("{count:d} clients of that interface each send 1 MiB of a body of 2 MiB")
def when_bodies(context, count):
    connect(context, count)
    for client in context.clients:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (2 * MEBIBYTE)
        client.send(head + bytes(MEBIBYTE))


@then("some of them are refused with {status:d}")
def then_some_refused(context, status):
    refused = 0
    for client in context.clients:
        client.socket.settimeout(LOOK_SECONDS / len(context.clients))
        try:
            refused += client.status() == status
        except TimeoutError:
            continue
    assert 0 < refused < len(context.clients), refused


@when("{count:d} clients of that interface ask, and read nothing")
def when_asked(context, count):
    connect(context, count)
    for client in context.clients:
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.ask("GET", "/")


@when("a caller sends a body over the limit for {seconds:g} seconds, and then reads")
def when_sends_on(context, seconds):
    context.caller = connect_caller(context)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (64 * MEBIBYTE)
    context.caller.send(head)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.caller.socket.sendall(bytes(MEBIBYTE // 4))
        time.sleep(SEND_PAUSE_SECONDS)


def status_of_another(context):
    client = HttpClient(context.interface.address)
    try:
        client.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
        return client.status()
    finally:
        client.close()


@then("another client is refused with {status:d}")
def then_another_refused(context, status):
    assert wait_for(lambda: status_of_another(context) == status)


@then("that interface serves another client once these have left")
def then_served(context):
    for client in context.clients:
        client.close()
    assert wait_for(lambda: status_of_another(context) == SERVED)
