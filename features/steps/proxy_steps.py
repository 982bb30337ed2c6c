"""Steps for the request path of a proxy's core."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import strategies as st
from proxy_harness import (
    FIRST_AGENT_PORT,
    SERVICE,
    ProxyHarness,
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
    CallFailed,
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
from limelever.proxy import events as proxy_events
from limelever.proxy.answer_rendering import render_failure
from limelever.proxy.call_types import (
    CallAnswer,
    CallerGone,
)
from limelever.proxy.retry_budget import RetryBudget
from limelever.proxy.route_table_builder import build_route_table
from limelever.subscriber.configuration import ConfigurationSet


@given("a proxy that holds no configuration")
def proxy_without_configuration(context: Context) -> None:
    context.proxy = ProxyHarness()


@given("a proxy with one endpoint")
def proxy_with_one(context: Context) -> None:
    context.proxy = ProxyHarness().start()


@given("a proxy in another zone than its one endpoint")
def proxy_elsewhere(context: Context) -> None:
    context.proxy = ProxyHarness(zone="elsewhere").start()


@given("a proxy with {count:d} endpoints")
def proxy_with_many(context: Context, count: int) -> None:
    context.proxy = ProxyHarness(count).start()


@given("a proxy with one endpoint whose agent accepts no link")
def proxy_without_link(context: Context) -> None:
    context.proxy = ProxyHarness()
    context.proxy.accepts_links = False
    context.proxy.start()


@given("a proxy with 2 endpoints, the first of which answers no dial")
def proxy_with_hanging_dial(context: Context) -> None:
    context.proxy = ProxyHarness(2)
    context.proxy.unresponsive_ports = {FIRST_AGENT_PORT}
    context.proxy.start()


@when("callers ask until one call waits for the first endpoint's link")
def ask_until_one_waits(context: Context) -> None:
    while not context.proxy.hanging_dials:
        context.proxy.ask("/orders/1")


@when("{count:d} further callers ask")
def many_ask(context: Context, count: int) -> None:
    context.sent_before = len(context.proxy.sent_calls)
    for _ in range(count):
        context.proxy.ask("/orders/1")


@then("all {count:d} of those calls were sent to agents at once")
def all_sent(context: Context, count: int) -> None:
    sent = len(context.proxy.sent_calls) - context.sent_before
    assert sent == count, sent


@then("every call was sent to an agent")
def every_call_sent(context: Context) -> None:
    assert len(context.proxy.sent_calls) == context.proxy.last_call, context.proxy.sent_calls


@when("the agent accepts the link")
def agent_accepts_link(context: Context) -> None:
    (dial,) = context.proxy.hanging_dials
    context.proxy.accept(dial)
    context.proxy.post(DeadlineReached())


@given("a proxy with {count:d} endpoints and retries left in its budget")
def proxy_with_retries(context: Context, count: int) -> None:
    """Fill the service's retry budget to two retries, with twenty answered calls."""
    proxy = context.proxy = ProxyHarness(count).start()
    for number in range(10):
        proxy.ask("/baskets/0")
        proxy.place_order(f"earn-{number}")
        for start in tuple(proxy.open_attempts):
            proxy.answer(*start)
    proxy.last_call = 0
    proxy.sent_calls.clear()


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
    context.proxy.place_order("")


@when('a caller places an order with key "{key}"')
def caller_places(context: Context, key: str) -> None:
    context.proxy.place_order(key)


@when("the caller of call {call:d} disconnects")
def caller_disconnects(context: Context, call: int) -> None:
    context.proxy.post(CallerGone(call))


@when("{seconds:f} seconds pass at the proxy")
def time_passes(context: Context, seconds: float) -> None:
    context.proxy.advance(seconds)


@when("the agent answers the call")
def agent_answers(context: Context) -> None:
    context.proxy.answer(*context.proxy.open_attempts[-1])


@when("the agent answers with chunks of {first:d}, {second:d} and {third:d} bytes and a last one")
def agent_answers_in_chunks(context: Context, first: int, second: int, third: int) -> None:
    proxy = context.proxy
    connection, start = proxy.open_attempts[-1]
    head = ResponseStart(stream=start.stream, attempt_id=start.attempt_id, status=200)
    head.body = bytes(first)
    rest = [ResponseBody(stream=start.stream, data=bytes(size)) for size in (second, third)]
    last = ResponseBody(stream=start.stream, data=b"0123456789", end=True)
    for message in (head, *rest, last):
        proxy.post(MessageReceived(connection, message))


@then("the proxy gave the agent credit for {size:d} bytes")
def proxy_gave_credit(context: Context, size: int) -> None:
    assert context.proxy.granted_credit_bytes == size, context.proxy.granted_credit_bytes


@then("call {call:d} got an answer of {size:d} bytes")
def answered_with_bytes(context: Context, call: int, size: int) -> None:
    assert len(context.proxy.final_answer(call).body) == size


