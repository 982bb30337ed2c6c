"""Steps for routes by host, traffic splits, call kinds and retry budgets."""

from __future__ import annotations

import random

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    MessageReceived,
    OpenConnection,
    Peer,
    Purpose,
    Recovered,
    Role,
    SendMessage,
)
from limelever.keeper.settings import KeeperClientSettings
from limelever.protocol.calls_pb2 import CallFailed, CallStart
from limelever.protocol.config_pb2 import (
    CALL_KIND_ONCE_PER_ATTEMPT,
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Service,
    VersionedResource,
    WeightedService,
)
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY, Endpoint, EndpointUpdate
from limelever.protocol.keys import Key
from limelever.proxy.call_types import AnswerCall, CallArrived, CallRequest
from limelever.proxy.calls import CallSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.proxy.retry_budget import RetryBudgets
from limelever.proxy.retry_rules import RetrySettings
from limelever.proxy.route_table_builder import build_route_table
from limelever.proxy.traffic_split import TrafficSplitter
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.notices import ConfigurationInstalled, EndpointsReceived
from limelever.subscriber.settings import SubscriberSettings

ADDRESS = Address("127.0.0.1", 1)
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)


def configuration(routes, services=("orders",)):
    resources = [Resource(service=Service(name=name)) for name in services]
    resources += [Resource(route=route) for route in routes]
    return ConfigurationSet(
        {Key.of(each): VersionedResource(resource=each, version=1) for each in resources}
    )


def route(name, prefix, host="", **changes):
    fields = {"service": "orders", "call_kind": CALL_KIND_REPEATABLE, **changes}
    return Route(name=name, host=host, path_prefix=prefix, **fields)


@given('routes for the host "one.example", for "two.example" and for any host')
def given_routes(context):
    routes = [
        route("one-shop", "/shop/", "one.example"),
        route("one-deep", "/shop/deep/", "one.example"),
        route("two-other", "/other/", "two.example"),
        route("any-shop", "/shop/"),
    ]
    context.route_table = build_route_table(configuration(routes), 1)


@then('"{path}" at "{host}" takes the route "{name}"')
def then_route(context, path, host, name):
    found = context.route_table.match(b"GET", path.encode(), host.encode())
    assert not isinstance(found, Failure) and found.name == name, found


@then('"{path}" at "{host}" takes no route')
def then_no_route(context, path, host):
    found = context.route_table.match(b"GET", path.encode(), host.encode())
    assert isinstance(found, Failure) and found.kind is ErrorKind.NO_ROUTE, found


def split_entry(weights):
    parts = [WeightedService(service=f"s{n}", weight=w) for n, w in enumerate(weights)]
    split = Route(name="r", path_prefix="/", call_kind=CALL_KIND_REPEATABLE, split=parts)
    services = [part.service for part in parts]
    return build_route_table(configuration([split], services), 1).match(b"GET", b"/")


@given("any weights and calls, N destinations each take their share to within N calls")
def given_any_weights(context):
    weights = st.lists(st.integers(1, 100), min_size=2, max_size=5)

    @PROPERTY
    @examples(weights, st.integers(1, 300), st.integers(0, 9))
    def check(given_weights, count, seed):
        entry = split_entry(given_weights)
        splits = TrafficSplitter(random.Random(seed))
        taken = [splits.choose(entry).service for _ in range(count)]
        for number, weight in enumerate(given_weights):
            fair = count * weight / sum(given_weights)
            assert abs(taken.count(f"s{number}") - fair) <= len(given_weights), taken

    check()


@given("a split of 90 and 10 that has taken 5 calls")
def given_split(context):
    context.splits = TrafficSplitter(random.Random(3))
    context.reference = TrafficSplitter(random.Random(3))
    for splits in (context.splits, context.reference):
        for _ in range(5):
            splits.choose(split_entry([90, 10]))


@then("an unchanged table continues the round")
def then_round_continues(context):
    again = split_entry([90, 10])
    expected = [context.reference.choose(again).service for _ in range(20)]
    assert [context.splits.choose(again).service for _ in range(20)] == expected


@then("a table with other weights starts a new round")
def then_new_round(context):
    entry = split_entry([50, 50])
    taken = [context.splits.choose(entry).service for _ in range(20)]
    assert taken.count("s0") == taken.count("s1") == 10, taken


