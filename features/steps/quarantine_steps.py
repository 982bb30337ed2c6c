"""Steps for the crash history and the quarantine of requests."""

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
from limelever.proxy.router import RouteDestination, RouteEntry
from limelever.quarantine.crash_history import CrashHistory, SuspectRequest
from limelever.quarantine.fingerprint import Fingerprint
from limelever.quarantine.policy import quarantine_duration

PROPERTY_SETTINGS = settings(derandomize=True, max_examples=200, deadline=None, database=None)
REQUEST = Fingerprint.of("orders", b"GET", b"/orders/1", b"")
REPLICAS = 4
REQUESTS = 3
CRASHED = Failure(ErrorKind.BACKEND_CRASHED, "the back end's process has ended")
UPDATE_DELAY = 0.1
"""Seconds until an update has reached all proxies: two batches and the network latency."""


def numbered_request(number: int) -> Fingerprint:
    return Fingerprint.of("orders", b"GET", b"/orders/%d" % number, b"")


@then(
    "any crashes and answers, sent in any order and any number of times, leave all replicas with "
    "the same records"
)
def step_replicas_converge(context: Context) -> None:
    replica, request = st.integers(0, REPLICAS - 1), st.integers(0, REQUESTS - 1)
    step = st.one_of(
        st.tuples(st.just("crash"), replica, request, st.integers(1, 6)),
        st.tuples(st.just("answer"), replica, request, st.just(0)),
        st.tuples(st.just("update"), replica, replica, st.just(0)),
    )

    @PROPERTY_SETTINGS
    @examples(st.lists(step, max_size=40), st.randoms(use_true_random=False))
    def check(steps, random_source) -> None:
        replicas = [CrashHistory() for _ in range(REPLICAS)]
        for kind, first, second, crash in steps:
            if kind == "crash":
                replicas[first].add_crash(
                    (SuspectRequest(numbered_request(second), crash % 3),), crash, 0.0
                )
            elif kind == "answer":
                replicas[first].clear(numbered_request(second).request)
            else:
                replicas[second].merge(replicas[first].full_update(0.0), 0.0)
        for _ in range(REPLICAS):
            order = random_source.sample(range(REPLICAS), REPLICAS)
            for sender in order:
                for receiver in random_source.sample(range(REPLICAS), REPLICAS):
                    replicas[receiver].merge(replicas[sender].full_update(0.0), 0.0)
        records = [
            {each.fingerprint: (each.crashes, each.cleared) for each in replica.all()}
            for replica in replicas
        ]
        assert all(each == records[0] for each in records), records
        assert not any(each.missing_from(replicas[0].full_update(0.0)) for each in replicas)

    check()


@given("a request with {count:d} crashes in a row")
def step_crashes(context: Context, count: int) -> None:
    context.now = 0.0
    context.history = CrashHistory()
    for crash in range(count):
        context.history.add_crash((SuspectRequest(REQUEST, crash),), crash + 1, context.now)
    context.full_update = context.history.full_update(context.now)


@when("{count:d} back ends crash at once while a request runs at all of them")
def step_simultaneous_crashes(context: Context, count: int) -> None:
    context.now, context.history = 0.0, CrashHistory()
    for crash in range(count):
        context.history.add_crash((SuspectRequest(REQUEST),), crash + 1, context.now)


@when("a third back end crashes while running it")
def step_third_crash(context: Context) -> None:
    context.history.add_crash((SuspectRequest(REQUEST, 2),), 3, context.now)


@when("the request is answered")
def step_answered(context: Context) -> None:
    assert context.history.clear(REQUEST.request)


@when("an update with the same crashes arrives again")
def step_repeated_update(context: Context) -> None:
    assert context.history.merge(context.full_update, context.now) == []


@then("the request is quarantined")
def step_quarantined(context: Context) -> None:
    context.history.expire(context.now)
    record = context.history.get(REQUEST.request)
    assert record is not None and record.is_quarantined, record


@then("the request is not quarantined")
def step_not_quarantined(context: Context) -> None:
    record = context.history.get(REQUEST.request)
    assert record is not None and not record.is_quarantined, record


@when("{count:d} other requests have one crash each")
def step_other_requests(context: Context, count: int) -> None:
    for number in range(count):
        suspect = SuspectRequest(numbered_request(number + 10))
        context.history.add_crash((suspect,), number + 10, context.now)


@then("at most {count:d} requests are recorded, and the quarantined one is among them")
def step_requests_bounded(context: Context, count: int) -> None:
    assert len(context.history) <= count
    step_quarantined(context)


@then("a full update takes at most {size:d} bytes")
def step_update_bounded(context: Context, size: int) -> None:
    update: CrashNews = context.history.full_update(context.now)
    assert len(update.SerializeToString()) <= size, len(update.SerializeToString())


