"""Steps for tenants at the proxy and the agent: API keys, revocation, ranks, logs."""

from __future__ import annotations

import re

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from tenant_proxy import NAMES, TenantProxy, route, tenant, versioned

from limelever.agent.headers import request_headers
from limelever.agent.interface import StartAttempt
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address, Role
from limelever.common.settings import HeaderSettings
from limelever.node.settings import NodeSettings
from limelever.protocol.config_pb2 import Service
from limelever.protocol.keys import Key
from limelever.protocol.tenant_keys import digest_of
from limelever.proxy import events
from limelever.proxy.answer_rendering import CHALLENGE_HEADER, render_answer
from limelever.proxy.api_key_auth import ApiKeyHeader, authenticate
from limelever.proxy.process import core_settings
from limelever.proxy.ranks import NO_RANK, Ranks
from limelever.proxy.route_table_builder import build_route_table, update_route_table
from limelever.proxy.settings import (
    REVOCATION_CLASH,
    ConfigurationSettings,
    EdgeSettings,
    ProxySettings,
    TenantSettings,
    revocation_exceeds_probe_interval,
)
from limelever.proxy.tenants import NO_TENANTS, advance_tenant_table
from limelever.subscriber.configuration import EMPTY_CONFIGURATION

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)
KEYS = ("north-key", "south-key", "lost-key")
TENANTS = (tenant("north", "north-key", priority=1), tenant("south", "south-key", priority=2))
QUOTED = re.compile(r'"([^"]*)"')
LONG_KEY = b"Token " + b"k" * 100_000


@given('a proxy whose configuration has the tenants "north" and "south", confirmed as current')
def given_proxy(context):
    context.proxy = TenantProxy(TENANTS)


@given('a proxy whose configuration has the tenants "north" and "south", not yet confirmed')
def given_unconfirmed(context):
    context.proxy = TenantProxy(TENANTS, confirmed=False)
    context.confirmed = False


@given(
    'a proxy whose configuration has a limit of 1 call for the tenant "north", confirmed as current'
)
def given_limit(context):
    context.proxy = TenantProxy((tenant("north", "north-key", rate_per_s=1, burst=1),))


@when('a caller sends {credentials} to the route "{route_name}" {count:d} times')
def when_sends_often(context, credentials, route_name, count):
    for _ in range(count):
        context.proxy.call(route_name, headers_of(credentials))


@then('the last call is refused as "{kind}", and its log line names the tenant "{name}"')
@then('the last call is refused as "{kind}", and its log line names no tenant')
def then_refused_in_log(context, kind, name=None):
    failure = the_refusal(context.proxy)
    line = [each for each in context.proxy.logs if each.code == events.CALL_FAILED][-1]
    assert failure.kind is ErrorKind(kind) and line.fields["kind"] == kind, failure
    assert line.fields.get("tenant") == name, line.fields


@given("a proxy whose configuration has no tenants, confirmed as current")
def given_no_tenants(context):
    context.proxy = TenantProxy(())


@given("the proxy has a revocation bound of {bound:g} seconds")
def given_bound(context, bound):
    confirmed = getattr(context, "confirmed", True)
    context.proxy = TenantProxy(TENANTS, revoked_after=bound, confirmed=confirmed)


@when("{age:g} seconds pass without a confirmation")
def when_unconfirmed_for(context, age):
    context.proxy.now += age


@when('a caller sends {credentials} and the tenant "{name}" to the route "{route_name}"')
def when_sends_tenant_too(context, credentials, name, route_name):
    headers = [*headers_of(credentials), (NAMES.tenant, name.encode())]
    context.proxy.call(route_name, tuple(headers))


@when('a caller sends {credentials} to the route "{route_name}"')
def when_sends(context, credentials, route_name):
    context.proxy.call(route_name, headers_of(credentials))


def headers_of(credentials):
    if credentials == "a key of 100000 bytes":
        return ((NAMES.authorization, LONG_KEY),)
    return tuple((NAMES.authorization, value.encode()) for value in QUOTED.findall(credentials))


@then('the call goes to the back end for "{name}"')
@then('the call goes to the back end for ""')
def then_goes(context, name=""):
    assert not context.proxy.answers, context.proxy.answers
    assert [start.tenant for start in context.proxy.starts] == [name]


@then('the call is refused as "{kind}": {reason}')
def then_refused(context, kind, reason):
    failure = the_refusal(context.proxy)
    assert (failure.kind, failure.reason) == (ErrorKind(kind), reason), failure


@then('the call is refused as "{kind}" with a retry time')
def then_refused_with_retry_time(context, kind):
    failure = the_refusal(context.proxy)
    assert failure.kind is ErrorKind(kind) and failure.retry_after > 0, failure


