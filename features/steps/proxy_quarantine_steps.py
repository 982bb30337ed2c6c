"""Steps for a proxy's core and requests under which back ends have ended."""

from __future__ import annotations

import proxy_harness
from behave import given, then, when
from behave.runner import Context
from proxy_harness import SERVICE, ProxyHarness

from limelever.common.errors import ErrorKind
from limelever.common.sansio import MessageReceived, Purpose
from limelever.protocol.calls_pb2 import CallFailed
from limelever.protocol.endpoints_pb2 import CrashNews, Suspect
from limelever.quarantine.crash_history import CrashHistory, SuspectRequest
from limelever.quarantine.fingerprint import Fingerprint, format_digest


def fingerprint(target: str, method: str = "GET", body: bytes = b"") -> Fingerprint:
    return Fingerprint.of(SERVICE, method.encode(), target.encode(), body)


def tell(host: ProxyHarness, news: CrashNews) -> None:
    link = next(c for c, dial in host.links.items() if dial.purpose is Purpose.SUBSCRIPTION)
    host.post(MessageReceived(link, news))


def tell_crashes(host: ProxyHarness, request: Fingerprint, count: int) -> None:
    evidence = CrashHistory()
    for crash in range(count):
        evidence.add_crash((SuspectRequest(request, crash),), crash + 1, host.now)
    tell(host, evidence.update_for((request.request,), host.now))


def told(host: ProxyHarness) -> list[Suspect]:
    return [each for news in host.crash_news for each in news.suspects]


@given('a proxy whose operators have released "{target}"')
def given_released(context: Context, target: str) -> None:
    released = format_digest(fingerprint(target).request)
    resources = proxy_harness.mesh_resources()
    resources[0].resource.service.released_requests.append(released)
    context.proxy = ProxyHarness()
    context.proxy.resources = resources
    context.proxy.start()


@when('the relay tells the proxy of {count:d} crashes under "{target}"')
def relay_tells(context: Context, count: int, target: str) -> None:
    tell_crashes(context.proxy, fingerprint(target), count)


@when("the relay tells the proxy of {count:d} crashes under the order of a caller")
def relay_tells_order(context: Context, count: int) -> None:
    tell_crashes(context.proxy, fingerprint("/place/1", "POST"), count)


@when("the relay tells the proxy of {count:d} crashes under an upload of {size:d} bytes")
def relay_tells_upload(context: Context, count: int, size: int) -> None:
    body = bytes(range(256)) * (size // 256)
    tell_crashes(context.proxy, fingerprint("/orders/photo", "POST", body), count)


@when("a relay that has just started tells all it knows, which is nothing")
def relay_is_new(context: Context) -> None:
    tell(context.proxy, CrashNews(full=True))


@when("the back end of the call ends as crash {crash:d}")
def back_end_ends(context: Context, crash: int) -> None:
    host: ProxyHarness = context.proxy
    connection, start = host.open_attempts[-1]
    failed = CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=ErrorKind.BACKEND_CRASHED.value,
        crash=crash,
    )
    host.reply(connection, failed)


@then('the relay was told by the proxy of {count:d} crashes under "{target}"')
def relay_was_told(context: Context, count: int, target: str) -> None:
    last = [s for s in told(context.proxy) if s.request == fingerprint(target).request][-1]
    assert len(last.crashes) == count and not last.cleared, last


@then('the relay was told by the proxy that {count:d} crashes under "{target}" are cleared')
def relay_was_told_cleared(context: Context, count: int, target: str) -> None:
    last = [s for s in told(context.proxy) if s.request == fingerprint(target).request][-1]
    assert len(last.cleared) == count and last.crashes == last.cleared, last


@then("the caller of call {call:d} was told to come back after {seconds:d} seconds or later")
def come_back_late(context: Context, call: int, seconds: int) -> None:
    assert context.proxy.refusal(call).retry_after >= seconds, context.proxy.refusal(call)


@then("the agent was asked to give up {count:d} call unless it has begun")
def asked_to_give_up(context: Context, count: int) -> None:
    assert context.proxy.cancels_unless_begun == count


@then("the call that is open tells its agent of {depth:d} ends in a row")
def tells_depth(context: Context, depth: int) -> None:
    _, start = context.proxy.open_attempts[-1]
    assert start.known_depth == depth, start


@then("no key was claimed")
def none_claimed(context: Context) -> None:
    assert not context.proxy.keepers.claims