@when("the agent answers the call with status {status:d}")
def agent_answers_with(context: Context, status: int) -> None:
    connection, start = context.proxy.open_attempts[-1]
    answer = ResponseStart(
        stream=start.stream, attempt_id=start.attempt_id, status=status, end=True
    )
    context.proxy.reply(connection, answer)


@when("the agent begins an answer with status {status:d}")
def agent_begins_answer(context: Context, status: int) -> None:
    connection, start = context.proxy.open_attempts[-1]
    head = ResponseStart(stream=start.stream, attempt_id=start.attempt_id, status=status)
    context.proxy.post(MessageReceived(connection, head))


@when("the keepers hold the answer with status {status:d}")
def recorded_status(context: Context, status: int) -> None:
    for answer in context.proxy.keepers.answers.values():
        answer.status = status


@then("call {call:d} got an answer with status {status:d}")
def answered_with(context: Context, call: int, status: int) -> None:
    assert context.proxy.final_answer(call).status == status


@when('the agent refuses the call as "{kind}"')
def agent_refuses(context: Context, kind: str) -> None:
    context.proxy.refuse(*context.proxy.open_attempts[-1], ErrorKind(kind))


@when("the agent refuses the call as draining, but takes others")
def agent_refuses_one(context: Context) -> None:
    connection, start = context.proxy.open_attempts[-1]
    kind = ErrorKind.DRAINING.value
    failed = CallFailed(stream=start.stream, attempt_id=start.attempt_id, kind=kind)
    failed.load.slots = 1
    context.proxy.reply(connection, failed)


@when("the agent's link is lost")
def agent_link_lost(context: Context) -> None:
    context.proxy.close_link(context.proxy.open_attempts[-1][0])


@when("the agent's link is lost with the call in its send queue")
def agent_link_lost_unsent(context: Context) -> None:
    connection, start = context.proxy.open_attempts[-1]
    context.proxy.close_link(connection, (start,))


@when('{count:d} calls in a row end as "{kind}"')
def calls_end_as(context: Context, count: int, kind: str) -> None:
    for number in range(count):
        context.proxy.ask(f"/orders/{number}")
        context.proxy.refuse(*context.proxy.open_attempts[-1], ErrorKind(kind))


@then("no endpoint was ejected")
def none_ejected(context: Context) -> None:
    codes = [each.code for each in context.proxy.logged]
    assert proxy_events.ENDPOINT_EJECTED not in codes, codes


@then("the callers got retry times of {first:g}, {second:g} and {third:g} seconds")
def check_retry_times(context: Context, first: float, second: float, third: float) -> None:
    answers = [context.proxy.refusal(number) for number in (1, 2, 3)]
    assert [round(each.retry_after, 6) for each in answers] == [first, second, third], answers


@then('the proxy refused call {call:d} as "{kind}" with a retry time')
def refused_with_retry_time(context: Context, call: int, kind: str) -> None:
    refusal = context.proxy.refusal(call)
    assert refusal.kind.value == kind and refusal.retry_after > 0, refusal


@then('the proxy refused call {call:d} as "{kind}"')
def refused(context: Context, call: int, kind: str) -> None:
    assert context.proxy.refusal(call).kind.value == kind


@then('call {call:d} failed as "{kind}" with outcome "{outcome}"')
def refused_with_outcome(context: Context, call: int, kind: str, outcome: str) -> None:
    refusal = context.proxy.refusal(call)
    assert (refusal.kind.value, refusal.outcome.value) == (kind, outcome), refusal


@then('the sent call carries header "{name}" only as "{value}"')
def carries_header(context: Context, name: str, value: str) -> None:
    headers = context.proxy.sent_calls[-1][1].headers
    assert [h.value for h in headers if h.name == name.encode()] == [value.encode()]


@then('the sent call does not carry header "{name}"')
def lacks_header(context: Context, name: str) -> None:
    assert name.encode() not in [h.name for h in context.proxy.sent_calls[-1][1].headers]


