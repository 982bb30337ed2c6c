"""Steps for the admin listener: what it answers, and clients that break its rules."""

from __future__ import annotations

from behave import given, then, when
from http_server import SENDINGS, HttpClient, admin_server
from transport_server import wait_for


def connect(context):
    client = HttpClient(context.admin.address)
    context.add_cleanup(client.close)
    return client


def status_of(context, method, path):
    client = connect(context)
    client.ask(method, path)
    status = client.status()
    client.close()
    return status


def start_admin(context, **options):
    context.admin = admin_server(**options)
    context.add_cleanup(context.admin.stop)


@given("an admin listener")
def given_admin(context):
    start_admin(context)


@given("an admin listener that ends idle connections after {idle:g} seconds")
def given_admin_idle(context, idle):
    start_admin(context, idle_seconds=idle)


@when("an admin client sends {what}")
def when_admin_client_sends(context, what):
    context.client = connect(context)
    SENDINGS[what](context.client)


@when("an admin client says nothing")
def when_admin_client_silent(context):
    context.client = connect(context)


@when("an admin client is answered and keeps its connection")
def when_admin_client_keeps(context):
    context.client = connect(context)
    context.client.ask("GET", "/healthz")
    assert context.client.status() == 200


@when("an admin client asks for /metrics {count:d} times and reads nothing")
def when_admin_client_reads_nothing(context, count):
    context.client = connect(context)
    context.client.socket.setblocking(False)
    request = b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"
    sent = 0
    while sent < count:
        try:
            context.client.socket.send(request)
        except BlockingIOError:
            return
        sent += 1


@when("{count:d} admin clients connect and say nothing")
def when_admin_clients_silent(context, count):
    context.clients = [connect(context) for _ in range(count)]


@when("{count:d} admin clients are each answered and keep their connections")
def when_admin_clients_keep(context, count):
    context.clients = [connect(context) for _ in range(count)]
    for client in context.clients:
        client.ask("GET", "/healthz")
        assert client.status() == 200


@when("{count:d} admin clients, one after the other, are answered and leave")
def when_admin_clients_poll(context, count):
    statuses = [status_of(context, "GET", "/metrics") for _ in range(count)]
    assert statuses == [200] * count, statuses


@when("the admin listener's process is suspended")
def when_admin_suspended(context):
    context.admin.suspend()


@when("{count:d} admin clients ask and leave")
def when_admin_clients_ask_and_leave(context, count):
    for _ in range(count):
        client = connect(context)
        client.ask("GET", "/metrics")
        client.close()


@when("{count:d} admin clients say nothing and leave")
def when_admin_clients_connect_and_leave(context, count):
    for _ in range(count):
        connect(context).close()


@when("the admin listener's process is resumed")
def when_admin_resumed(context):
    context.admin.resume()


@when("the admin clients leave")
def when_admin_clients_leave(context):
    for client in context.clients:
        client.close()


@then("the admin listener ends that client's connection")
def then_admin_ends(context):
    context.client.wait_closed()


@then("the admin listener answers {method} {path} with {status:d}")
def then_admin_answers(context, method, path, status):
    assert status_of(context, method, path) == status


@then("the admin listener answers /healthz with 200")
def then_admin_healthy(context):
    assert status_of(context, "GET", "/healthz") == 200


@then("the admin listener logs {code:d}")
def then_admin_logs(context, code):
    assert wait_for(lambda: context.admin.log.of(code)), code


@then("the admin listener has not logged {code:d}")
def then_admin_not_logged(context, code):
    assert not context.admin.log.of(code), context.admin.log.of(code)


@then("the admin listener holds {limit:d} connections at most")
def then_admin_holds(context, limit):
    def held():
        return sum(not client.is_closed_by_server() for client in context.clients)

    assert wait_for(lambda: held() <= limit), held()


@then("the admin listener stops")
def then_admin_stops(context):
    context.admin.stop()
