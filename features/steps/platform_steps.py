"""Steps for the platform's folder: formats both ways, settings, and kinds of errors."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from hashlib import sha256
from pathlib import Path
from unittest import mock

from behave import given, then
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))

from configuration_format import parse_configuration  # noqa: E402
from control_boot import control_settings  # noqa: E402
from fields import FieldError  # noqa: E402
from http_calls import refused  # noqa: E402
from node_boot import node_settings  # noqa: E402

from limelever.common.errors import ErrorKind, Failure  # noqa: E402
from limelever.common.events import PROCESS_FAILED, SETTING_REPLACED  # noqa: E402
from limelever.protocol.config_pb2 import (  # noqa: E402
    CALL_KIND_ONCE_PER_ATTEMPT,
    CALL_KIND_REPEATABLE,
)
from limelever.source.validation import validate_batch  # noqa: E402

START = Path(__file__).resolve().parents[2] / "platform" / "start.py"
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)
NAMES = st.from_regex(r"[a-z][a-z0-9]{0,8}", fullmatch=True)
KINDS = {
    "safe": CALL_KIND_REPEATABLE,
    "unsafe": CALL_KIND_ONCE_PER_ATTEMPT,
    "upload": CALL_KIND_ONCE_PER_ATTEMPT,
    "download": CALL_KIND_REPEATABLE,
}


def path_route(name="r-one", prefix="/one/", **changes):
    route = {
        "name": name,
        "pathPrefix": prefix,
        "routeType": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 600,
        "priority": 2,
        "service": "alpha",
        "retryAttempts": 2,
    }
    route.update(changes)
    return {key: value for key, value in route.items() if value is not None}


def configuration(routes=None, **changes):
    value = {
        "version": "r7",
        "baseVersion": "r5",
        "services": [{"name": "alpha", "healthPath": "/health", "maxConnections": 130}],
        "limits": {"maxHeaderBytes": 16384},
        "virtualHosts": [{"host": "one.example", "pathRoutes": routes or [path_route()]}],
    }
    value.update(changes)
    return value


def _no_weights(value):
    parts = [{"service": "alpha", "weight": 0}]
    value["virtualHosts"][0]["pathRoutes"] = [path_route(service=None, weightedClusters=parts)]


def _first_route(value):
    return value["virtualHosts"][0]["pathRoutes"][0]


def _tenants(*changes):
    """Return a flaw: tenants that are sound but for the changes."""
    tenants = [{"name": f"tenant{number}", **change} for number, change in enumerate(changes)]
    return lambda value: value.update(tenants=tenants)


FLAWS = {
    "without a version": lambda value: value.pop("version"),
    "of a version that is no number": lambda value: value.update(version="rx"),
    "with an empty host": lambda value: value["virtualHosts"][0].update(host=""),
    "with a route type that is unknown": lambda value: _first_route(value).update(routeType="?"),
    "with a timeout of 0": lambda value: _first_route(value).update(timeoutMs=0),
    "with two routes at one place": lambda value: value["virtualHosts"][0]["pathRoutes"].append(
        path_route("r-two")
    ),
    "with a version not above its base": lambda value: value.update(baseVersion="r7"),
    "with a path that is no path": lambda value: _first_route(value).update(pathPrefix="one"),
    "with all weights 0": _no_weights,
    "with one key at two tenants": _tenants({"apiKeys": ["k1"]}, {"apiKeys": ["k2", "k1"]}),
    "with one key twice at a tenant": _tenants({"apiKeys": ["k1", "k1"]}),
    "with an empty key": _tenants({"apiKeys": [""]}),
    "with a key that has a space": _tenants({"apiKeys": ["bad key"]}),
    "with a key that is no ASCII": _tenants({"apiKeys": ["b\u00e4d"]}),
    "with a key of half a character": _tenants({"apiKeys": ["\ud800"]}),
    "with a key that is a number": _tenants({"apiKeys": [17]}),
    "with keys that are no list": _tenants({"apiKeys": "k1"}),
    "with a tenant's name twice": _tenants({"name": "north"}, {"name": "north"}),
    "with a tenant without a name": _tenants({"name": None}),
    "with a negative rate": _tenants({"ratePerS": -1}),
    "with a rate that is no number": _tenants({"ratePerS": float("nan")}),
    "with a rate that is a text": _tenants({"ratePerS": "many"}),
    "with a burst that is a truth": _tenants({"burst": True}),
    "with tenants that are no list": lambda value: value.update(tenants={"name": "north"}),
    "with a public mark that is a text": lambda value: _first_route(value).update(public="yes"),
}


def flawed(flaw):
    """Return the body of a configuration with one flaw."""
    if flaw == "no object":
        return b"[]"
    value = configuration()
    if flaw == "cut short":
        return json.dumps(value).encode()[:-9]
    FLAWS[flaw](value)
    return json.dumps(value).encode()


@given("any sound configuration of the platform, all of it is in the product's batch")
def given_any_configuration(context):
    routes = st.dictionaries(
        NAMES,
        st.tuples(st.sampled_from(sorted(KINDS)), st.integers(1, 9000), st.integers(1, 99)),
        min_size=1,
        max_size=6,
    )

    @PROPERTY
    @examples(routes, st.integers(1, 10**9), st.integers(0, 4))
    def check(plan, number, priority):
        given_routes = [
            path_route(
                f"r-{name}",
                f"/{name}/",
                routeType=kind,
                timeoutMs=timeout,
                priority=priority,
                service=None,
                weightedClusters=[
                    {"service": "alpha", "weight": weight},
                    {"service": "beta", "weight": 100 - weight},
                ],
            )
            for name, (kind, timeout, weight) in plan.items()
        ]
        services = [{"name": "alpha"}, {"name": "beta"}]
        value = configuration(
            given_routes, version=f"r{number}", baseVersion=f"r{number - 1}", services=services
        )
        body = json.dumps(value).encode()
        batch = parse_configuration(body)
        assert not isinstance(batch, Failure), batch
        assert not validate_batch(batch), validate_batch(batch)
        assert (batch.revision.number, batch.revision.base) == (number, number - 1)
        assert batch.replace and batch.revision.document == body
        held = {item.route.name: item.route for item in batch.put if item.HasField("route")}
        for name, (kind, timeout, weight) in plan.items():
            route = held[f"r-{name}"]
            assert (route.host, route.path_prefix) == ("one.example", f"/{name}/")
            assert route.call_kind == KINDS[kind] and route.timeout_ms == timeout
            assert [part.weight for part in route.split] == [weight, 100 - weight]
            assert (route.priority, route.attempts) == (priority + 1, 2)

    check()


@given("a configuration of the platform with any tenants, all of them are in the product's batch")
def given_any_tenants(context):
    keys = st.from_regex(r"[a-z0-9]{1,24}", fullmatch=True)
    numbers = st.one_of(st.none(), st.integers(0, 9000), st.floats(0, 9000))
    plans = st.lists(
        st.tuples(st.lists(keys, max_size=2, unique=True), numbers, numbers, st.integers(0, 9)),
        max_size=5,
        unique_by=lambda plan: tuple(plan[0]),
    )

    @PROPERTY
    @examples(plans, st.sampled_from([None, False, True]))
    def check(plans, public):
        tenants = [
            {
                "name": f"tenant{number}",
                "apiKeys": [f"{key}.{number}" for key in found],
                "priority": priority,
                **{
                    name: value
                    for name, value in (("ratePerS", rate), ("burst", burst))
                    if value is not None
                },
            }
            for number, (found, rate, burst, priority) in enumerate(plans)
        ]
        value = configuration([path_route(public=public)], tenants=tenants)
        batch = parse_configuration(json.dumps(value).encode())
        assert not isinstance(batch, Failure), batch
        assert not validate_batch(batch), validate_batch(batch)
        (route,) = [item.route for item in batch.put if item.HasField("route")]
        assert route.public is bool(public)
        held = {item.tenant.name: item.tenant for item in batch.put if item.HasField("tenant")}
        assert len(held) == len(tenants)
        for each in tenants:
            found = held[each["name"]]
            digests = [sha256(key.encode()).digest() for key in each["apiKeys"]]
            assert list(found.key_digests) == digests
            assert found.rate_per_s == each.get("ratePerS", 0)
            assert found.burst == each.get("burst", 0)
            assert found.priority == each["priority"] + 1

    check()


@then("no refusal of a configuration with a bad key repeats the key")
def then_key_not_repeated(context):
    for key in ("let me in", "let-me-in\n", "let-m\u00ea-in", "let-me-in" * 100):
        value = configuration(tenants=[{"name": "north", "apiKeys": [key]}])
        failure = parse_configuration(json.dumps(value).encode())
        assert isinstance(failure, Failure) and "let" not in failure.reason, failure


@then(
    "a machine with {strict} revocation within {bound:d} ms lets keys in for {taken:d} ms after "
    "a proof"
)
def then_revoked_after(context, strict, bound, taken):
    fields = {**NODE_FIELDS, "bounds.revokeMs": str(bound)}
    if strict != "no":
        fields["bounds.revokeStrict"] = strict
    assert node_settings(fields).tenants.revoked_after_ms == taken


@then(
    "limits whose quotaOver is {over} and quotaSlack {slack} allow {over_percent:d} percent and "
    "{calls:d} calls more in {window:d} ms"
)
def then_limits_mean(context, over, slack, over_percent, calls, window):
    given_settings(context)
    quota = {"bounds.quotaWindowS": "5", "bounds.quotaOver": over, "bounds.quotaSlack": slack}
    if over == "none":
        quota = {}
    node = node_settings({**context.node_fields, **quota}).limits
    assert (node.over_percent, node.slack, node.window_ms) == (over_percent, calls, window), node
    assert control_settings({**context.control_fields, **quota}).limits == node


@then("fields that place zones in regions give the control process just these zones")
def then_zones(context):
    placed = {"zones.one": "north", "zones.two.b": "south", "zones": "x", "zonesize": "9"}
    found = control_settings({**context.control_fields, **placed}).zones
    assert found == {"one": "north", "two.b": "south"}, found
    assert control_settings(context.control_fields).zones == {}


@then("the platform's configuration that is {flaw} is refused with 400")
def then_configuration_refused(context, flaw):
    batch = parse_configuration(flawed(flaw))
    if isinstance(batch, Failure):
        assert refused(batch).status == 400, batch
    else:
        assert validate_batch(batch), flaw


COMMON = {
    "zone": "one",
    "portRange": "7380,7395",
    "seeds": "10.1.0.1:8144,127.0.0.1:8144,10.3.0.1:8144",
    "firstStart": "true",
    "faultTolerance.machines": "2",
    "bounds.graceS": "6",
    "bounds.contactMs": "3000",
    "bounds.drainMs": "2000",
    "bounds.configApplyMs": "2000",
    "bounds.budgetSlack": "64",
    "limits.linkMbps": "2.35",
}
NODE_FIELDS = {
    **COMMON,
    "nodeName": "sidecar-1",
    "ip": "10.1.0.9",
    "listenAddrs.outbound": "10.1.0.9:8147",
    "service": "alpha",
    "appAddr": "10.1.0.9:8145",
}


@given("the platform's settings of a machine with an instance and of one of the core")
def given_settings(context):
    context.node_fields = dict(NODE_FIELDS)
    context.control_fields = {
        **COMMON,
        "nodeName": "core-1",
        "ip": "10.1.0.1",
        "listenAddrs.control": "10.1.0.1:8144",
        "dataDir": "/data",
    }


@then("the node and the control process find each other's ports")
def then_ports(context):
    node = node_settings(context.node_fields)
    control = control_settings(context.control_fields)
    assert control.relay_listen in node.relays, (control.relay_listen, node.relays)
    assert control.listen in control.seeds and control.bootstrap
    assert control.replication.voters == 5
    assert node.listen.port == 7380 and node.service == "alpha"
    assert node.drain.limit_ms <= node.stop_limit_ms < 6000


@then("no field that is unknown matters")
def then_unknown(context):
    extra = {"something.new": "1,2"}
    known = node_settings(context.node_fields)
    assert node_settings({**context.node_fields, **extra}) == known


NUMBER_FLAWS = {
    "whole": "3000",
    "with fraction": "3030.714285714285715",
    "missing": None,
    "empty": "",
    "no number": "many",
    "below 0": "-1",
    "not finite": "inf",
}
NODE_NUMBERS = (
    "bounds.graceS",
    "bounds.drainMs",
    "bounds.configApplyMs",
    "bounds.budgetSlack",
    "limits.linkMbps",
)
CONTROL_NUMBERS = ("bounds.graceS", "bounds.contactMs")
NODE_NEEDS = ("nodeName", "zone", "ip", "service", "appAddr", "listenAddrs.outbound", "portRange")
CONTROL_NEEDS = (
    "nodeName",
    "zone",
    "ip",
    "dataDir",
    "listenAddrs.control",
    "portRange",
    "faultTolerance.machines",
)


def with_flaw(fields, name, flaw):
    changed = {**fields, name: NUMBER_FLAWS[flaw]}
    return {key: value for key, value in changed.items() if value is not None}


def replaced_settings(build, fields):
    """Return the log events of settings that were replaced while ``build`` read the fields."""
    logged = []
    with mock.patch("fields.write_event", lambda code, values: logged.append((code, values))):
        build(fields)
    return [values for code, values in logged if code == SETTING_REPLACED]


def check_numbers(build, fields, names, flaw, logged):
    for name in names:
        lines = replaced_settings(build, with_flaw(fields, name, flaw))
        assert len(lines) == (1 if logged == "yes" else 0), (name, lines)
        assert all(name in line["problem"] for line in lines), lines


def check_needs(build, fields, names, flaw):
    for name in names:
        try:
            build(with_flaw(fields, name, flaw))
        except FieldError as error:
            assert name in str(error), (name, error)
        else:
            raise AssertionError(f"{name} was not missed")


@then("a node starts and logs it while one of its numbers is {flaw}: {logged}")
def then_node_starts(context, flaw, logged):
    given_settings(context)
    check_numbers(node_settings, context.node_fields, NODE_NUMBERS, flaw, logged)


@then("a control process starts and logs it while one of its numbers is {flaw}: {logged}")
def then_control_starts(context, flaw, logged):
    given_settings(context)
    check_numbers(control_settings, context.control_fields, CONTROL_NUMBERS, flaw, logged)


@then("a node whose needed field is {flaw} says which one")
def then_node_needs(context, flaw):
    given_settings(context)
    check_needs(node_settings, context.node_fields, NODE_NEEDS, flaw)


@then("a control process whose needed field is {flaw} says which one")
def then_control_needs(context, flaw):
    given_settings(context)
    check_needs(control_settings, context.control_fields, CONTROL_NEEDS, flaw)


@then("the program ends with status 1 and a log line that names {field} when it is {value}")
def then_named(context, field, value):
    given_settings(context)
    fields = {**context.control_fields, field: value}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.conf"
        path.write_text("".join(f"{name}={each}\n" for name, each in fields.items()))
        environment = {**os.environ, "LIMELEVER_SETTINGS": str(path)}
        start = [sys.executable, str(START), "control"]
        ended = subprocess.run(start, env=environment, capture_output=True, text=True, timeout=60)
    lines = [json.loads(line) for line in ended.stdout.splitlines()]
    assert ended.returncode == 1, ended
    assert not ended.stderr, ended.stderr
    assert [line["code"] for line in lines] == [PROCESS_FAILED], lines
    assert field in lines[0]["fields"]["reason"], lines


@then("the platform answers {kind} with {status:d}")
def then_status(context, kind, status):
    answer = refused(Failure(ErrorKind(kind), "why"))
    assert answer.status == status, answer


@then("the platform answers not-leader with 307 and the leader's address")
def then_redirected(context):
    failure = Failure(ErrorKind.NOT_LEADER, "another leads", leader_address="127.0.0.1:8144")
    answer = refused(failure)
    assert answer.status == 307
    assert answer.headers == ((b"location", b"http://127.0.0.1:8144/v1/config"),)
