"""Steps for paced responses: on a modelled link, in the pacer, and at an agent."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.interface import AttemptAnswered, StartAttempt
from limelever.agent.response_pacer import (
    AHEAD_SECONDS,
    CHUNK_SECONDS,
    CallTiming,
    ResponsePacer,
)
from limelever.protocol.calls_pb2 import CallCancel, CallFailed, ResponseBody, ResponseStart
from limelever_lab.links.answer_model import AnswerLoad, AnswerModel, AnswerOutcome, Leaving

SEED = 1
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)
RATE = 262_500
NOW = 10.0
UNLIMITED_CREDIT = 1 << 30
TARGET = 5.0
MIN_GOODPUT = 0.8


@given("long responses with a demand of {percent:d} percent of a link of {rate:d} bytes a second")
def given_load(context: Context, percent: int, rate: int) -> None:
    context.load = AnswerLoad(rate=rate, asked=percent / 100)


@given(
    "downloads of {size:d} bytes, {rate:g} a second, on a link of {link:d} bytes a second, with "
    "{work:d} ms of work and {target:d} ms to their targets"
)
def given_downloads(
    context: Context, size: int, rate: float, link: int, work: int, target: int
) -> None:
    context.load = AnswerLoad(
        rate=link,
        asked=size * rate / link,
        answer_bytes=size,
        service_time=work / 1000,
        target=target / 1000,
    )


@given("{count:d} lookups a second on the same link")
def given_lookups(context: Context, count: int) -> None:
    context.load = replace(context.load, short_answers=float(count))


@when("a lookup of {work:d} ms of work is admitted at any backlog of downloads")
def lookup_admitted(context: Context, work: int) -> None:
    pacer = ResponsePacer(context.load.rate)
    pacer.observe("lookup", 1500)
    for number in range(50):
        pacer.add(number, context.load.answer_bytes, UNLIMITED_CREDIT, NOW + TARGET)
    seconds = work / 1000
    assert pacer.lateness("lookup", CallTiming(NOW + 0.378, NOW + 1.0, seconds), NOW) == 0.0


def simulate(context: Context, leaving: Leaving) -> AnswerOutcome:
    outcome = AnswerModel(context.load, leaving, SEED).run()
    assert outcome.long.count > 100, outcome
    return outcome


@when("they are paced, the p99 latency of short responses is at most {limit:d} ms")
def short_fast(context: Context, limit: int) -> None:
    assert simulate(context, Leaving.PACED).short.p99_ms <= limit


@when("they are not paced, the p99 latency of short responses is more than {limit:d} ms")
def short_slow(context: Context, limit: int) -> None:
    assert simulate(context, Leaving.PUSHED).short.p99_ms > limit


@when("they are paced, at least {least:d} percent of the admitted calls meet their target")
def run_in_target(context: Context, least: int) -> None:
    outcome = simulate(context, Leaving.PACED)
    assert outcome.in_target >= least / 100 * (1 - outcome.refused), outcome


@when(
    "more of all calls meet their target than without pacing, and 80 percent of those the link "
    "can carry"
)
def more_in_target(context: Context) -> None:
    paced = simulate(context, Leaving.PACED).in_target
    assert paced >= MIN_GOODPUT * min(1.0, 1.0 / context.load.asked), paced
    assert paced > simulate(context, Leaving.PUSHED).in_target, paced


@then("any responses are sent completely, once, with at most two chunks queued on the link")
def sent_completely(context: Context) -> None:
    @PROPERTY
    @examples(
        st.lists(st.tuples(st.integers(8193, 60_000), st.floats(-1.0, 2.0)), min_size=1, max_size=8)
    )
    def check(responses) -> None:
        pacer = ResponsePacer(RATE)
        for number, (size, target) in enumerate(responses):
            pacer.add(number, size, UNLIMITED_CREDIT, NOW + target)
        sent = [0] * len(responses)
        now, on_link_until = NOW, NOW
        while True:
            for chunk in pacer.next_chunks(now):
                assert chunk.size <= RATE * CHUNK_SECONDS
                sent[chunk.response] += chunk.size
                on_link_until = max(now, on_link_until) + chunk.size / RATE
                assert on_link_until - now <= AHEAD_SECONDS + CHUNK_SECONDS
            send_time = pacer.next_send_time()
            if send_time is None:
                break
            assert send_time > now
            now = send_time
        assert sent == [size for size, _ in responses]

    check()


@given("a response pacer for a link of {rate:d} bytes a second")
def given_link(context: Context, rate: int) -> None:
    context.pacer, context.now, context.left = ResponsePacer(rate), NOW, {}


def add(context: Context, response: int, size: int, credit: int, seconds: float = TARGET) -> None:
    context.left[response] = size
    context.pacer.add(response, size, credit, NOW + seconds)


def send_all(context: Context) -> list[int]:
    """Advance time until nothing is left to send; return the completed responses in order."""
    ended = []
    while (send_time := context.pacer.next_send_time()) is not None:
        context.now = max(context.now, send_time)
        for chunk in context.pacer.next_chunks(context.now):
            context.left[chunk.response] -= chunk.size
            if not context.left[chunk.response]:
                ended.append(chunk.response)
    return ended


@given(
    "responses 1, 2 and 3 of {size:d} bytes with {a:d}, {b:d} and {c:d} seconds to their targets"
)
def given_three(context: Context, size: int, a: int, b: int, c: int) -> None:
    for response, seconds in ((1, a), (2, b), (3, c)):
        add(context, response, size, UNLIMITED_CREDIT, seconds)


@then("they complete in the order {a:d}, {b:d}, {c:d}")
def end_in_order(context: Context, a: int, b: int, c: int) -> None:
    ended = send_all(context)
    assert ended == [a, b, c], ended


@given("response 1 of {size:d} bytes with credit for {credit:d}, and response 2 of {other:d} bytes")
def given_partial_credit(context: Context, size: int, credit: int, other: int) -> None:
    add(context, 1, size, credit)
    add(context, 2, other, UNLIMITED_CREDIT)


@then("response 2 completes, and response 1 has {left:d} unsent bytes")
def second_ends(context: Context, left: int) -> None:
    assert send_all(context) == [2]
    assert context.left[1] == left


@when("response 1 gets credit for {size:d} more bytes")
def give_credit(context: Context, size: int) -> None:
    context.pacer.add_credit(1, size)


@then("response 1 completes")
def first_ends(context: Context) -> None:
    assert send_all(context) == [1]


@then("no response is paced, and a call with 1 ms to its target is admitted after 50 long ones")
def is_admitted(context: Context) -> None:
    pacer = context.pacer
    assert not pacer.is_paced(UNLIMITED_CREDIT)
    for call in range(50):
        pacer.observe("long", 1_000_000)
        pacer.reserve(call, "long")
    assert pacer.lateness("long", CallTiming(NOW + 0.001, NOW + 1.0, 0.0), NOW) == 0.0
    assert pacer.backlog_seconds(NOW) == 0.0


@when("the back end answers agent stream {stream:d} with {size:d} bytes")
def answered(context: Context, stream: int, size: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.agent.handle(AttemptAnswered(attempt, 200, (), bytes(size)))


@when("the agent's clock advances by {seconds:g} seconds")
def advance_clock(context: Context, seconds: float) -> None:
    context.agent.advance(seconds)


def sent_body(agent: AgentHarness, stream: int) -> tuple[int, list[bool]]:
    """Return the number of body bytes sent, and the end flag of each message."""
    heads = [head for head in agent.sent(PROXY_CONNECTION, ResponseStart) if head.stream == stream]
    assert len(heads) == 1, heads
    chunks = [
        chunk for chunk in agent.sent(PROXY_CONNECTION, ResponseBody) if chunk.stream == stream
    ]
    size = len(heads[0].body) + sum(len(chunk.data) for chunk in chunks)
    return size, [heads[0].end, *(chunk.end for chunk in chunks)]


@then("the proxy has the head of agent stream {stream:d} and less than {size:d} bytes of its body")
def has_head(context: Context, stream: int, size: int) -> None:
    sent, ends = sent_body(context.agent, stream)
    assert sent < size, sent
    assert not any(ends)


@then("the proxy has the complete response of agent stream {stream:d}, {size:d} bytes")
def has_complete(context: Context, stream: int, size: int) -> None:
    sent, ends = sent_body(context.agent, stream)
    assert sent == size, sent
    assert ends[-1] and not any(last for last, _ in pairwise(ends)), ends


@when("the agent gets a call on agent stream {stream:d} with {target:d} ms to its target")
def call_with_target(context: Context, stream: int, target: int) -> None:
    context.agent.send(call_start(stream, target_left_ms=target))


@then("agent stream {stream:d} was never sent to the back end")
def never_sent(context: Context, stream: int) -> None:
    targets = [attempt.target for attempt in context.agent.outputs_of(StartAttempt)]
    assert str(stream).encode() not in targets, targets


@then("the proxy of agent stream {stream:d} was told to retry after {least:d} to {most:d} ms")
def told_retry(context: Context, stream: int, least: int, most: int) -> None:
    failures = context.agent.sent(PROXY_CONNECTION, CallFailed)
    (failure,) = [each for each in failures if each.stream == stream]
    assert least <= failure.retry_after_ms <= most, failure


@then("no chunk of agent stream {stream:d} was marked as the last")
def none_last(context: Context, stream: int) -> None:
    _, ends = sent_body(context.agent, stream)
    assert not any(ends)


@when("the proxy cancels agent stream {stream:d}")
def cancels(context: Context, stream: int) -> None:
    context.agent.send(CallCancel(stream=stream))


@then("the agent sent less than {size:d} bytes of agent stream {stream:d}")
def sent_less(context: Context, size: int, stream: int) -> None:
    sent, _ = sent_body(context.agent, stream)
    assert sent < size, sent