def the_refusal(proxy):
    assert not proxy.starts
    (answered,) = proxy.answers
    assert isinstance(answered.answer, Failure)
    return answered.answer


@then("the back end gets neither a key nor a tenant from the caller")
def then_no_key(context):
    names = {header.name for start in context.proxy.starts for header in start.headers}
    assert not names & {NAMES.authorization, NAMES.tenant}, names


@then('the back end gets the header "{value}"')
def then_header(context, value):
    (start,) = context.proxy.starts
    found = [header.value for header in start.headers if header.name == NAMES.authorization]
    assert found == [value.encode()], found


@given("any bytes in the key header, the result is a tenant or a refusal that does not repeat them")
def given_any_header(context):
    table = advance_tenant_table(NO_TENANTS, TENANTS, ())
    header = ApiKeyHeader(NAMES.authorization, NAMES.key_scheme)
    header_values = st.one_of(
        st.binary(max_size=40),
        st.from_regex(rb"(?i)token[ \t]*[\x20-\x7e]{0,12}", fullmatch=True),
        st.sampled_from([f"Token {key}".encode() for key in KEYS]),
    )

    @PROPERTY
    @examples(st.lists(header_values, max_size=3))
    def check(values):
        found = authenticate(tuple((header.name, value) for value in values), header, table)
        if not isinstance(found, Failure):
            (value,) = values
            assert value.split()[1].decode() == f"{found.name}-key"
            return
        assert found.kind is ErrorKind.UNAUTHENTICATED
        assert not any(len(v) > 4 and v.decode("latin-1") in found.reason for v in values)

    check()


@given('a key header "{name}" without a scheme')
def given_plain_header(context, name):
    context.key_header = ApiKeyHeader(name.encode(), b"")


@then('the header "{value}" is the key of "{name}"')
def then_key_of(context, value, name):
    table = advance_tenant_table(NO_TENANTS, TENANTS, ())
    headers = ((context.key_header.name, value.encode()),)
    assert authenticate(headers, context.key_header, table).name == name


@when('the keys of "{name}" are replaced by "{keys}"')
def when_keys(context, name, keys):
    context.proxy.change([tenant(name, *keys.split(", "), priority=1)])


@when('"{key}" moves from "{former}" to "{later}"')
def when_moves(context, key, former, later):
    context.proxy.change([tenant(later, f"{later}-key", key, priority=2), tenant(former)])


@when('the tenant "{name}" is deleted')
def when_deleted(context, name):
    context.proxy.change([], [name])


@given("{routes:d} routes beside {tenants:d} tenants with two keys each")
def given_many(context, routes, tenants):
    put = [versioned(service=Service(name="orders"))]
    put += [route(f"r{number}", priority=number % 4) for number in range(routes)]
    put += [tenant(f"t{number}", f"a{number}", f"b{number}") for number in range(tenants)]
    context.configuration = EMPTY_CONFIGURATION.changed((), put)
    context.route_table = build_route_table(context.configuration, 1)


def advanced(context, put):
    later = context.configuration.changed((), [put])
    table = update_route_table(context.route_table, later, 2, [put], ())
    assert table.routes == build_route_table(later, 2).routes
    assert table.tenants == build_route_table(later, 2).tenants
    return table


@then("a new key of one tenant leaves all route entries unchanged")
def then_routes_stay(context):
    table = advanced(context, tenant("t7", "a7", "c7"))
    assert set(table.tenants.by_digest) != set(context.route_table.tenants.by_digest)
    for name, built in context.route_table.routes.items():
        assert table.routes[name] is built


@then("a new route leaves the tenant table unchanged")
def then_tenants_stay(context):
    assert advanced(context, route("new")).tenants is context.route_table.tenants


PRIORITIES = st.lists(st.integers(1, 9), min_size=1, max_size=5)


@given("any priorities of routes and tenants, calls are ranked by tenant and then by route")
def given_any_priorities(context):
    @PROPERTY
    @examples(PRIORITIES, PRIORITIES)
    def check(routes, tenants):
        ranks = Ranks.of(max(routes), tenants)
        calls = [(t, r) for t in tenants for r in routes]
        in_order = sorted(calls)
        by_rank = sorted(calls, key=lambda call: ranks.rank(call[1], call[0]))
        if len(set(tenants)) > 1:
            assert by_rank == in_order
            unranked = {t: ranks.rank(NO_RANK, t) for t in tenants}
            for t, r in calls:
                assert ranks.rank(r, t) < unranked[t]
                assert all(unranked[t] < ranks.rank(r, later) for later in tenants if later > t)

    check()


@given("tenants of equal priority do not change the ranks of routes")
def given_one_priority(context):
    ranks = Ranks.of(5, [3, 3])
    assert [ranks.rank(route_priority, 3) for route_priority in range(6)] == list(range(6))


