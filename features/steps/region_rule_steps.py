"""Steps for the regions in which calls may run: every attempt, and true refusals."""

from __future__ import annotations

from collections.abc import Iterable

import parse
from behave import given, register_type, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st
from proxy_harness import (
    FIRST_AGENT_PORT,
    SERVICE,
    ProxyHarness,
    agent_endpoints,
    derandomized,
    mesh_resources,
)
from proxy_quarantine_steps import fingerprint, send_crashes

from limelever.common.errors import ErrorKind, Outcome
from limelever.common.regions import Regions
from limelever.common.sansio import MessageReceived, Purpose
from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Rollout,
    Route,
    Tenant,
    VersionedResource,
)
from limelever.protocol.endpoints_pb2 import Endpoint, EndpointUpdate
from limelever.protocol.tenant_keys import digest_of
from limelever.proxy import events
from limelever.proxy.calls import CallSettings
from limelever.proxy.metrics import count_answer
from limelever.proxy.retry_rules import RetrySettings
from limelever.source.validation import validate_batch
from limelever.transport.exposition import REGISTRY

KEY = b"tenant-key"
KEY_HEADER = ((b"authorization", b"bearer " + KEY),)
EVERY_RETRY = CallSettings(retry=RetrySettings(second_choice_percent=100))
ZONES = {"n1": "north", "n2": "north", "s1": "south", "w1": "west"}


@parse.with_pattern(r".*")
def rest(text: str) -> str:
    return text


register_type(Rest=rest)


def split_names(text: str) -> list[str]:
    return [name for name in text.split(", ") if name not in ("none", "any")]


class RegionHarness(ProxyHarness):
    """A proxy in region south whose endpoints have the given regions, in order of their ports."""

    def __init__(
        self, regions: Iterable[str], route: Iterable[str], tenant: Iterable[str], seed: int = 1
    ) -> None:
        super().__init__(seed=seed, zone="s1", regions=Regions("south", ZONES), calls=EVERY_RETRY)
        self.regions = list(regions)
        self.zone_override = ""
        self.versions: list[str] = []
        self.resources = mesh_resources()
        for versioned in self.resources:
            if versioned.resource.route.name == "lookup":
                versioned.resource.route.allowed_regions.extend(route)
        body = Tenant(name="t", key_digests=[digest_of(KEY)], allowed_regions=tenant)
        self.resources.append(VersionedResource(resource=Resource(tenant=body), version=1))

    def listed_endpoints(self) -> list[Endpoint]:
        endpoints = []
        for number, region in enumerate(self.regions):
            zone = self.zone_override or ("s1" if region == "south" else region)
            endpoint = agent_endpoints(1, zone, first=number)[0]
            endpoint.region = region
            endpoint.version = self.versions[number] if self.versions else ""
            endpoints.append(endpoint)
        return endpoints

    def region_of(self, connection: int) -> str:
        return self.regions[self.dialled_ports[connection] - FIRST_AGENT_PORT]

    def regions_reached(self) -> set[str]:
        ports = {self.dialled_ports[connection] for connection, _ in self.sent_calls}
        return {self.regions[port - FIRST_AGENT_PORT] for port in ports}

    def _dial(self, output: object) -> None:
        if output.purpose is Purpose.CALLS:  # type: ignore[attr-defined]
            self.dialled_ports[output.connection] = output.address.port  # type: ignore[attr-defined]
        super()._dial(output)  # type: ignore[arg-type]

    @property
    def dialled_ports(self) -> dict[int, int]:
        return self.__dict__.setdefault("_ports", {})

    def call(self, target: str = "/orders/1") -> int:
        return self.ask(target, headers=KEY_HEADER)


@given(
    'a proxy of region south with endpoints in regions "{regions}", a route bound to "{route}" '
    'and a tenant bound to "{tenant}"'
)
def given_proxy(context: Context, regions: str, route: str, tenant: str) -> None:
    stated = ["" if region == "unknown" else region for region in regions.split(", ")]
    context.proxy = RegionHarness(stated, split_names(route), split_names(tenant)).start()


@when("the tenant makes {count:d} calls that are answered")
def make_calls(context: Context, count: int) -> None:
    host = context.proxy
    for _ in range(count):
        context.call = host.call()
        for connection, start in tuple(host.open_attempts):
            host.answer(connection, start)


@then('its calls reach the regions "{regions}"')
def calls_reach(context: Context, regions: str) -> None:
    assert context.proxy.regions_reached() == set(split_names(regions))


