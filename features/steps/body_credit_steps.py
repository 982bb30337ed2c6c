"""Steps for the body credit scheduler, on its own and on a modelled link."""

from __future__ import annotations

from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.body_credit import MAX_CHUNKS_IN_FLIGHT, BodyCreditScheduler
from limelever.protocol.calls_pb2 import CallFailed
from limelever_lab.links.model import LinkLoad, LinkModel, Sending

SEED = 1
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)
RATE = 262_500
CHUNK_BYTES = 4200


@given("bodies with a demand of {percent:d} percent of a link of {rate:d} bytes a second")
def given_load(context: Context, percent: int, rate: int) -> None:
    context.load = LinkLoad(rate=rate, used_by_bodies=percent / 100)


def short_p99(context: Context, sending: Sending) -> float:
    outcome = LinkModel(context.load, sending, SEED).run()
    assert outcome.bodies.count > 100, outcome
    return outcome.short.p99_ms


@when("they are sent by credit, the p99 latency of short calls is at most {limit:d} ms")
def fast_by_credit(context: Context, limit: int) -> None:
    assert short_p99(context, Sending.BY_CREDIT) <= limit


@when("they are sent without credit, the p99 latency of short calls is more than {limit:d} ms")
def slow_without_credit(context: Context, limit: int) -> None:
    assert short_p99(context, Sending.PUSHED) > limit


@then("any bodies are requested completely, once, with at most three chunks in flight")
def requested_completely(context: Context) -> None:
    @PROPERTY
    @examples(
        st.lists(st.integers(1, 50_000), min_size=1, max_size=8), st.randoms(use_true_random=False)
    )
    def check(sizes, random) -> None:
        credit = BodyCreditScheduler(RATE)
        requested = [0] * len(sizes)
        in_flight: list[tuple[int, int]] = []
        for call, size in enumerate(sizes):
            credit.add(call, size)
        now = 0.0
        while True:
            for grant in credit.grants(now):
                requested[grant.call] += grant.size
                in_flight.append((grant.call, grant.size))
            assert sum(size for _, size in in_flight) <= CHUNK_BYTES * MAX_CHUNKS_IN_FLIGHT
            if not in_flight:
                break
            call, size = in_flight.pop(random.randrange(len(in_flight)))
            now += 0.001
            credit.received(call, size, now)
            if requested[call] == sizes[call] and all(other != call for other, _ in in_flight):
                credit.remove(call)
        assert requested == sizes

    check()


@given("a credit scheduler for a link of {rate:d} bytes a second")
def given_credit(context: Context, rate: int) -> None:
    context.credit, context.now = BodyCreditScheduler(rate), 10.0


@given("body 1 of {first:d} bytes and body 2 of {second:d} bytes")
def given_bodies(context: Context, first: int, second: int) -> None:
    context.sizes = {1: first, 2: second}
    for call, size in context.sizes.items():
        context.credit.add(call, size)


@then("body {call:d} is requested first")
@then("body {call:d} is requested")
def requested_first(context: Context, call: int) -> None:
    grants = context.credit.grants(context.now)
    assert grants and grants[0].call == call, grants


@when("nothing arrives for {seconds:g} seconds")
def nothing_arrives(context: Context, seconds: float) -> None:
    due = context.credit.next_deadline()
    context.now += seconds
    assert due is not None and due <= context.now, due


@then("the credit scheduler sets no timer in the past")
def no_passed_timer(context: Context) -> None:
    context.credit.grants(context.now)
    due = context.credit.next_deadline()
    assert due is None or due > context.now, due


@then("both bodies are requested completely")
def both_completely(context: Context) -> None:
    grants = context.credit.grants(context.now)
    assert {grant.call: grant.size for grant in grants} == context.sizes, grants


@then("a body of {size:d} bytes is expected in {milliseconds:d} ms")
def expected_in(context: Context, size: int, milliseconds: int) -> None:
    assert round(context.credit.transfer_time(size) * 1000) == milliseconds


@given("an agent on a link of {rate:d} bytes a second and a proxy")
def given_agent(context: Context, rate: int) -> None:
    context.agent = AgentHarness(1, link_rate=rate)
    context.agent.add_proxy()


@when(
    "the agent gets the head of a call on agent stream {stream:d} with a body of {size:d} bytes "
    "and {target:d} ms to its target"
)
def send_head(context: Context, stream: int, size: int, target: int) -> None:
    fields = {"awaits_credit": True, "body_bytes": size, "target_left_ms": target}
    context.agent.send(call_start(stream, end=False, **fields))


@then("agent stream {stream:d} has not failed")
def not_failed(context: Context, stream: int) -> None:
    failures = context.agent.sent(PROXY_CONNECTION, CallFailed)
    assert stream not in [failure.stream for failure in failures], failures
