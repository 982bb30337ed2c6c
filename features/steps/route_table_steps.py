"""Steps for route tables that keep the entries of routes that did not change."""

from __future__ import annotations

from behave import given
from hypothesis import given as drawn
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


def changed_by(kind, number, drawn_value):
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


def first_set():
    resources = [changed_by("service", n, 0) for n in range(2)]
    resources += [changed_by("secret", 0, 0), *(changed_by("route", n, n) for n in range(4))]
    return EMPTY_CONFIGURATION.changed((), resources)


def change_of(kind, number, drawn_value):
    """Return what a change puts and what it removes."""
    if kind == "remove":
        return [], [Key.of(versioned(route=route(number, 0)).resource)]
    if kind == "remove tenant":
        return [], [Key.of(changed_by("tenant", number, 0).resource)]
    return [changed_by(kind, number, drawn_value)], []


def advanced(table, configuration: ConfigurationSet, version, *change):
    put, removed = change_of(*change)
    later = configuration.changed(removed, put)
    return later, update_route_table(table, later, version, put, removed)


@given(
    "any changes of routes, services, secrets and tenants, a table built over the former equals "
    "one built anew"
)
def given_any_changes(context):
    @settings(max_examples=200, deadline=None)
    @drawn(CHANGES)
    def check(changes):
        configuration = first_set()
        table = build_route_table(configuration, 1)
        for change in changes:
            configuration, table = advanced(table, configuration, 1, *change)
            anew = build_route_table(configuration, 1)
            assert table.hosts == anew.hosts
            assert table.route_names() == anew.route_names()
            assert table.services() == anew.services()
            assert table.secret_names == anew.secret_names
            assert table.weights == anew.weights
            assert table.routes == anew.routes
            assert table.tenants == anew.tenants
            assert table.ranks == anew.ranks

    check()


@given("a route that did not change keeps its entry")
def given_kept(context):
    configuration = first_set()
    table = build_route_table(configuration, 1)
    former = table.hosts
    _, later = advanced(table, configuration, 2, "route", 1, 3)
    assert table.hosts == former == build_route_table(configuration, 1).hosts
    assert later.routes["r0"].entry is table.routes["r0"].entry
    assert later.routes["r1"].entry != table.routes["r1"].entry
