"""Steps for the operators' service as the official gRPC client sees it."""

import socket
import threading
import time
from pathlib import Path
from unittest import mock

import grpc
import h2.config
import h2.connection
from behave import given, then, when
from google.rpc.error_details_pb2 import BadRequest, ResourceInfo
from grpc_status import rpc_status
from h2.events import StreamEnded
from hyperframe.frame import DataFrame
from operator_client import call, open_channel
from operator_resources import SECRET_VALUE, route, secret, service, tenant
from operator_server import READ_ONLY_TOKEN, OperatorServer

from limelever.cli.error_page import render
from limelever.protocol.config_pb2 import Batch, Resource, Route
from limelever.protocol.keys import parse_key
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    ErrorDetail,
    GetRequest,
    GetResponse,
    StatusRequest,
    StatusResponse,
)
from limelever.source import operator_service

LONG_MARGIN_SECONDS = 10.0
"""Makes the margin a fifth of the call's time, by which a slow machine may hold the call up."""


def serve(context, script=None):
    server = OperatorServer(script)
    context.add_cleanup(server.stop)
    context.server = server
    open_channel(context, server.address)


def apply_request(*put):
    return ApplyRequest(batch=Batch(request_id="abcdefgh@1", put=put))


def details(context, kind):
    found = []
    for packed in rpc_status.from_call(context.error).details:
        message = kind()
        if packed.Unpack(message):
            found.append(message)
    return found


@given("an operators' service over loopback")
def given_service(context):
    serve(context)


@when('the gRPC client applies the service "orders" and the secret "key" and reads them back')
def when_apply_and_read(context):
    request = apply_request(service("orders"), secret("key"))
    context.answer = call(context, "Apply", request, ApplyResponse)
    context.read = call(context, "Get", GetRequest(), GetResponse)


@then("the version is in the answer and the secret's value is nowhere")
def then_no_value(context):
    assert context.answer.version == context.read.version == context.server.log_index
    assert [item.resource.secret.value for item in context.read.resources] == [b"", b""]
    assert SECRET_VALUE not in context.server.state.snapshot().SerializeToString()
    held = context.server.state.get(parse_key("secret/key"))
    opened = context.server.sealer.open_versioned(held)
    assert opened.resource.secret.value == SECRET_VALUE


@when("the gRPC client applies a route to a missing service")
def when_apply_dangling(context):
    assert call(context, "Apply", apply_request(route("bad", "gone")), ApplyResponse) is None


@then('the status is "{status}" of kind "{kind}"')
def then_status(context, status, kind):
    assert context.error.code().name == status, context.error
    assert [detail.kind for detail in details(context, ErrorDetail)] == [kind]


@then('the rich details name the resource "{name}"')
def then_resource_named(context, name):
    (info,) = details(context, ResourceInfo)
    assert f"{info.resource_type}/{info.resource_name}".endswith(name.capitalize()), info


@when('the gRPC client applies the tenant "{name}" with the keys "{keys}" and reads it back')
def when_apply_tenant(context, name, keys):
    call(context, "Apply", apply_request(tenant(name, *keys.split())), ApplyResponse)
    context.read = call(context, "Get", GetRequest(), GetResponse)


@then('the answer holds {count:d} empty digests, and the state those of "{keys}"')
def then_digests(context, count, keys):
    (read,) = context.read.resources
    assert list(read.resource.tenant.key_digests) == [b""] * count
    held = context.server.state.get(parse_key(f"tenant/{read.resource.tenant.name}"))
    assert held.resource == tenant("north", *keys.split())


@when("the gRPC client applies a batch with three malformed fields")
def when_three_malformed(context):
    bad = Route(name="bad", service="UPPER", path_prefix="no-slash", methods=["get"], call_kind=1)
    call(context, "Apply", apply_request(Resource(route=bad)), ApplyResponse)


@when("the gRPC client applies a batch that overlaps in routes and in headers")
def when_overlapping_batch(context):
    routes = [route("one", "orders", prefix="/same"), route("two", "orders", prefix="/same")]
    secrets = [secret("key"), secret("other")]
    batch = apply_request(*routes, route("three", "orders", "key", "other"), *secrets)
    call(context, "Apply", batch, ApplyResponse)


@then('the rich details list the overlaps of "{fields}"')
def then_overlaps_listed(context, fields):
    (bad_request,) = details(context, BadRequest)
    assert [item.field for item in bad_request.field_violations] == fields.split(", ")


