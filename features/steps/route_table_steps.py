"""Steps for incremental updates of route tables."""

from __future__ import annotations

from behave import given
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Secret,
    Service,
    Tenant,
    VersionedResource,
)
from limelever.protocol.keys import Key
from limelever.proxy.route_table_builder import build_route_table, update_route_table
from limelever.subscriber.configuration import EMPTY_CONFIGURATION, ConfigurationSet

SERVICES = ("orders", "baskets")
NAMES = st.integers(0, 4)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("route"), NAMES, st.integers(0, 3)),
        st.tuples(st.just("service"), st.integers(0, 1), st.integers(0, 3)),
        st.tuples(st.just("secret"), st.just(0), st.integers(0, 3)),
        st.tuples(st.just("tenant"), st.integers(0, 1), st.integers(0, 3)),
        st.tuples(st.just("remove"), NAMES, st.just(0)),
        st.tuples(st.just("remove tenant"), st.integers(0, 1), st.just(0)),
    ),
    max_size=12,
)


def versioned(**body):
    return VersionedResource(version=1, resource=Resource(**body))


def route(number, drawn_value):
    return Route(
        name=f"r{number}",
        host="one.example" if drawn_value % 2 else "",
        path_prefix=f"/{drawn_value}/",
        service=SERVICES[drawn_value % 2],
        call_kind=CALL_KIND_REPEATABLE,
        timeout_ms=100 + drawn_value,
        secrets=["key"] if drawn_value == 3 else [],
        priority=drawn_value,
    )


def resource_of(kind, number, drawn_value):
    if kind == "route":
        return versioned(route=route(number, drawn_value))
    if kind == "service":
        service = Service(name=SERVICES[number], max_body_bytes=drawn_value)
        return versioned(service=service)
    if kind == "tenant":
        digests = [bytes([number, drawn_value]) * 16]
        return versioned(
            tenant=Tenant(name=f"t{number}", key_digests=digests, priority=drawn_value)
        )
    return versioned(secret=Secret(name="key", header="x-key", value=b"%d" % drawn_value))


def initial_configuration():
    resources = [resource_of("service", n, 0) for n in range(2)]
    resources += [resource_of("secret", 0, 0), *(resource_of("route", n, n) for n in range(4))]
    return EMPTY_CONFIGURATION.changed((), resources)


def put_and_removed(kind, number, drawn_value):
    """Return the resources that a change puts and the keys that it removes."""
    if kind == "remove":
        return [], [Key.of(versioned(route=route(number, 0)).resource)]
    if kind == "remove tenant":
        return [], [Key.of(resource_of("tenant", number, 0).resource)]
    return [resource_of(kind, number, drawn_value)], []


def updated(table, configuration: ConfigurationSet, version, *change):
    put, removed = put_and_removed(*change)
    later = configuration.changed(removed, put)
    return later, update_route_table(table, later, version, put, removed)


@given(
    "any changes of routes, services, secrets and tenants, an updated table equals a rebuilt one"
)
def given_any_changes(context):
    @settings(max_examples=200, deadline=None)
    @examples(CHANGES)
    def check(changes):
        configuration = initial_configuration()
        table = build_route_table(configuration, 1)
        for change in changes:
            configuration, table = updated(table, configuration, 1, *change)
            rebuilt = build_route_table(configuration, 1)
            assert table.hosts == rebuilt.hosts
            assert table.route_names() == rebuilt.route_names()
            assert table.services() == rebuilt.services()
            assert table.secret_names == rebuilt.secret_names
            assert table.weights == rebuilt.weights
            assert table.routes == rebuilt.routes
            assert table.tenants == rebuilt.tenants
            assert table.ranks == rebuilt.ranks

    check()


@given("a route that did not change keeps its entry")
def given_kept(context):
    configuration = initial_configuration()
    table = build_route_table(configuration, 1)
    hosts_before = table.hosts
    _, later = updated(table, configuration, 2, "route", 1, 3)
    assert table.hosts == hosts_before == build_route_table(configuration, 1).hosts
    assert later.routes["r0"].entry is table.routes["r0"].entry
    assert later.routes["r1"].entry != table.routes["r1"].entry
