import random
import socket
import threading
import time
from pathlib import Path

import grpc
import h2.config
import h2.connection
from behave import given, then, when
from google.rpc.error_details_pb2 import BadRequest, ResourceInfo
from grpc_status import rpc_status
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from operator_client import call, open_channel
from operator_server import READ_ONLY_TOKEN, OperatorServer

from limelever.cli.error_page import render
from limelever.common.errors import Failure, Outcome
from limelever.protocol.config_pb2 import Batch, Resource, Route, Secret, Service, Share
from limelever.protocol.keys import Key, parse_key, references_of
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    ErrorDetail,
    GetRequest,
    GetResponse,
    StatusRequest,
    StatusResponse,
)
from limelever.source.at_rest import SecretSealer
from limelever.source.state import CURRENT_RULES, StateMachine

SECRET_VALUE = b"hush-hush-value"
RECORD_LIMIT = 5


def service(name):
    return Resource(service=Service(name=name))


def route(name, to, *secrets, prefix=None, methods=()):
    body = Route(name=name, service=to, path_prefix=prefix or f"/{name}", call_kind=1)
    body.secrets.extend(secrets)
    body.methods.extend(methods)
    return Resource(route=body)


def share(to, group, weight=1):
    return Resource(share=Share(service=to, group=group, weight=weight))


def secret(name, value=SECRET_VALUE, header="X-Key"):
    return Resource(secret=Secret(name=name, header=header, value=value))


def key_message(text):
    return parse_key(text).to_message()


class Log:
    """Applies batches at rising log indices, with fresh request ids unless told otherwise."""

    def __init__(self, state):
        self.state, self.index, self.drawn = state, 10, 0

    def fresh_id(self):
        self.drawn += 1
        return f"request-{self.drawn}@{self.index}"

    def apply(self, put=(), delete=(), request_id=None, expected=None, rules=CURRENT_RULES):
        batch = Batch(put=put, delete=[key_message(text) for text in delete])
        batch.request_id = request_id or self.fresh_id()
        if expected is not None:
            batch.expected_version = expected
        self.index += 1
        self.outcome = self.state.apply(self.index, batch, rules)
        return self.outcome


@given('a state machine with the service "orders", the secret "key" and the route "orders" to both')
def given_state_machine(context):
    context.log = Log(StateMachine(RECORD_LIMIT))
    context.base = [service("orders"), secret("key"), route("orders", "orders", "key")]
    assert context.log.apply(context.base).applied is not None
    context.before = context.log.state.snapshot().resources


@when('a sound batch puts the service "{name}"')
def when_put_service(context, name):
    context.log.apply([service(name)])


@then("the batch is accepted in its own version")
def then_accepted(context):
    answer = context.log.outcome.answer
    assert answer.version == context.log.index == context.log.state.version, answer
    assert context.log.outcome.applied.version == context.log.index


@when('a batch puts the new service "{name}" and a route to the missing service "{missing}"')
def when_put_dangling_service(context, name, missing):
    context.log.apply([service(name), route("bad", missing)])


@when('a batch puts a route to the missing secret "{missing}"')
def when_put_dangling_secret(context, missing):
    context.log.apply([route("bad", "orders", missing)])


@when('a batch puts a share of the missing service "{missing}"')
def when_put_dangling_share(context, missing):
    context.log.apply([share(missing, "stores")])


@when('a batch deletes "{keys}"')
def when_batch_deletes(context, keys):
    context.log.apply(delete=keys.split(", "))


@then('the batch is refused as "{kind}" naming "{names}"')
@then('the batch is refused as "{kind}" naming nothing')
def then_batch_refused(context, kind, names=None):
    failure = context.log.outcome.answer
    assert isinstance(failure, Failure), failure
    named = tuple(names.split(", ")) if names else ()
    assert (failure.kind.value, failure.resources) == (kind, named), failure
    assert context.log.outcome.applied is None
    if kind == "conflict":
        assert failure.current_version == context.log.state.version


@when('a batch puts the route "{name}" at "{prefix}" for "{methods}"')
def when_put_route_at(context, name, prefix, methods):
    chosen = () if methods == "any" else methods.split()
    context.log.apply([route(name, "orders", prefix=prefix, methods=chosen)])


@when('a batch moves the route "{name}" away and puts another one in its place')
def when_move_route(context, name):
    context.log.apply([route("next", "orders", prefix="/orders"), route(name, name, prefix="/old")])


@when('a batch puts the secret "{name}" with the header "{header}"')
def when_put_secret_header(context, name, header):
    context.log.apply([secret(name, header=header)])


