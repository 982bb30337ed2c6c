"""Steps for long answers on a machine's link: in a model, in the core for it, and at an agent."""

from __future__ import annotations

from itertools import pairwise

from agent_harness import PROXY_LINK, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.answer_link import AHEAD_SECONDS, PART_SECONDS, AnswerLink, AnswerTimes
from limelever.agent.interface import AttemptAnswered, StartAttempt
from limelever.protocol.calls_pb2 import CallCancel, CallFailed, ResponseBody, ResponseStart
from limelever_lab.links.answer_model import AnswerLoad, AnswerModel, AnswerOutcome, Leaving

SEED = 1
PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)
RATE = 262_500
NOW = 10.0
TAKEN_WHOLE = 1 << 30
TARGET = 5.0
FOUR_IN_FIVE = 0.8


@given("long answers that ask for {part:d} percent of a link of {rate:d} bytes a second")
def given_load(context: Context, part: int, rate: int) -> None:
    context.load = AnswerLoad(rate=rate, asked=part / 100)


def played(context: Context, leaving: Leaving) -> AnswerOutcome:
    outcome = AnswerModel(context.load, leaving, SEED).run()
    assert outcome.long.count > 100, outcome
    return outcome


@when("they are paced, 99 in 100 short answers pass within {limit:d} ms")
def short_pass(context: Context, limit: int) -> None:
    assert played(context, Leaving.PACED).short.p99_ms <= limit


@when("when the long answers are pushed, short ones take more than {limit:d} ms")
def short_held_up(context: Context, limit: int) -> None:
    assert played(context, Leaving.PUSHED).short.p99_ms > limit


@when("they are paced, {least:d} in 100 of those that run are in their target")
def run_in_target(context: Context, least: int) -> None:
    outcome = played(context, Leaving.PACED)
    assert outcome.in_target >= least / 100 * (1 - outcome.refused), outcome


@when("more of all that come than if pushed, and four in five of what the link can carry")
def all_in_target(context: Context) -> None:
    paced = played(context, Leaving.PACED).in_target
    assert paced >= FOUR_IN_FIVE * min(1.0, 1.0 / context.load.asked), paced
    assert paced > played(context, Leaving.PUSHED).in_target, paced


@then("any answers leave whole, once, with at most two parts in hand")
def leave_whole(context: Context) -> None:
    @PROPERTY
    @examples(
        st.lists(st.tuples(st.integers(8193, 60_000), st.floats(-1.0, 2.0)), min_size=1, max_size=8)
    )
    def check(answers) -> None:
        link = AnswerLink(RATE)
        for number, (size, target) in enumerate(answers):
            link.add(number, size, TAKEN_WHOLE, NOW + target)
        sent = [0] * len(answers)
        now, on_link_until = NOW, NOW
        while True:
            for part in link.parts(now):
                assert part.size <= RATE * PART_SECONDS
                sent[part.answer] += part.size
                on_link_until = max(now, on_link_until) + part.size / RATE
                assert on_link_until - now <= AHEAD_SECONDS + PART_SECONDS
            turn = link.next_turn()
            if turn is None:
                break
            assert turn > now
            now = turn
        assert sent == [size for size, _ in answers]

    check()


@given("an answer link of {rate:d} bytes a second")
def given_link(context: Context, rate: int) -> None:
    context.link, context.now, context.left = AnswerLink(rate), NOW, {}


def add(context: Context, answer: int, size: int, taken: int, seconds: float = TARGET) -> None:
    context.left[answer] = size
    context.link.add(answer, size, taken, NOW + seconds)


def let_leave(context: Context) -> list[int]:
    """Let time go on until nothing waits for a turn; return the answers that ended, in order."""
    ended = []
    while (turn := context.link.next_turn()) is not None:
        context.now = max(context.now, turn)
        for part in context.link.parts(context.now):
            context.left[part.answer] -= part.size
            if not context.left[part.answer]:
                ended.append(part.answer)
    return ended


@given("answers 1, 2 and 3 of {size:d} bytes with {a:d}, {b:d} and {c:d} seconds to their targets")
def given_three(context: Context, size: int, a: int, b: int, c: int) -> None:
    for answer, seconds in ((1, a), (2, b), (3, c)):
        add(context, answer, size, TAKEN_WHOLE, seconds)


