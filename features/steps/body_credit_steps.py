"""Steps for the credit that an agent gives for bodies, on its own and on a modelled link."""

from __future__ import annotations

from agent_harness import PROXY_LINK, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.body_credit import PARTS_ASKED, BodyCredit
from limelever.protocol.calls_pb2 import CallFailed
from limelever_lab.links.model import LinkLoad, LinkModel, Sending

SEED = 1
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)
RATE = 262_500
PART = 4200


@given("bodies that take {part:d} percent of a link of {rate:d} bytes a second")
def given_load(context: Context, part: int, rate: int) -> None:
    context.load = LinkLoad(rate=rate, used_by_bodies=part / 100)


def short_p99(context: Context, sending: Sending) -> float:
    outcome = LinkModel(context.load, sending, SEED).run()
    assert outcome.bodies.count > 100, outcome
    return outcome.short.p99_ms


@when("they are sent by credit, 99 in 100 short calls pass within {limit:d} ms")
def by_credit(context: Context, limit: int) -> None:
    assert short_p99(context, Sending.BY_CREDIT) <= limit


@when("when they are pushed, they take more than {limit:d} ms")
def pushed(context: Context, limit: int) -> None:
    assert short_p99(context, Sending.PUSHED) > limit


@then("any bodies are asked for whole, once, and never more than three parts at a time")
def asked_whole(context: Context) -> None:
    @PROPERTY
    @examples(
        st.lists(st.integers(1, 50_000), min_size=1, max_size=8), st.randoms(use_true_random=False)
    )
    def check(sizes, random) -> None:
        credit = BodyCredit(RATE)
        asked = [0] * len(sizes)
        coming: list[tuple[int, int]] = []
        for call, size in enumerate(sizes):
            credit.add(call, size)
        now = 0.0
        while True:
            for grant in credit.grants(now):
                asked[grant.call] += grant.size
                coming.append((grant.call, grant.size))
            assert sum(size for _, size in coming) <= PART * PARTS_ASKED
            if not coming:
                break
            call, size = coming.pop(random.randrange(len(coming)))
            now += 0.001
            credit.arrived(call, size, now)
            if asked[call] == sizes[call] and all(other != call for other, _ in coming):
                credit.remove(call)
        assert asked == sizes

    check()


@given("a credit of a link of {rate:d} bytes a second")
def given_credit(context: Context, rate: int) -> None:
    context.credit, context.now = BodyCredit(rate), 10.0


@given("body 1 of {first:d} bytes and body 2 of {second:d} bytes")
def given_bodies(context: Context, first: int, second: int) -> None:
    context.sizes = {1: first, 2: second}
    for call, size in context.sizes.items():
        context.credit.add(call, size)


@then("body {call:d} is asked for first")
@then("body {call:d} is asked for")
def asked_first(context: Context, call: int) -> None:
    grants = context.credit.grants(context.now)
    assert grants and grants[0].call == call, grants


@when("nothing comes for {seconds:g} seconds")
def nothing_comes(context: Context, seconds: float) -> None:
    due = context.credit.next_deadline()
    context.now += seconds
    assert due is not None and due <= context.now, due


@then("the credit wants no timer that has passed")
def no_passed_timer(context: Context) -> None:
    context.credit.grants(context.now)
    due = context.credit.next_deadline()
    assert due is None or due > context.now, due


@then("both bodies are asked for whole")
def both_whole(context: Context) -> None:
    grants = context.credit.grants(context.now)
    assert {grant.call: grant.size for grant in grants} == context.sizes, grants


@then("a body of {size:d} bytes is expected in {milliseconds:d} ms")
def expected_in(context: Context, size: int, milliseconds: int) -> None:
    assert round(context.credit.expected_time(size) * 1000) == milliseconds


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
    failures = context.agent.sent(PROXY_LINK, CallFailed)
    assert stream not in [failure.stream for failure in failures], failures