@then('the tenant\'s call is refused at once, as nothing was run, because "{reason}"')
def refused_at_once(context: Context, reason: str) -> None:
    host = context.proxy
    call = host.call()
    failure = host.refusal(call)
    assert failure.kind is ErrorKind.NO_ENDPOINT and reason in failure.reason, failure
    assert failure.outcome is Outcome.NOT_RUN and failure.retry_after > 0, failure
    assert failure.answer.http_status == 503 and not host.sent_calls
    before = REGISTRY.get_sample_value("limelever_proxy_region_refusals_total") or 0.0
    count_answer(host.ended[-1])
    assert REGISTRY.get_sample_value("limelever_proxy_region_refusals_total") == before + 1


@then("the tenant's order is refused before anything is stored at a keeper")
def order_refused(context: Context) -> None:
    host = context.proxy
    call = host.ask("/place/1", "POST", idempotency_key=b"k", headers=KEY_HEADER)
    failure = host.refusal(call)
    assert failure.outcome is Outcome.NOT_RUN and "stored in any region" in failure.reason
    assert not host.keepers.claims and not host.sent_calls


@when("an endpoint in region {region:w} joins")
def endpoint_joins(context: Context, region: str) -> None:
    host = context.proxy
    host.regions.append(region)
    link = next(c for c, dial in host.links.items() if dial.purpose is Purpose.SUBSCRIPTION)
    host.post(MessageReceived(link, EndpointUpdate(endpoints=host.listed_endpoints()[-1:])))


@then("the proxy has logged once that its calls have no endpoint{more:Rest}")
def logged_once(context: Context, more: str) -> None:
    codes = [e.code for e in context.proxy.logged]
    assert codes.count(events.REGION_WITHOUT_ENDPOINT) == 1, codes
    assert codes.count(events.REGION_ENDPOINT_FOUND) == (1 if "one again" in more else 0), codes


@when('the request "{target}" is quarantined and its time has passed')
def quarantined(context: Context, target: str) -> None:
    send_crashes(context.proxy, fingerprint(target), 3)
    refused = context.proxy.call(target)
    assert context.proxy.refusal(refused).kind is ErrorKind.QUARANTINED
    context.proxy.advance(3600.0)
    context.proxy.post(
        MessageReceived(
            next(c for c, d in context.proxy.links.items() if d.purpose is Purpose.SUBSCRIPTION),
            EndpointUpdate(full=True, endpoints=context.proxy.listed_endpoints()),
        )
    )


@when('the tenant sends "{target}" as its trial')
def send_trial(context: Context, target: str) -> None:
    context.proxy.call(target)


REFUSALS = st.sampled_from(
    [
        "answer",
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_TOO_SHORT,
        ErrorKind.DRAINING,
        ErrorKind.CONNECTION_FAILED,
        ErrorKind.BACKEND_FAILED,
        "close",
    ]
)
REGION_SETS = st.sets(st.sampled_from(["north", "south", "west"]), max_size=2)


@given("any regions and any failures, no attempt of a call is sent to a region that is not allowed")
def any_failures(context: Context) -> None:
    regions = st.lists(st.sampled_from(["north", "south", "west", ""]), min_size=1, max_size=6)

    @derandomized
    @examples(regions, REGION_SETS, REGION_SETS, st.lists(REFUSALS, max_size=30), st.integers(0, 9))
    def check(
        listed: list[str], route: set[str], tenant: set[str], ends: list[object], seed: int
    ) -> None:
        host = RegionHarness(listed, sorted(route), sorted(tenant), seed).start()
        script = iter(ends)
        for _ in range(12):
            host.call()
            while host.open_attempts:
                end_attempt(host, next(script, "answer"))
        allowed = (route & tenant if route and tenant else route | tenant) or set(listed)
        assert host.regions_reached() <= allowed, (host.regions_reached(), allowed)

    check()


def end_attempt(host: ProxyHarness, end: object) -> None:
    connection, start = host.open_attempts[0]
    if isinstance(end, ErrorKind):
        host.refuse(connection, start, end)
    elif end == "close":
        host.close_link(connection)
    else:
        host.answer(connection, start)


@then("each of a retry, a redirect and a second choice goes to an allowed region")
def attempts_were_repeated(context: Context) -> None:
    for kind in (ErrorKind.OVERLOADED, ErrorKind.DRAINING, ErrorKind.BACKEND_FAILED):
        host = RegionHarness(["north", "north", "south", "west"], ["north"], []).start()
        for _ in range(40):
            host.call()
            host.answer(*host.open_attempts[0])
        before = len(host.sent_calls)
        call = host.call()
        while host.open_attempts:
            host.refuse(*host.open_attempts[0], kind)
        assert len(host.sent_calls) - before == 2, (kind, len(host.sent_calls) - before)
        assert host.refusal(call) and host.regions_reached() == {"north"}, kind