@when("{seconds:d} seconds pass for the crash history")
def step_time_passes(context: Context, seconds: int) -> None:
    context.now += seconds


@then("the request is not recorded")
def step_not_recorded(context: Context) -> None:
    context.history.expire(context.now)
    assert context.history.get(REQUEST.request) is None
    assert not context.history.has_head(REQUEST.head)


@then("requests with 3, 4, 5 and 12 crashes are quarantined for 120, 240, 480 and 3600 seconds")
def step_durations(context: Context) -> None:
    assert [quarantine_duration(count) for count in (3, 4, 5, 12)] == [120, 240, 480, 3600]


@then("requests that differ in service, method, target or body have different digests")
def step_digests_differ(context: Context) -> None:
    others = [
        Fingerprint.of("prices", b"GET", b"/orders/1", b""),
        Fingerprint.of("orders", b"PUT", b"/orders/1", b""),
        Fingerprint.of("orders", b"GET", b"/orders/2", b""),
        Fingerprint.of("orders", b"GET", b"/orders/1", b"x"),
    ]
    assert len({each.request for each in (REQUEST, *others)}) == len(others) + 1
    assert others[3].head == REQUEST.head


@then("an update on a request with a secret in its body doesn't contain the secret")
def step_secret_hidden(context: Context) -> None:
    secret = b"card 4000"
    history = CrashHistory()
    suspect = SuspectRequest(Fingerprint.of("orders", b"PUT", b"/pay", secret))
    history.add_crash((suspect,), 1, 0.0)
    assert secret not in history.full_update(0.0).SerializeToString()


class Proxies:
    """The quarantines of several proxies; updates take ``UPDATE_DELAY``."""

    def __init__(self, count: int, crashes: int) -> None:
        self.random = random.Random(7)
        self.outputs: list[list] = [[] for _ in range(count)]
        self.all = [Quarantine(random.Random(n), self.outputs[n]) for n in range(count)]
        history = CrashHistory()
        for crash in range(crashes):
            history.add_crash((SuspectRequest(REQUEST, crash),), crash + 1, 0.0)
        for each in self.all:
            each.apply_news(history.update_for((REQUEST.request,), 0.0), 0.0)
        self.calls = 0

    def arrive(self, proxy: int, now: float) -> bool:
        """Pass the request to a proxy; return whether it may reach a back end."""
        self.calls += 1
        part = RouteDestination("orders", 1, 0, 0.0)
        route = RouteEntry(
            "orders", (part,), frozenset(), False, True, CALL_KIND_REPEATABLE, 1.0, 10, ()
        )
        request = CallRequest(b"GET", b"/orders/1", (), b"")
        self.call = Call(self.calls, request, route, part, ShareKey("orders", "web"), now + 1.0)
        return self.all[proxy].refusal(self.call, now) is None

    def exchange_updates(self, now: float) -> None:
        for output in [o for outputs in self.outputs for o in outputs]:
            if isinstance(output, SendCrashNews):
                for each in self.all:
                    each.apply_news(output.news, now)
        for outputs in self.outputs:
            outputs.clear()


@given("{count:d} proxies that quarantine a harmless request after {crashes:d} crashes")
def step_proxies(context: Context, count: int, crashes: int) -> None:
    context.proxies = Proxies(count, crashes)


@when("it arrives at a random one of them every {seconds:g} seconds")
def step_arrivals(context: Context, seconds: float) -> None:
    context.interval = seconds


@then("it is answered after {least:d} to {most:d} seconds, and by every proxy from then on")
def step_released(context: Context, least: int, most: int) -> None:
    proxies, now = context.proxies, 0.0
    while not proxies.arrive(proxy := proxies.random.randrange(len(proxies.all)), now):
        now += context.interval
    print(f"answered after {now:.1f} s")
    assert least <= now <= most, now
    proxies.all[proxy].record_answer(proxies.call, 200, now)
    proxies.all[proxy].release_trial(proxies.call)
    proxies.exchange_updates(now)
    assert all(proxies.arrive(each, now + UPDATE_DELAY) for each in range(len(proxies.all)))


@then(
    "a request that crashes each back end reaches only {count:d} within twice the initial "
    "quarantine"
)
def step_harmful_request(context: Context, count: int) -> None:
    proxies, now, reached = Proxies(len(context.proxies.all), 3), 0.0, 0
    while now < 2 * quarantine_duration(3):
        proxy = proxies.random.randrange(len(proxies.all))
        if proxies.arrive(proxy, now):
            reached += 1
            crash = AttemptEnded(proxies.call, CRASHED, 100 + reached, 3)
            proxies.all[proxy].record_crash(crash, now)
            proxies.all[proxy].release_trial(proxies.call)
            proxies.exchange_updates(now)
        now += context.interval
    assert reached == count, reached