@when('a batch puts the route "{name}" with the secrets "{secrets}"')
def when_put_route_secrets(context, name, secrets):
    context.log.apply([route(name, "orders", *secrets.split())])


@when("an entry from before the rule on overlaps puts a route that takes another's calls")
def when_old_rules(context):
    context.log.apply([route("other", "orders", prefix="/orders")], rules=0)


@then("the state is unchanged")
def then_state_unchanged(context):
    assert context.log.state.snapshot().resources == context.before


@when("two batches expect the current version")
def when_two_expect(context):
    current = context.log.state.version
    context.first = context.log.apply([service("one")], expected=current)
    context.second = context.log.apply([service("two")], expected=current)


@then("the first is accepted and the second is a conflict with the version of the first")
def then_one_wins(context):
    failure = context.second.answer
    assert failure.kind.value == "conflict"
    assert failure.current_version == context.first.answer.version


@when("the batch of the background is sent under a new request id")
def when_no_change(context):
    context.log.apply(context.base)


@then("the batch is accepted without a new version")
def then_no_new_version(context):
    outcome, state = context.log.outcome, context.log.state
    assert outcome.applied is None
    assert outcome.answer.version == state.version < context.log.index


@when("a batch is sent twice under one request id")
def when_sent_twice(context):
    context.log.apply([service("doomed"), service("last")])
    batch = {
        "put": [service("one"), service("orders")],
        "delete": ["service/last", "service/doomed"],
        "request_id": context.log.fresh_id(),
    }
    context.first = context.log.apply(**batch)
    context.log.apply(delete=["service/one"])
    context.second = context.log.apply(**batch)


@then("the second answer is the first one with its changes, marked as repeated")
def then_first_answer(context):
    assert context.second.applied is None and context.second.answer.repeated_answer
    assert context.second.answer.version == context.first.answer.version
    assert len(context.first.answer.changes) == 4, context.first
    assert list(context.second.answer.changes) == list(context.first.answer.changes)
    assert context.log.state.get(parse_key("service/one")) is None


@when("a batch that was refused is resent after its cause is gone")
def when_refused_resent(context):
    request_id = context.log.fresh_id()
    context.log.apply([route("late", "gone")], request_id=request_id)
    context.log.apply([service("gone")])
    context.log.apply([route("late", "gone")], request_id=request_id)


@when("a request id comes back with other content")
def when_other_content(context):
    request_id = context.log.fresh_id()
    context.log.apply([service("one")], request_id=request_id)
    context.log.apply([service("two")], request_id=request_id)


@when("a batch with a secret ran and is resent after the sealing key was changed")
def when_resealed(context):
    request_id = context.log.fresh_id()
    for keys in ([b"o" * 32], [b"n" * 32, b"o" * 32]):
        batch = SecretSealer(keys).seal_batch(Batch(put=[secret("till", header="x-till")]))
        outcome = context.log.apply(batch.put, request_id=request_id)
        context.first = getattr(context, "first", outcome)
    assert context.first.applied is not None


@when("a batch has a request id from beyond the log")
def when_from_beyond(context):
    for _ in range(RECORD_LIMIT + 1):
        context.log.apply([service("one")], request_id=f"beyond-it@{context.log.index + 100}")
    assert context.log.state.snapshot().removed_requests_through == 0


@when("as many requests as are kept follow a batch that ran and then it is resent")
def when_past_the_bound(context):
    request_id = context.log.fresh_id()
    assert context.log.apply([service("one")], request_id=request_id).applied is not None
    for _ in range(RECORD_LIMIT):
        context.log.apply(delete=["route/none"])
    context.log.apply([service("one")], request_id=request_id)


@then("the refusal does not say that the request was not run")
def then_outcome_unknown(context):
    assert context.log.outcome.answer.outcome is Outcome.UNKNOWN


@then("a fresh request is accepted")
def then_fresh_accepted(context):
    assert context.log.apply([service("fresh")]).applied is not None


NAMES = strategies.sampled_from(["a", "b", "c"])
HEADERS = strategies.sampled_from(["X-Key", "x-key", "x-other"])
PREFIXES = strategies.sampled_from(["/a", "/b"])
METHODS = strategies.sampled_from([(), ("GET",), ("POST",), ("GET", "PUT")])
PUTS = strategies.one_of(
    NAMES.map(service),
    strategies.builds(share, NAMES, NAMES, strategies.integers(1, 3)),
    strategies.builds(secret, NAMES, strategies.sampled_from([b"x", b"y"]), header=HEADERS),
    strategies.builds(route, NAMES, NAMES, NAMES, NAMES, prefix=PREFIXES, methods=METHODS),
)
BASE = [
    *(service(name) for name in "abc"),
    *(secret(name, header=f"x-{name}") for name in "abc"),
]
"""Where random batches begin: without it most are refused for what they refer to."""
DELETES = strategies.builds("{}/{}".format, strategies.sampled_from(["service", "secret"]), NAMES)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.lists(PUTS, max_size=4),
        strategies.lists(DELETES | NAMES.map("route/{}".format), max_size=2),
        strategies.sampled_from(["fresh", "resend"]),
    ),
    max_size=25,
)


