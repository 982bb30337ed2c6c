"""Steps for the evidence against requests under which back ends have ended."""

from __future__ import annotations

import random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import CALL_KIND_REPEATABLE
from limelever.protocol.endpoints_pb2 import CrashNews
from limelever.proxy.call_state import AttemptEnded, Call
from limelever.proxy.call_types import CallRequest
from limelever.proxy.group_limits import ShareKey
from limelever.proxy.quarantine import Quarantine, SendCrashNews
from limelever.proxy.router import RouteEntry, RoutePart
from limelever.quarantine.evidence import Evidence, Suspected
from limelever.quarantine.fingerprint import Fingerprint
from limelever.quarantine.terms import quarantine_time

CASES = settings(derandomize=True, max_examples=200, deadline=None, database=None)
REQUEST = Fingerprint.of("orders", b"GET", b"/orders/1", b"")
MACHINES = 4
REQUESTS = 3
CRASHED = Failure(ErrorKind.BACKEND_CRASHED, "the back end's process has ended")
NEWS_DELAY = 0.1
"""Seconds until all proxies have heard: two batches and the ways between."""


def suspect(number: int) -> Fingerprint:
    return Fingerprint.of("orders", b"GET", b"/orders/%d" % number, b"")


@then(
    "any crashes and answers, told in any order and any number of times, leave all machines with "
    "the same verdicts"
)
def same_verdicts(context: Context) -> None:
    machine, request = st.integers(0, MACHINES - 1), st.integers(0, REQUESTS - 1)
    step = st.one_of(
        st.tuples(st.just("crash"), machine, request, st.integers(1, 6)),
        st.tuples(st.just("answer"), machine, request, st.just(0)),
        st.tuples(st.just("tell"), machine, machine, st.just(0)),
    )

    @CASES
    @examples(st.lists(step, max_size=40), st.randoms(use_true_random=False))
    def check(steps, draw) -> None:
        machines = [Evidence() for _ in range(MACHINES)]
        for what, first, second, crash in steps:
            if what == "crash":
                machines[first].crashed((Suspected(suspect(second), crash % 3),), crash, 0.0)
            elif what == "answer":
                machines[first].clear(suspect(second).request)
            else:
                machines[second].take(machines[first].all_news(0.0), 0.0)
        for _ in range(MACHINES):
            order = draw.sample(range(MACHINES), MACHINES)
            for teller in order:
                for listener in draw.sample(range(MACHINES), MACHINES):
                    machines[listener].take(machines[teller].all_news(0.0), 0.0)
        verdicts = [
            {each.fingerprint: (each.crashes, each.cleared) for each in machine.all()}
            for machine in machines
        ]
        assert all(each == verdicts[0] for each in verdicts), verdicts
        assert not any(each.missing_in(machines[0].all_news(0.0)) for each in machines)

    check()


@given("evidence of {count:d} crashes under a request")
def evidence_of(context: Context, count: int) -> None:
    context.now = 0.0
    context.evidence = Evidence()
    for crash in range(count):
        context.evidence.crashed((Suspected(REQUEST, crash),), crash + 1, context.now)
    context.told = context.evidence.all_news(context.now)


@when("{count:d} back ends end at one moment under a request that runs at all of them")
def end_at_once(context: Context, count: int) -> None:
    context.now, context.evidence = 0.0, Evidence()
    for crash in range(count):
        context.evidence.crashed((Suspected(REQUEST),), crash + 1, context.now)


@when("a third back end ends under it")
def third_ends(context: Context) -> None:
    context.evidence.crashed((Suspected(REQUEST, 2),), 3, context.now)


@when("the request is answered")
def is_answered(context: Context) -> None:
    assert context.evidence.clear(REQUEST.request)


@when("news of the same crashes come once more")
def told_again(context: Context) -> None:
    assert context.evidence.take(context.told, context.now) == []


@then("the request is convicted")
def is_convicted(context: Context) -> None:
    context.evidence.expire(context.now)
    held = context.evidence.of(REQUEST.request)
    assert held is not None and held.convicted, held


@then("the request is not convicted")
def is_not_convicted(context: Context) -> None:
    held = context.evidence.of(REQUEST.request)
    assert held is not None and not held.convicted, held


@when("{count:d} others each share one crash")
def many_others(context: Context, count: int) -> None:
    for number in range(count):
        suspected = Suspected(suspect(number + 10))
        context.evidence.crashed((suspected,), number + 10, context.now)


@then("at most {count:d} requests are known, and the convicted one is among them")
def is_bounded(context: Context, count: int) -> None:
    assert len(context.evidence) <= count
    is_convicted(context)


@then("news of all of them take at most {size:d} bytes")
def news_are_bounded(context: Context, size: int) -> None:
    news: CrashNews = context.evidence.all_news(context.now)
    assert len(news.SerializeToString()) <= size, len(news.SerializeToString())