@given(
    'a rollout of half of the calls, with its target in regions "{target}" and its baseline in '
    '"{baseline}"'
)
def given_rollout(context: Context, target: str, baseline: str) -> None:
    old, new = split_names(baseline), split_names(target)
    host = context.proxy = RegionHarness([*old, *new], ["north"], [])
    host.versions = ["v1"] * len(old) + ["v2"] * len(new)
    rollout = Rollout(
        service=SERVICE,
        target="v2",
        baseline="v1",
        state=ROLLOUT_STATE_RUNNING,
        permille=500,
        duration_ms=1000,
    )
    host.resources.append(VersionedResource(resource=Resource(rollout=rollout), version=1))
    host.start()


@then("between {least:d} and {most:d} of the calls reach the target of the rollout")
def reach_target(context: Context, least: int, most: int) -> None:
    host = context.proxy
    ports = [host.dialled_ports[connection] for connection, _ in host.sent_calls]
    count = sum(host.versions[port - FIRST_AGENT_PORT] == "v2" for port in ports)
    assert least <= count <= most, count


@when("every agent in region south refuses a call of the tenant")
def south_refuses(context: Context) -> None:
    host = context.proxy
    for _ in range(10):
        host.call()
        host.answer(*host.open_attempts[0])
    before = len(host.sent_calls)
    host.call()
    while host.open_attempts:
        connection, start = host.open_attempts[0]
        if host.region_of(connection) == "south":
            host.refuse(connection, start, ErrorKind.DEADLINE_TOO_SHORT)
        else:
            host.answer(connection, start)
    context.sent = [host.region_of(connection) for connection, _ in host.sent_calls[before:]]


@then('the call was sent to "{regions}" in turn')
def sent_in_turn(context: Context, regions: str) -> None:
    assert context.sent == split_names(regions), context.sent


def region_batch(flaw: str) -> Batch:
    def route(kind: int, *regions: str, public: bool = False) -> Resource:
        body = Route(
            name="r",
            service=SERVICE,
            path_prefix="/r",
            call_kind=kind,  # type: ignore[arg-type]
            allowed_regions=regions,
            public=public,
        )
        return Resource(route=body)

    def tenant(*regions: str) -> Resource:
        return Resource(tenant=Tenant(name="t", allowed_regions=regions))

    batches = {
        "an unknown region of a route": [route(CALL_KIND_REPEATABLE, "north", "east")],
        "an unknown region of a tenant": [tenant("east")],
        "an empty region of a route": [route(CALL_KIND_REPEATABLE, "")],
        "an empty region of a tenant": [tenant("")],
        "a region twice": [tenant("north", "north")],
        "an at-most-once route with regions": [route(CALL_KIND_AT_MOST_ONCE, "north")],
        "an at-most-once route beside a bound tenant": [
            route(CALL_KIND_AT_MOST_ONCE),
            tenant("north"),
        ],
        "a public at-most-once route beside a bound tenant": [
            route(CALL_KIND_AT_MOST_ONCE, public=True),
            tenant("north"),
        ],
        "known regions": [route(CALL_KIND_REPEATABLE, "north", "south"), tenant("north")],
    }
    return Batch(request_id="abcdefgh@1", put=batches[flaw])


@then('a batch with {flaw} is refused because "{reason}"')
def batch_refused(context: Context, flaw: str, reason: str) -> None:
    problems = validate_batch(region_batch(flaw), frozenset({"north", "south"}))
    assert [p.field for p in problems] == ["allowed_regions"], problems
    assert reason in problems[0].reason, problems


@then("a batch with {flaw} is accepted")
def batch_accepted(context: Context, flaw: str) -> None:
    assert not validate_batch(region_batch(flaw), frozenset({"north", "south"}))


@then("without zones in the settings any region is accepted, but no empty one")
def any_region(context: Context) -> None:
    assert not validate_batch(region_batch("an unknown region of a route"))
    assert validate_batch(region_batch("an empty region of a tenant"))


@then('calls to an endpoint in region "{region}" and zone "{zone}" are counted as "{place}"')
def counted_as(context: Context, region: str, zone: str, place: str) -> None:
    host = RegionHarness([region.strip("-")], [], [])
    host.zone_override = zone
    host.start()
    host.call()
    host.answer(*host.open_attempts[0])
    labels = {"place": place}
    before = REGISTRY.get_sample_value("limelever_proxy_region_calls_total", labels) or 0.0
    count_answer(host.ended[-1])
    after = REGISTRY.get_sample_value("limelever_proxy_region_calls_total", labels) or 0.0
    assert after - before == (place != "none"), (before, after)


@then(
    "the proxy logs the calls that left its region once in {seconds:d} seconds, with their number"
)
def logs_left_calls(context: Context, seconds: int) -> None:
    host = context.proxy
    host.advance(seconds)
    host.call()
    left = [e.fields for e in host.logged if e.code == events.CALLS_LEAVE_REGION]
    assert [fields["calls"] for fields in left] == [1, 30], left