class Proxy:
    """A proxy core with agents that answer as the test demands."""

    def __init__(self, retry, agents=3, call_kind=CALL_KIND_ONCE_PER_ATTEMPT):
        self.core = ProxyCore(
            ProxyCoreSettings(
                SubscriberSettings(publishers=(ADDRESS,), every_service=True),
                KeeperClientSettings(keepers=()),
                calls=CallSettings(retry=retry),
            ),
            random.Random(1),
            Recovered(),
        )
        held = configuration([route("r", "/", call_kind=call_kind)])
        self.core._apply_configuration(ConfigurationInstalled(1, held), 0.0)
        update = EndpointUpdate(
            endpoints=[
                Endpoint(
                    service="orders",
                    instance=f"i{number}",
                    incarnation=1,
                    sequence=1,
                    host=f"10.0.0.{number}",
                    port=1,
                    slots=6,
                    state=ENDPOINT_STATE_READY,
                )
                for number in range(agents)
            ]
        )
        self.core._update_endpoints(EndpointsReceived(update), 0.0)
        self.starts = []
        self.answers = []
        self.number = 0

    def call(self, body=b""):
        self.number += 1
        request = CallRequest(method=b"POST", target=b"/", headers=(), body=body, timeout=5.0)
        self.post(CallArrived(self.number, request))

    def post(self, event):
        for output in self.core.handle(event, 0.0):
            if isinstance(output, OpenConnection):
                peer = Peer(Role.AGENT, "agent", "", Purpose.CALLS, incarnation=1)
                self.post(ConnectionOpened(output.connection, peer))
            elif isinstance(output, SendMessage) and isinstance(output.message, CallStart):
                self.starts.append(output)
            elif isinstance(output, AnswerCall):
                self.answers.append(output)

    def fail_last(self, kind):
        sent = self.starts[-1]
        failed = CallFailed(
            stream=sent.message.stream,
            attempt_id=sent.message.attempt_id,
            kind=kind.value,
            reason="refused by the test",
        )
        self.post(MessageReceived(sent.connection, failed))


@given("a proxy with a route whose calls run once per attempt")
def given_once(context):
    context.proxy = Proxy(RetrySettings(fleet_saved_retries=30))
    for _ in range(30):
        context.proxy.core._engine._retry_budgets.of("orders", 0).record_first_attempt()
    context.proxy.call()


@when("the first agent answers the call with {kind}")
def when_fails(context, kind):
    context.proxy.fail_last(ErrorKind(kind))


@then("the call is retried at another agent")
def then_another(context):
    first, second = (start.connection for start in context.proxy.starts)
    assert first != second
    assert not context.proxy.answers


@then("the call ends as {kind}")
def then_ends(context, kind):
    assert len(context.proxy.starts) == 1
    (answer,) = context.proxy.answers
    assert answer.answer.kind is ErrorKind(kind), answer


@given("a proxy whose second-choice budget is {percent:d} percent of its calls")
def given_second_choices(context, percent):
    retry = RetrySettings(second_choice_percent=percent)
    context.proxy = Proxy(retry, agents=6, call_kind=CALL_KIND_REPEATABLE)


@when("{count:d} calls are refused by every agent they reach")
def when_all_refused(context, count):
    context.tries = []
    for _ in range(count):
        before = len(context.proxy.starts)
        answered = len(context.proxy.answers)
        context.proxy.call()
        while len(context.proxy.answers) == answered:
            context.proxy.fail_last(ErrorKind.OVERLOADED)
        context.tries.append(len(context.proxy.starts) - before)


@when("an upload of {size:d} bytes is refused by every agent it reaches")
def when_upload_refused(context, size):
    context.proxy.call(bytes(size))
    while not context.proxy.answers:
        context.proxy.fail_last(ErrorKind.DEADLINE_TOO_SHORT)


@then("it was tried at {count:d} distinct endpoints without sending any of its body")
def then_tried_at(context, count):
    starts = context.proxy.starts
    assert len({start.connection for start in starts}) == len(starts) == count, starts
    assert not any(start.message.body for start in starts)


@then("at most {most:d} of them were tried twice and none more often")
def then_second_choices(context, most):
    assert max(context.tries) == 2, context.tries
    assert 40 <= context.tries.count(2) <= most, context.tries.count(2)


@given("retry budgets that save up to {saved:d} retries for the fleet")
def given_budgets(context, saved):
    context.budgets = RetryBudgets(saved)


@when("the fleet has {nodes:d} nodes")
def when_nodes(context, nodes):
    context.budgets.set_node_count(nodes)


@then("{count:d} retries can be taken at once and no more")
def then_retries(context, count):
    for _ in range(1000):
        context.budgets.of("orders", 20).record_first_attempt()
    taken = sum(context.budgets.of("orders", 20).try_take() for _ in range(100))
    assert taken == count, taken