@when("replicas apply random batches, one of them from snapshots")
def when_random_batches(context):
    hypothesis_settings(max_examples=150, derandomize=True, deadline=None)(random_batches)()


@hypothesis_given(STEPS, strategies.integers(0, 1 << 16))
def random_batches(steps, seed):
    chance = random.Random(seed)
    log, replica = Log(StateMachine(RECORD_LIMIT)), StateMachine(RECORD_LIMIT)
    sent, ran = [], set()
    check_one(log, replica, Batch(request_id=log.fresh_id(), put=BASE), ran)
    for put, delete, how in steps:
        if how == "resend" and sent:
            batch = chance.choice(sent)
        else:
            keys = [key_message(text) for text in delete]
            batch = Batch(request_id=log.fresh_id(), put=put, delete=keys)
            sent.append(batch)
        check_one(log, replica, batch, ran)
        if chance.random() < 0.3:
            snapshot = replica.snapshot()
            replica = StateMachine(RECORD_LIMIT)
            replica.restore(snapshot)


def check_one(log, replica, batch, ran):
    log.index += 1
    version = log.state.version
    outcome = log.state.apply(log.index, batch)
    assert replica.apply(log.index, batch) == outcome
    assert replica.snapshot() == log.state.snapshot()
    assert log.state.version == (outcome.applied.version if outcome.applied else version)
    if outcome.applied:
        assert batch.request_id not in ran, "a request id ran twice"
        ran.add(batch.request_id)
    held = {Key.of(item.resource): item.resource for item in log.state.resources()}
    assert all(references_of(resource) <= held.keys() for resource in held.values())
    check_no_overlap(held)


def check_no_overlap(held):
    taken = set()
    for resource in held.values():
        if not resource.HasField("route"):
            continue
        body = resource.route
        calls = {(body.path_prefix, method) for method in body.methods or ("GET", "POST", "PUT")}
        assert taken.isdisjoint(calls), "a call has two routes"
        taken |= calls
        names = set(body.secrets)
        headers = {held[parse_key(f"secret/{name}")].secret.header.lower() for name in names}
        assert len(headers) == len(names), "a header has two secrets"


@then("no reference dangles, nothing overlaps, no version goes back and the replicas are equal")
def then_all_whole(context):
    """The property asserted it for each batch."""


@when("a secret value is sealed")
def when_sealed(context):
    context.sealed = SecretSealer([b"o" * 32]).seal("key", SECRET_VALUE)


@then("it opens under its name with an older key and fails under another name or damaged")
def then_opens(context):
    sealer = SecretSealer([b"n" * 32, b"o" * 32])
    assert SECRET_VALUE not in context.sealed
    assert sealer.open("key", context.sealed) == SECRET_VALUE
    damaged = context.sealed[:-1] + bytes([context.sealed[-1] ^ 1])
    for name, sealed in (("other", context.sealed), ("key", damaged), ("key", b"")):
        failure = sealer.open(name, sealed)
        assert isinstance(failure, Failure) and failure.kind.value == "data-damaged"


# --- the service over loopback ---------------------------------------------------------------


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
    call(context, "Apply", apply_request(service("orders")), ApplyResponse, timeout=1)


@when("the gRPC client applies a batch with {count:d} malformed routes")
def when_many_malformed(context, count):
    routes = [route(f"BAD{index}" + "x" * 300, "orders") for index in range(count)]
    call(context, "Apply", apply_request(*routes), ApplyResponse)


@when("a raw HTTP/2 client sends data on a stream that is already answered")
def when_late_data(context):
    call(context, "Get", GetRequest(), GetResponse)
    config = h2.config.H2Configuration(validate_outbound_headers=False)
    client = h2.connection.H2Connection(config)
    client.initiate_connection()
    names = {":method": "CONNECT", ":protocol": "websocket", ":authority": "a", ":path": "/"}
    headers = [*names.items(), (":scheme", "http"), ("sec-websocket-version", "13")]
    with socket.create_connection((context.server.address.host, context.server.address.port)) as s:
        client.send_headers(1, headers)
        s.sendall(client.data_to_send())
        time.sleep(0.3)
        client.send_data(1, b"late")
        s.sendall(client.data_to_send())
        s.settimeout(5)
        while s.recv(65536):
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
