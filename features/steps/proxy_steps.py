"""Steps for the request path of a proxy."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st
from proxy_host import (
    FIRST_AGENT_PORT,
    SERVICE,
    ProxyHost,
    derandomized,
    versioned,
)

from limelever.common.errors import ERROR_TABLE, ErrorKind, Failure, RetryAdvice
from limelever.common.sansio import (
    DeadlineReached,
    MessageReceived,
)
from limelever.protocol.calls_pb2 import (
    CallCredit,
    CallStart,
    ResponseBody,
    ResponseStart,
)
from limelever.protocol.config_pb2 import (
    Resource,
    Route,
    Service,
)
from limelever.protocol.keys import Key
from limelever.proxy.answers import render_failure
from limelever.proxy.call_types import (
    CallAnswer,
    CallerGone,
)
from limelever.proxy.retry_budget import RetryBudget
from limelever.proxy.route_table import build_route_table
from limelever.subscriber.configuration import ConfigurationSet


@given("a proxy that holds no configuration")
def proxy_without_configuration(context: Context) -> None:
    context.proxy = ProxyHost()


@given("a proxy with one endpoint")
def proxy_with_one(context: Context) -> None:
    context.proxy = ProxyHost().start()


@given("a proxy in another zone than its one endpoint")
def proxy_elsewhere(context: Context) -> None:
    context.proxy = ProxyHost(zone="elsewhere").start()


@given("a proxy with {count:d} endpoints")
def proxy_with_many(context: Context, count: int) -> None:
    context.proxy = ProxyHost(count).start()


@given("a proxy with one endpoint whose agent accepts no link")
def proxy_with_silent_agent(context: Context) -> None:
    context.proxy = ProxyHost()
    context.proxy.accepts_links = False
    context.proxy.start()


@given("a proxy with 2 endpoints, the first of which answers no dial")
def proxy_with_hanging_dial(context: Context) -> None:
    context.proxy = ProxyHost(2)
    context.proxy.silent_ports = {FIRST_AGENT_PORT}
    context.proxy.start()


@when("callers ask until one call waits for the first endpoint's link")
def ask_until_one_waits(context: Context) -> None:
    while not context.proxy.hanging:
        context.proxy.ask("/orders/1")


@when("{count:d} callers ask at that moment")
def many_ask(context: Context, count: int) -> None:
    context.handed_on_before = len(context.proxy.handed_on)
    for _ in range(count):
        context.proxy.ask("/orders/1")


@then("all {count:d} of those calls were handed on at once")
def all_handed_on(context: Context, count: int) -> None:
    handed_on = len(context.proxy.handed_on) - context.handed_on_before
    assert handed_on == count, handed_on


@then("every call was handed on")
def every_call_handed_on(context: Context) -> None:
    assert len(context.proxy.handed_on) == context.proxy.last_call, context.proxy.handed_on


@when("the agent's link comes up")
def link_comes_up(context: Context) -> None:
    (dial,) = context.proxy.hanging
    context.proxy.accept(dial)
    context.proxy.post(DeadlineReached())


@given("a proxy with {count:d} endpoints and retries for every call")
def proxy_with_retries(context: Context, count: int) -> None:
    """Earn the budget of one retry a route with ten answered calls."""
    proxy = context.proxy = ProxyHost(count).start()
    for number in range(10):
        proxy.ask("/baskets/0")
        proxy.place(f"earn-{number}")
        for start in tuple(proxy.open):
            proxy.answer(*start)
    proxy.last_call = 0
    proxy.handed_on.clear()


@when('a caller asks the proxy for "{target}"')
def caller_asks(context: Context, target: str) -> None:
    context.proxy.ask(target)


@when('a caller sends header "{name}" as "{value}" to "{target}"')
def caller_sends_header(context: Context, name: str, value: str, target: str) -> None:
    context.proxy.ask(target, headers=((name.encode(), value.encode()),))


@when('a caller that waits {milliseconds:d} ms asks for "{target}"')
def caller_waits(context: Context, milliseconds: int, target: str) -> None:
    context.proxy.ask(target, timeout=milliseconds / 1000)


@when("a caller places an order without a key")
def caller_places_without_key(context: Context) -> None:
    context.proxy.place("")


@when('a caller places an order with key "{key}"')
def caller_places(context: Context, key: str) -> None:
    context.proxy.place(key)


@when("the caller of call {call:d} leaves")
def caller_leaves(context: Context, call: int) -> None:
    context.proxy.post(CallerGone(call))


@when("{seconds:f} seconds pass at the proxy")
def time_passes(context: Context, seconds: float) -> None:
    context.proxy.pass_time(seconds)


@when("the agent answers the call")
def agent_answers(context: Context) -> None:
    context.proxy.answer(*context.proxy.open[-1])


@when("the agent answers with parts of {first:d}, {second:d} and {third:d} bytes and one more")
def agent_answers_in_parts(context: Context, first: int, second: int, third: int) -> None:
    proxy = context.proxy
    connection, start = proxy.open[-1]
    head = ResponseStart(stream=start.stream, attempt_id=start.attempt_id, status=200)
    head.body = bytes(first)
    rest = [ResponseBody(stream=start.stream, data=bytes(size)) for size in (second, third)]
    last = ResponseBody(stream=start.stream, data=b"0123456789", end=True)
    for message in (head, *rest, last):
        proxy.post(MessageReceived(connection, message))


@then("the proxy gave the agent credit for {size:d} bytes")
def proxy_gave_credit(context: Context, size: int) -> None:
    assert context.proxy.credit == size, context.proxy.credit


@then("call {call:d} got an answer of {size:d} bytes")
def answered_with_bytes(context: Context, call: int, size: int) -> None:
    assert len(context.proxy.final(call).body) == size


@when("the agent answers the call with status {status:d}")
def agent_answers_with(context: Context, status: int) -> None:
    connection, start = context.proxy.open[-1]
    answer = ResponseStart(
        stream=start.stream, attempt_id=start.attempt_id, status=status, end=True
    )
    context.proxy.reply(connection, answer)


@then("call {call:d} got an answer with status {status:d}")
def answered_with(context: Context, call: int, status: int) -> None:
    assert context.proxy.final(call).status == status


@when('the agent refuses the call as "{kind}"')
def agent_refuses(context: Context, kind: str) -> None:
    context.proxy.refuse(*context.proxy.open[-1], ErrorKind(kind))


@when("the agent's link is lost")
def agent_link_lost(context: Context) -> None:
    context.proxy.lose(context.proxy.open[-1][0])


@then("the callers were told to come back after {first:g}, {second:g} and {third:g} seconds")
def check_times_told(context: Context, first: float, second: float, third: float) -> None:
    answers = [context.proxy.refusal(number) for number in (1, 2, 3)]
    assert [round(each.retry_after, 6) for each in answers] == [first, second, third], answers


@then('the proxy refused call {call:d} as "{kind}" with a retry time')
def refused_with_retry_time(context: Context, call: int, kind: str) -> None:
    refusal = context.proxy.refusal(call)
    assert refusal.kind.value == kind and refusal.retry_after > 0, refusal


@then('the proxy refused call {call:d} as "{kind}"')
def refused(context: Context, call: int, kind: str) -> None:
    assert context.proxy.refusal(call).kind.value == kind


@then('the caller of call {call:d} was told "{kind}" and outcome "{outcome}"')
def refused_with_outcome(context: Context, call: int, kind: str, outcome: str) -> None:
    refusal = context.proxy.refusal(call)
    assert (refusal.kind.value, refusal.outcome.value) == (kind, outcome), refusal


@then('the handed on call carries header "{name}" only as "{value}"')
def carries_header(context: Context, name: str, value: str) -> None:
    headers = context.proxy.handed_on[-1][1].headers
    assert [h.value for h in headers if h.name == name.encode()] == [value.encode()]


@then('the handed on call does not carry header "{name}"')
def lacks_header(context: Context, name: str) -> None:
    assert name.encode() not in [h.name for h in context.proxy.handed_on[-1][1].headers]


@when("a caller uploads {size:d} bytes")
def caller_uploads(context: Context, size: int) -> None:
    context.proxy.ask("/orders/photo", "POST", body=bytes(range(256)) * (size // 256))


@then("the agent has {size:d} bytes of the upload")
def agent_has_bytes(context: Context, size: int) -> None:
    assert len(context.proxy.uploaded) == size, len(context.proxy.uploaded)


@when("the agent gives credit for {size:d} bytes")
def agent_gives_credit(context: Context, size: int) -> None:
    connection, start = context.proxy.open[-1]
    context.proxy.post(MessageReceived(connection, CallCredit(stream=start.stream, bytes=size)))


@then("the agent has the whole upload of {size:d} bytes")
def agent_has_upload(context: Context, size: int) -> None:
    assert bytes(context.proxy.uploaded) == bytes(range(256)) * (size // 256)


@then("the agent was told to cancel")
def told_to_cancel(context: Context) -> None:
    assert context.proxy.cancels == 1


@then("call {call:d} got the answer of its agent")
def got_answer(context: Context, call: int) -> None:
    final = context.proxy.final(call)
    assert isinstance(final, CallAnswer) and final.status == 200, final


@then("call {second:d} got the same answer as call {first:d}")
def got_same_answer(context: Context, second: int, first: int) -> None:
    finals = [context.proxy.final(call) for call in (first, second)]
    assert finals[0].body == finals[1].body and finals[0].status == finals[1].status


@then("{count:d} call was handed on")
@then("{count:d} calls were handed on")
def handed_on_count(context: Context, count: int) -> None:
    assert len(context.proxy.handed_on) == count


@then("the leaving agent gets no further call")
def leaving_gets_none(context: Context) -> None:
    proxy = context.proxy
    leaving = proxy.handed_on[0][0]
    for _ in range(20):
        proxy.ask("/baskets/2")
        assert proxy.open[-1][0] != leaving
        proxy.answer(*proxy.open[-1])


@given("any routes and paths, the proxy's table agrees with a search through all prefixes")
def closest_prefix(context: Context) -> None:
    path = st.lists(st.sampled_from(["a", "b", "aa"]), max_size=4).map(lambda p: "/" + "/".join(p))
    prefixes = st.sets(st.builds(lambda p, end: p + end, path, st.sampled_from(["", "/"])))

    @derandomized
    @examples(prefixes, path)
    def check(held: set[str], asked: str) -> None:
        held = {prefix.replace("//", "/") for prefix in held}
        routes = [Resource(route=Route(name=p, service=SERVICE, path_prefix=p)) for p in held]
        resources = versioned(Resource(service=Service(name=SERVICE)), *routes)
        configuration = ConfigurationSet({Key.of(r.resource): r for r in resources})
        table = build_route_table(configuration, 1)
        assert not isinstance(table, Failure)
        matching = [
            p for p in held if asked == p or asked.startswith(p if p.endswith("/") else p + "/")
        ]
        found = table.match(b"GET", asked.encode())
        if matching:
            assert not isinstance(found, Failure) and found.name == max(matching, key=len)
        else:
            assert isinstance(found, Failure) and found.kind is ErrorKind.NO_ROUTE

    check()


@given("any order of true, late and crossed answers, every caller gets its own answer")
def crossed_answers(context: Context) -> None:
    steps = st.lists(st.tuples(st.sampled_from("atcsoxl"), st.integers(0, 30)), max_size=40)

    @derandomized
    @examples(steps)
    def check(plan: list[tuple[str, int]]) -> None:
        proxy = ProxyHost(3).start()
        targets: dict[int, bytes] = {}
        for action, number in plan:
            run_crossing_step(proxy, targets, action, number)
        proxy.pass_time(3.0)
        for call, target in targets.items():
            final = proxy.final(call)
            assert isinstance(final, Failure) or final.body == target, (target, final)

    check()


def run_crossing_step(
    proxy: ProxyHost, targets: dict[int, bytes], action: str, number: int
) -> None:
    if action == "a":
        target = f"/baskets/{len(targets)}"
        targets[proxy.ask(target)] = target.encode()
    elif action == "t":
        proxy.pass_time(number / 20)
    elif proxy.handed_on:
        connection, start = proxy.handed_on[number % len(proxy.handed_on)]
        other = proxy.handed_on[(number + 1) % len(proxy.handed_on)][1]
        crossed = CallStart(stream=start.stream, attempt_id=other.attempt_id, target=other.target)
        match action:
            case "c" if crossed.attempt_id != start.attempt_id:
                proxy.post(MessageReceived(connection, crossed_answer(crossed)))
            case "s":
                proxy.answer(connection, start)
            case "x":
                late_body = ResponseBody(stream=start.stream, data=b"late", end=True)
                proxy.post(MessageReceived(connection, late_body))
            case "o" if proxy.open:
                answer_truly(proxy, targets, *proxy.open[number % len(proxy.open)])
            case "l" if connection in proxy.links:
                proxy.lose(connection)


def answer_truly(
    proxy: ProxyHost, targets: dict[int, bytes], connection: int, start: CallStart
) -> None:
    """Answer an attempt in flight: a call not yet answered gets exactly this answer."""
    waiting = [
        c for c, target in targets.items() if target == start.target and not proxy.answers[c]
    ]
    proxy.answer(connection, start)
    for call in waiting:
        final = proxy.final(call)
        assert isinstance(final, CallAnswer) and final.body == start.target


def crossed_answer(start: CallStart) -> ResponseStart:
    return ResponseStart(
        stream=start.stream, attempt_id=start.attempt_id, status=200, body=b"crossed", end=True
    )


@then("any failure that the proxy renders has a Retry-After if its kind advises a delay")
def rendered_with_retry_after(_context: Context) -> None:
    later = {RetryAdvice.AFTER_DELAY, RetryAdvice.ELSEWHERE, RetryAdvice.SAME_REQUEST_ID}
    for kind, row in ERROR_TABLE.items():
        headers = dict(render_failure(Failure(kind, "for a test")).headers)
        assert (b"retry-after" in headers) == (row.advice in later), kind


@given("any number of calls to overloaded agents, retries stay within the budget")
def overload(context: Context) -> None:
    @derandomized
    @examples(st.integers(1, 120), st.integers(1, 5), st.booleans())
    def check(calls: int, endpoints: int, unknown: bool) -> None:
        proxy = ProxyHost(endpoints).start()
        kind = ErrorKind.BACKEND_FAILED if unknown else ErrorKind.OVERLOADED
        for _ in range(calls):
            proxy.ask("/baskets/1")
            while proxy.open:
                proxy.refuse(*proxy.open[-1], kind)
        assert len(proxy.handed_on) - calls <= calls * 10 // 100

    check()


@given("any order of fresh calls and retries, the retry budget holds")
def budget_holds(context: Context) -> None:
    @derandomized
    @examples(st.integers(1, 100), st.lists(st.booleans(), max_size=400))
    def check(percent: int, plan: list[bool]) -> None:
        budget = RetryBudget(percent)
        fresh = taken = 0
        for is_fresh in plan:
            if is_fresh:
                budget.record_first_attempt()
                fresh += 1
            else:
                taken += budget.try_take()
            assert taken * 100 <= fresh * percent

    check()