@given("a call without a tenant has its route's rank")
def given_no_tenant_rank(context):
    ranks = Ranks.of(5, [1, 2])
    assert [ranks.rank(route_priority, 0) for route_priority in range(6)] == list(range(6))


@then('the call\'s group is "{group}"')
def then_group(context, group):
    assert [start.group for start in context.proxy.starts] == [group]


def headers_at_back_end(name, headers):
    attempt = StartAttempt(1, "orders", b"GET", b"/", headers, b"", 1.0, tenant=name)
    return request_headers(attempt, b"127.0.0.1:1", 1000, NAMES, b"")


@given('a call for "{name}" whose headers name the tenant "{other}"')
def given_forged(context, name, other):
    context.forged = ((NAMES.tenant.upper(), other.encode()),)
    context.headers = headers_at_back_end(name, context.forged)


@then('the agent\'s request names the tenant "{name}" alone')
def then_names(context, name):
    found = [value for key, value in context.headers if key.lower() == NAMES.tenant]
    assert found == [name.encode()], found


@then("a call without a tenant names none")
def then_names_none(context):
    headers = headers_at_back_end("", context.forged)
    assert not [key for key, _ in headers if key.lower() == NAMES.tenant]


@then("the proxy's log shows {tenants:d} tenants with {keys:d} keys, and why the key was refused")
def then_log(context, tenants, keys):
    logs = {log.code: log.fields for log in context.proxy.logs}
    assert logs[events.TENANTS_IN_FORCE] == {"tenants": tenants, "keys": keys}
    assert logs[events.CALL_FAILED]["reason"] == "the API key is unknown"


@then("no log line contains a key or its digest")
def then_no_key_in_log(context):
    text = " ".join(str(log) for log in context.proxy.logs)
    assert Key.of(TENANTS[0].resource).name not in text
    for key in KEYS:
        assert key not in text and digest_of(key.encode()).hex() not in text


def proxy_settings(headers, bound_ms, probe_ms):
    here = Address("127.0.0.1", 1)
    return ProxySettings(
        role=Role.PROXY,
        name="proxy-1",
        zone="one",
        services=("orders",),
        relays=(here,),
        edge=EdgeSettings(listen=here),
        headers=headers,
        tenants=TenantSettings(revoked_after_ms=bound_ms),
        configuration=ConfigurationSettings(probe_interval_ms=probe_ms),
    )


@given(
    'proxy settings with the key header "{name}", the scheme "{scheme}" and a revocation bound '
    "of {ms:d} ms"
)
def given_settings(context, name, scheme, ms):
    headers = HeaderSettings(authorization=name, key_scheme=scheme, tenant="X-Tenant")
    context.settings = core_settings(proxy_settings(headers, ms, probe_ms=500))


@then(
    "the proxy core reads keys from that header, accepts them for {bound:g} seconds and forwards "
    "neither key nor tenant"
)
def then_core_settings(context, bound):
    admission, attempts = context.settings.calls.admission, context.settings.attempts
    assert admission.key_header == ApiKeyHeader(b"x-key", b"token")
    assert admission.revoked_after == bound
    assert attempts.key_header == b"x-key" and b"x-tenant" in attempts.reserved_headers


@then(
    "proxy settings with a revocation bound of {bound:d} ms and a probe interval of {probe:d} ms "
    "clash"
)
def then_clash(context, bound, probe):
    assert REVOCATION_CLASH in ProxySettings.CLASHES and REVOCATION_CLASH in NodeSettings.CLASHES
    assert not revocation_exceeds_probe_interval(bound, probe)
    assert revocation_exceeds_probe_interval(
        bound + 1, probe
    ) and revocation_exceeds_probe_interval(0, probe)


@then('the answer to an unknown key names the scheme "{scheme}", any other refusal none')
def then_challenge(context, scheme):
    for kind in ErrorKind:
        headers = dict(render_answer(Failure(kind, "for a test"), 0, scheme.encode()).headers)
        expected = scheme.encode() if kind is ErrorKind.UNAUTHENTICATED else None
        assert headers.get(CHALLENGE_HEADER) == expected, kind
    unauthenticated = Failure(ErrorKind.UNAUTHENTICATED, "for a test")
    assert CHALLENGE_HEADER not in dict(render_answer(unauthenticated).headers)


@when("the call times out")
def when_times_out(context):
    context.proxy.logs.clear()
    context.proxy.advance(5.0)
    context.proxy.advance(1.0)


@then('the log line on the call\'s end names the tenant "{name}"')
@then("the log line on the call's end names no tenant")
def then_line_names(context, name=None):
    (line,) = [log for log in context.proxy.logs if log.code == events.CALL_FAILED]
    assert line.fields.get("tenant") == name, line