@then("they end in the order {a:d}, {b:d}, {c:d}")
def end_in_order(context: Context, a: int, b: int, c: int) -> None:
    ended = let_leave(context)
    assert ended == [a, b, c], ended


@given("answer 1 of {size:d} bytes of which {taken:d} are taken, and answer 2 of {other:d} bytes")
def given_untaken(context: Context, size: int, taken: int, other: int) -> None:
    add(context, 1, size, taken)
    add(context, 2, other, TAKEN_WHOLE)


@then("answer 2 ends, and answer 1 has left {left:d} bytes")
def second_ends(context: Context, left: int) -> None:
    assert let_leave(context) == [2]
    assert context.left[1] == left


@when("{size:d} more bytes of answer 1 are taken")
def take_more(context: Context, size: int) -> None:
    context.link.allow(1, size)


@then("answer 1 ends")
def first_ends(context: Context) -> None:
    assert let_leave(context) == [1]


@then("no answer is paced there, and a call with 1 ms to its target has room after 50 long ones")
def has_room(context: Context) -> None:
    link = context.link
    assert not link.is_paced(TAKEN_WHOLE)
    for call in range(50):
        link.observe("long", 1_000_000)
        link.expect(call, "long")
    assert link.too_late_by("long", AnswerTimes(NOW + 0.001, NOW + 1.0, 0.0), NOW) == 0.0
    assert link.wait(NOW) == 0.0


@when("the back end answers agent stream {stream:d} with {size:d} bytes")
def answered(context: Context, stream: int, size: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.agent.handle(AttemptAnswered(attempt, 200, (), bytes(size)))


@when("the agent's time goes on by {seconds:g} seconds")
def time_goes_on(context: Context, seconds: float) -> None:
    context.agent.advance(seconds)


def body_of(agent: AgentHarness, stream: int) -> tuple[int, list[bool]]:
    """Return how many bytes of an answer's body were sent, and which messages were the last."""
    heads = [head for head in agent.sent(PROXY_LINK, ResponseStart) if head.stream == stream]
    assert len(heads) == 1, heads
    parts = [part for part in agent.sent(PROXY_LINK, ResponseBody) if part.stream == stream]
    size = len(heads[0].body) + sum(len(part.data) for part in parts)
    return size, [heads[0].end, *(part.end for part in parts)]


@then("the proxy has the head of agent stream {stream:d} and less than {size:d} bytes of its body")
def has_head(context: Context, stream: int, size: int) -> None:
    sent, ends = body_of(context.agent, stream)
    assert sent < size, sent
    assert not any(ends)


@then("the proxy has the whole answer of agent stream {stream:d}, {size:d} bytes")
def has_whole(context: Context, stream: int, size: int) -> None:
    sent, ends = body_of(context.agent, stream)
    assert sent == size, sent
    assert ends[-1] and not any(last for last, _ in pairwise(ends)), ends


@when("the agent gets a call on agent stream {stream:d} with {target:d} ms to its target")
def call_with_target(context: Context, stream: int, target: int) -> None:
    context.agent.send(call_start(stream, target_left_ms=target))


@then("agent stream {stream:d} was never handed to the back end")
def never_handed(context: Context, stream: int) -> None:
    targets = [attempt.target for attempt in context.agent.outputs_of(StartAttempt)]
    assert str(stream).encode() not in targets, targets


@then("the proxy of agent stream {stream:d} was told to come back in {least:d} to {most:d} ms")
def told_time(context: Context, stream: int, least: int, most: int) -> None:
    failures = context.agent.sent(PROXY_LINK, CallFailed)
    (failure,) = [each for each in failures if each.stream == stream]
    assert least <= failure.retry_after_ms <= most, failure


@then("no part of agent stream {stream:d} was marked as the last")
def none_last(context: Context, stream: int) -> None:
    _, ends = body_of(context.agent, stream)
    assert not any(ends)


@when("the proxy cancels agent stream {stream:d}")
def cancels(context: Context, stream: int) -> None:
    context.agent.send(CallCancel(stream=stream))


@then("the agent sent less than {size:d} bytes of agent stream {stream:d}")
def sent_less(context: Context, size: int, stream: int) -> None:
    sent, _ = body_of(context.agent, stream)
    assert sent < size, sent