@when("a caller uploads {size:d} bytes")
def caller_uploads(context: Context, size: int) -> None:
    context.proxy.ask("/orders/photo", "POST", body=bytes(range(256)) * (size // 256))


@then("the agent has {size:d} bytes of the upload")
def agent_has_bytes(context: Context, size: int) -> None:
    assert len(context.proxy.uploaded) == size, len(context.proxy.uploaded)


@when("the agent gives credit for {size:d} bytes")
def agent_gives_credit(context: Context, size: int) -> None:
    connection, start = context.proxy.open_attempts[-1]
    context.proxy.post(MessageReceived(connection, CallCredit(stream=start.stream, bytes=size)))


@then("the agent has the whole upload of {size:d} bytes")
def agent_has_upload(context: Context, size: int) -> None:
    assert bytes(context.proxy.uploaded) == bytes(range(256)) * (size // 256)


@then("the agent was told to cancel")
def told_to_cancel(context: Context) -> None:
    assert context.proxy.cancels == 1


@then("call {call:d} got the answer of its agent")
def got_answer(context: Context, call: int) -> None:
    final = context.proxy.final_answer(call)
    assert isinstance(final, CallAnswer) and final.status == 200, final


@then("call {second:d} got the same answer as call {first:d}")
def got_same_answer(context: Context, second: int, first: int) -> None:
    finals = [context.proxy.final_answer(call) for call in (first, second)]
    assert finals[0].body == finals[1].body and finals[0].status == finals[1].status


@then("{count:d} call was sent to an agent")
@then("{count:d} calls were sent to agents")
def sent_count(context: Context, count: int) -> None:
    assert len(context.proxy.sent_calls) == count


@then("the draining agent gets no further call")
def draining_gets_none(context: Context) -> None:
    proxy = context.proxy
    draining = proxy.sent_calls[0][0]
    for _ in range(20):
        proxy.ask("/baskets/2")
        assert proxy.open_attempts[-1][0] != draining
        proxy.answer(*proxy.open_attempts[-1])


@given("any routes and paths, the proxy's table agrees with a search through all prefixes")
def check_longest_prefix(context: Context) -> None:
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


@given("any order of valid, late and mismatched answers, every caller gets its own answer")
def mismatched_answers(context: Context) -> None:
    steps = st.lists(st.tuples(st.sampled_from("atcsoxl"), st.integers(0, 30)), max_size=40)

    @derandomized
    @examples(steps)
    def check(plan: list[tuple[str, int]]) -> None:
        proxy = ProxyHarness(3).start()
        targets: dict[int, bytes] = {}
        for action, number in plan:
            perform_step(proxy, targets, action, number)
        proxy.advance(3.0)
        for call, target in targets.items():
            final = proxy.final_answer(call)
            assert isinstance(final, Failure) or final.body == target, (target, final)

    check()


def perform_step(proxy: ProxyHarness, targets: dict[int, bytes], action: str, number: int) -> None:
    """Perform a random step.

    "a" starts a call, "t" advances time, "c" answers with another attempt's identifier, "s" answers
    any attempt sent so far, "x" sends a late body chunk, "o" answers an open attempt and "l" loses
    a link.
    """
    if action == "a":
        target = f"/baskets/{len(targets)}"
        targets[proxy.ask(target)] = target.encode()
    elif action == "t":
        proxy.advance(number / 20)
    elif proxy.sent_calls:
        connection, start = proxy.sent_calls[number % len(proxy.sent_calls)]
        other = proxy.sent_calls[(number + 1) % len(proxy.sent_calls)][1]
        mismatched = CallStart(
            stream=start.stream, attempt_id=other.attempt_id, target=other.target
        )
        match action:
            case "c" if mismatched.attempt_id != start.attempt_id:
                proxy.post(MessageReceived(connection, mismatched_answer(mismatched)))
            case "s":
                proxy.answer(connection, start)
            case "x":
                late_body = ResponseBody(stream=start.stream, data=b"late", end=True)
                proxy.post(MessageReceived(connection, late_body))
            case "o" if proxy.open_attempts:
                answer_current_attempt(
                    proxy, targets, *proxy.open_attempts[number % len(proxy.open_attempts)]
                )
            case "l" if connection in proxy.links:
                proxy.close_link(connection)


def answer_current_attempt(
    proxy: ProxyHarness, targets: dict[int, bytes], connection: int, start: CallStart
) -> None:
    """Answer an open attempt and check that its call, if unanswered, gets this answer."""
    waiting = [
        c for c, target in targets.items() if target == start.target and not proxy.answers[c]
    ]
    proxy.answer(connection, start)
    for call in waiting:
        final = proxy.final_answer(call)
        assert isinstance(final, CallAnswer) and final.body == start.target


def mismatched_answer(start: CallStart) -> ResponseStart:
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
def check_retries_under_overload(context: Context) -> None:
    @derandomized
    @examples(st.integers(1, 120), st.integers(1, 5), st.booleans())
    def check(calls: int, endpoints: int, unknown: bool) -> None:
        proxy = ProxyHarness(endpoints).start()
        kind = ErrorKind.BACKEND_FAILED if unknown else ErrorKind.OVERLOADED
        for _ in range(calls):
            proxy.ask("/baskets/1")
            while proxy.open_attempts:
                proxy.refuse(*proxy.open_attempts[-1], kind)
        assert len(proxy.sent_calls) - calls <= calls * 10 // 100

    check()


@given("any order of first attempts and retries, the retry budget holds")
def budget_holds(context: Context) -> None:
    @derandomized
    @examples(st.integers(1, 100), st.lists(st.booleans(), max_size=400))
    def check(percent: int, plan: list[bool]) -> None:
        budget = RetryBudget(percent)
        first_attempts = taken = 0
        for is_first in plan:
            if is_first:
                budget.record_first_attempt()
                first_attempts += 1
            else:
                taken += budget.try_take()
            assert taken * 100 <= first_attempts * percent

    check()
