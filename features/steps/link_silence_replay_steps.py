"""Steps for the silence of links in replays of a proxy's calls."""

from __future__ import annotations

import random

from behave import given, then, when
from behave.runner import Context
from link_silence_replay import Replay

from limelever.proxy.link_silence import LinkSilence, StepKind

LINKS = 69
VANISHED = 12
SEEDS = range(1, 9)
STEP_SECONDS = 0.01


def run_quietly(silence: LinkSilence, busy: set[int], start: float, end: float) -> list[int]:
    """Let time pass without a message; return the links that become suspect."""
    suspects = []
    while (deadline := silence.next_deadline()) is not None and deadline <= end:
        for step in silence.check(busy, max(start, deadline)):
            if step.kind is StepKind.SUSPECT:
                suspects.append(step.connection)
    return suspects


@given("{count:d} links, each with a call in progress")
def links_with_calls(context: Context, count: int) -> None:
    """Links whose calls were sent, and whose last messages came, at different moments."""
    context.silence = LinkSilence()
    context.busy = set(range(1, count + 1))
    generator = random.Random(1)
    context.now = 10.0
    for at, link in sorted((context.now - generator.uniform(0, 0.3), n) for n in context.busy):
        context.silence.call_sent(link, at, was_idle=True)
    for link in range(1000, 1003):
        context.silence.heard(link, context.now)
    context.suspects = []


@when("nothing arrives on any link for {seconds:f} seconds")
def nothing_arrives(context: Context, seconds: float) -> None:
    end = context.now + seconds
    context.suspects += run_quietly(context.silence, context.busy, context.now, end)
    context.now = end


@when("only {count:d} connections of its own machine are heard for {seconds:f} seconds")
def own_machine_heard(context: Context, count: int, seconds: float) -> None:
    for _ in range(round(seconds / STEP_SECONDS)):
        for own in range(count):
            context.silence.heard(1000 + own, context.now)
        nothing_arrives(context, STEP_SECONDS)


@when("{count:d} of the links are heard again, the others {seconds:f} seconds later")
def heard_again(context: Context, count: int, seconds: float) -> None:
    for link in sorted(context.busy)[:count]:
        context.silence.heard(link, context.now)
    nothing_arrives(context, seconds)
    for link in sorted(context.busy)[count:]:
        context.silence.heard(link, context.now)
    nothing_arrives(context, 0.1)


@then("no link was suspected")
def none_suspected(context: Context) -> None:
    if "replays" in context:
        for replay in context.replays:
            assert not replay.suspected_at, replay.suspected_at
    else:
        assert not context.suspects, context.suspects


@given("{count:d} links, each with a call in progress, and {others:d} others heard all the time")
def links_beside_others(context: Context, count: int, others: int) -> None:
    context.busy = set(range(1, count + 1))
    context.others = range(1000, 1000 + others)


@when("the proxy is suspended for {seconds:f} seconds at any moment")
def suspended(context: Context, seconds: float) -> None:
    """After the suspension the other connections are heard first, then the timer fires."""
    context.suspended_for = seconds
    context.suspects = []


@when("the links are heard {seconds:f} seconds after it runs again")
def links_heard_later(context: Context, seconds: float) -> None:
    for hundredth in range(55):
        silence, now = LinkSilence(), 10.0
        for link in context.busy:
            silence.call_sent(link, now, was_idle=True)
        end = now + hundredth * STEP_SECONDS
        run_quietly(silence, context.busy, now, end)
        now = end + context.suspended_for
        for passed in range(round(seconds / STEP_SECONDS)):
            for other in context.others:
                silence.heard(other, now + passed * STEP_SECONDS)
            at = now + passed * STEP_SECONDS
            context.suspects += run_at(silence, context.busy, at)


def run_at(silence: LinkSilence, busy: set[int], now: float) -> list[int]:
    steps = silence.check(busy, now)
    return [step.connection for step in steps if step.kind is StepKind.SUSPECT]


@given("a proxy with a link to each of {links:d} agents and {rate:d} calls a second of {ms:d} ms")
def replayed_proxy(context: Context, links: int, rate: int, ms: int) -> None:
    context.replays = [Replay(links, rate, ms / 1000, seed) for seed in SEEDS]


@given("answers of probes wait up to {seconds:f} seconds on slow links")
def slow_answers(context: Context, seconds: float) -> None:
    for replay in context.replays:
        replay.probe_answer_wait = seconds


@given("{percent:d} in 100 packets are lost")
def lossy(context: Context, percent: int) -> None:
    for replay in context.replays:
        replay.loss = percent / 100


@when("{count:d} of the machines vanish for {seconds:f} seconds")
def machines_vanish(context: Context, count: int, seconds: float) -> None:
    for replay in context.replays:
        replay.start_calls()
        replay.run(5.0)
        replay.vanish(set(replay.random.sample(range(1, replay.links + 1), count)))
        replay.suspected_links = set(replay.vanished)
        replay.run(seconds)
        replay.open_at_return = len(replay.lost_since)
        replay.come_back()
        replay.run(5.0)


@then("each of their links was suspect {least:f} to {most:f} seconds after its first lost call")
def suspect_in_time(context: Context, least: float, most: float) -> None:
    times = []
    for replay in context.replays:
        for link, since in replay.lost_since.items():
            if since > replay.vanished_at + 3.0 - most:
                continue
            (suspected, *_) = replay.suspected_at.get(link, [float("inf")])
            times.append(round(suspected - since, 3))
    assert len(times) > VANISHED * len(context.replays) / 2, times
    assert all(least <= each <= most for each in times), sorted(times)


@then("no other link was suspected")
def no_other(context: Context) -> None:
    for replay in context.replays:
        assert replay.suspected_at.keys() <= replay.suspected_links, replay.suspected_at


@then("at most {count:d} probes were sent on each vanished link")
def few_probes(context: Context, count: int) -> None:
    for replay in context.replays:
        assert all(replay.probes[link] <= count for link in replay.suspected_links), replay.probes


@when("{seconds:d} seconds pass without a fault")
def ordinary_time(context: Context, seconds: int) -> None:
    for replay in context.replays:
        replay.start_calls()
        replay.run(seconds)


@then("{probes:d} probes were sent for {calls:d} calls")
def cost(context: Context, probes: int, calls: int) -> None:
    for replay in context.replays:
        assert abs(replay.calls - calls) <= 1, replay.calls
        assert replay.probes.total() == probes, replay.probes.total()


@then("at most {count:d} probes a call were sent, and no link was suspected")
def cost_of_long(context: Context, count: int) -> None:
    for replay in context.replays:
        assert replay.probes.total() <= count * replay.calls, replay.probes.total()
        assert not replay.suspected_at, replay.suspected_at


@then("fewer than 1 in {part:d} calls met a suspect link, and each suspicion ended")
def few_suspicions(context: Context, part: int) -> None:
    suspicions = sum(len(times) for r in context.replays for times in r.suspected_at.values())
    calls = sum(replay.calls for replay in context.replays)
    ended = sum(replay.cleared.total() for replay in context.replays)
    assert suspicions * part < calls, (suspicions, calls)
    assert suspicions == ended + sum(r.silence.suspects for r in context.replays), suspicions