@then("the rich details list three fields")
def then_three_fields(context):
    (bad_request,) = details(context, BadRequest)
    fields = [violation.field for violation in bad_request.field_violations]
    assert fields == [f"route/bad.{name}" for name in ("service", "path_prefix", "methods")]


@when("the gRPC client sends {what}")
def when_sends(context, what):
    sound = apply_request(service("orders"))
    requests = {
        "an unknown credential": ("Apply", sound, {"token": "wrong"}),
        "no credential": ("Apply", sound, {"token": None}),
        "a write by a reader": ("Apply", sound, {"token": READ_ONLY_TOKEN}),
        "an unknown method": ("Obey", sound, {}),
        "a compressed message": ("Apply", sound, {"compression": grpc.Compression.Gzip}),
        "a malformed message": ("Apply", b"\xff\xff", {}),
        "an unknown field": ("Apply", sound.SerializeToString() + b"\x50\x01", {}),
        "a message over the limit": ("Apply", b"\0" * (3 << 20), {}),
    }
    method, request, options = requests[what]
    assert call(context, method, request, ApplyResponse, **options) is None


@then("nothing reached the state")
def then_nothing_reached(context):
    assert context.server.applied == 0


@when("the gRPC client's write is not answered in time")
def when_not_in_time(context):
    context.server.script = lambda request: "hang"
    with mock.patch.object(operator_service, "ANSWER_MARGIN_SECONDS", LONG_MARGIN_SECONDS):
        call(context, "Apply", apply_request(service("orders")), ApplyResponse, timeout=3)


@when("the gRPC client applies a batch with {count:d} malformed routes")
def when_many_malformed(context, count):
    routes = [route(f"BAD{index}" + "x" * 300, "orders") for index in range(count)]
    call(context, "Apply", apply_request(*routes), ApplyResponse)


def connect_raw(context):
    """Return a cleartext connection, and the HTTP/2 protocol of a client on it."""
    address = context.server.address
    connection = socket.create_connection((address.host, address.port))
    connection.settimeout(5)
    context.add_cleanup(connection.close)
    client = h2.connection.H2Connection(h2.config.H2Configuration(validate_outbound_headers=False))
    client.initiate_connection()
    return connection, client


@when("a raw HTTP/2 client sends data on a stream that is already answered")
def when_late_data(context):
    call(context, "Get", GetRequest(), GetResponse)
    connection, client = connect_raw(context)
    names = {":method": "CONNECT", ":protocol": "websocket", ":authority": "a", ":path": "/"}
    headers = [*names.items(), (":scheme", "http"), ("sec-websocket-version", "13")]
    client.send_headers(1, headers)
    connection.sendall(client.data_to_send())
    time.sleep(0.3)
    client.send_data(1, b"late")
    connection.sendall(client.data_to_send())
    context.raw_connection, context.raw_client = connection, client


@then("that client's next request is answered on the same connection")
def then_next_answered(context):
    connection, client = context.raw_connection, context.raw_client
    names = {":method": "GET", ":scheme": "http", ":authority": "a", ":path": "/"}
    client.send_headers(3, list(names.items()), end_stream=True)
    connection.sendall(client.data_to_send())
    ended = False
    while not ended:
        data = connection.recv(65536)
        assert data, "the server closed"
        events = client.receive_data(data)
        ended = any(isinstance(each, StreamEnded) and each.stream_id == 3 for each in events)


@when("a raw HTTP/2 client sends data on a stream that was never opened")
def when_unopened_data(context):
    call(context, "Get", GetRequest(), GetResponse)
    connection, client = connect_raw(context)
    connection.sendall(client.data_to_send() + DataFrame(1, b"data").serialize())
    while connection.recv(65536):
        pass


@then("the gRPC client still gets its status")
def then_still_status(context):
    assert call(context, "Status", StatusRequest(), StatusResponse).name == "source-1"


@when("the service is stopped while a call is in flight")
def when_stopped_in_flight(context):
    context.server.script = lambda request: time.sleep(0.5)
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(call(context, "Status", StatusRequest(), StatusResponse))
    )
    caller.start()
    time.sleep(0.2)
    context.server.stop()
    caller.join()
    context.answers = answers


@then("that call is answered and new connections are refused")
def then_answered_then_refused(context):
    assert context.answers[0].name == "source-1"
    try:
        socket.create_connection((context.server.address.host, context.server.address.port))
    except ConnectionRefusedError:
        return
    raise AssertionError("the listener is still open")


@then("docs/ERRORS.md is what the table of errors gives")
def then_errors_page(context):
    page = Path(__file__).resolve().parents[2] / "docs" / "ERRORS.md"
    assert page.read_text() == render()