@when("{seconds:d} seconds pass for the evidence")
def time_passes(context: Context, seconds: int) -> None:
    context.now += seconds


@then("nothing is known of the request")
def is_forgotten(context: Context) -> None:
    context.evidence.expire(context.now)
    assert context.evidence.of(REQUEST.request) is None
    assert not context.evidence.has_head(REQUEST.head)


@then("requests with 3, 4, 5 and 12 crashes are kept away for 120, 240, 480 and 3600 seconds")
def times_away(context: Context) -> None:
    assert [quarantine_time(count) for count in (3, 4, 5, 12)] == [120, 240, 480, 3600]


@then("requests that differ by service, method, target or body have digests of their own")
def digests_differ(context: Context) -> None:
    others = [
        Fingerprint.of("prices", b"GET", b"/orders/1", b""),
        Fingerprint.of("orders", b"PUT", b"/orders/1", b""),
        Fingerprint.of("orders", b"GET", b"/orders/2", b""),
        Fingerprint.of("orders", b"GET", b"/orders/1", b"x"),
    ]
    assert len({each.request for each in (REQUEST, *others)}) == len(others) + 1
    assert others[3].head == REQUEST.head


@then("the digests of a request with a secret in its body don't hold the secret")
def digests_hide(context: Context) -> None:
    secret = b"card 4000"
    evidence = Evidence()
    suspected = Suspected(Fingerprint.of("orders", b"PUT", b"/pay", secret))
    evidence.crashed((suspected,), 1, 0.0)
    assert secret not in evidence.all_news(0.0).SerializeToString()


class Proxies:
    """The quarantines of some proxies, which tell each other after ``NEWS_DELAY``."""

    def __init__(self, count: int, crashes: int) -> None:
        self.draw = random.Random(7)
        self.outputs: list[list] = [[] for _ in range(count)]
        self.all = [Quarantine(random.Random(n), self.outputs[n]) for n in range(count)]
        evidence = Evidence()
        for crash in range(crashes):
            evidence.crashed((Suspected(REQUEST, crash),), crash + 1, 0.0)
        for each in self.all:
            each.apply_news(evidence.news((REQUEST.request,), 0.0), 0.0)
        self.calls = 0

    def come(self, proxy: int, now: float) -> bool:
        """Let the request come to a proxy; return whether it may reach a back end."""
        self.calls += 1
        part = RoutePart("orders", 1, 0, 0.0)
        route = RouteEntry(
            "orders", (part,), frozenset(), False, True, CALL_KIND_REPEATABLE, 1.0, 10, ()
        )
        request = CallRequest(b"GET", b"/orders/1", (), b"")
        self.call = Call(self.calls, request, route, part, ShareKey("orders", "web"), now + 1.0)
        return self.all[proxy].refusal(self.call, now) is None

    def tell_others(self, now: float) -> None:
        for found in [o for outputs in self.outputs for o in outputs]:
            if isinstance(found, SendCrashNews):
                for each in self.all:
                    each.apply_news(found.news, now)
        for outputs in self.outputs:
            outputs.clear()


@given("{count:d} proxies that keep a sound request from back ends after {crashes:d} crashes")
def given_proxies(context: Context, count: int, crashes: int) -> None:
    context.proxies = Proxies(count, crashes)


@when("it comes to one of them drawn at random each {seconds:g} seconds")
def it_comes(context: Context, seconds: float) -> None:
    context.gap = seconds


@then("it is answered again after {least:d} to {most:d} seconds, and everywhere from then on")
def is_back(context: Context, least: int, most: int) -> None:
    proxies, now = context.proxies, 0.0
    while not proxies.come(proxy := proxies.draw.randrange(len(proxies.all)), now):
        now += context.gap
    print(f"answered again after {now:.1f} s")
    assert least <= now <= most, now
    proxies.all[proxy].record_answer(proxies.call, 200, now)
    proxies.all[proxy].release_trial(proxies.call)
    proxies.tell_others(now)
    assert all(proxies.come(each, now + NEWS_DELAY) for each in range(len(proxies.all)))


@then("a deadly one would have reached {count:d} back end in that time")
def deadly_one(context: Context, count: int) -> None:
    proxies, now, reached = Proxies(len(context.proxies.all), 3), 0.0, 0
    while now < 2 * quarantine_time(3):
        proxy = proxies.draw.randrange(len(proxies.all))
        if proxies.come(proxy, now):
            reached += 1
            crash = AttemptEnded(proxies.call, CRASHED, 100 + reached, 3)
            proxies.all[proxy].record_crash(crash, now)
            proxies.all[proxy].release_trial(proxies.call)
            proxies.tell_others(now)
        now += context.gap
    assert reached == count, reached
