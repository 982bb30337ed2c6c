"""Steps for a proxy core that quarantines requests which crash back ends."""

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


def send_news(host: ProxyHarness, news: CrashNews) -> None:
    link = next(c for c, dial in host.links.items() if dial.purpose is Purpose.SUBSCRIPTION)
    host.post(MessageReceived(link, news))


def send_crashes(host: ProxyHarness, request: Fingerprint, count: int) -> None:
    history = CrashHistory()
    for crash in range(count):
        history.add_crash((SuspectRequest(request, crash),), crash + 1, host.now)
    send_news(host, history.update_for((request.request,), host.now))


def reported_suspects(host: ProxyHarness) -> list[Suspect]:
    return [each for news in host.crash_news for each in news.suspects]


@given('a proxy whose operators have released "{target}"')
def given_released(context: Context, target: str) -> None:
    released = format_digest(fingerprint(target).request)
    resources = proxy_harness.mesh_resources()
    resources[0].resource.service.released_requests.append(released)
    context.proxy = ProxyHarness()
    context.proxy.resources = resources
    context.proxy.start()


@when('the relay reports {count:d} crashes on "{target}" to the proxy')
def relay_reports(context: Context, count: int, target: str) -> None:
    send_crashes(context.proxy, fingerprint(target), count)


@when("the relay reports {count:d} crashes on a caller's order to the proxy")
def relay_reports_order(context: Context, count: int) -> None:
    send_crashes(context.proxy, fingerprint("/place/1", "POST"), count)


@when("the relay reports {count:d} crashes on an upload of {size:d} bytes to the proxy")
def relay_reports_upload(context: Context, count: int, size: int) -> None:
    body = bytes(range(256)) * (size // 256)
    send_crashes(context.proxy, fingerprint("/orders/photo", "POST", body), count)


@when("a relay that has just restarted sends full but empty crash news")
def relay_restarted(context: Context) -> None:
    send_news(context.proxy, CrashNews(full=True))


@when("the back end of the call crashes with crash number {crash:d}")
def back_end_crashes(context: Context, crash: int) -> None:
    host: ProxyHarness = context.proxy
    connection, start = host.open_attempts[-1]
    failed = CallFailed(
        stream=start.stream,
        attempt_id=start.attempt_id,
        kind=ErrorKind.BACKEND_CRASHED.value,
        crash=crash,
    )
    host.reply(connection, failed)


@then('the proxy reported {count:d} crashes on "{target}" to the relay')
def proxy_reported(context: Context, count: int, target: str) -> None:
    last = [
        s for s in reported_suspects(context.proxy) if s.request == fingerprint(target).request
    ][-1]
    assert len(last.crashes) == count and not last.cleared, last


@then('the proxy reported to the relay that {count:d} crashes on "{target}" are cleared')
def proxy_reported_cleared(context: Context, count: int, target: str) -> None:
    last = [
        s for s in reported_suspects(context.proxy) if s.request == fingerprint(target).request
    ][-1]
    assert len(last.cleared) == count and last.crashes == last.cleared, last


@then("the caller of call {call:d} was told to retry after {seconds:d} seconds or later")
def told_to_retry_late(context: Context, call: int, seconds: int) -> None:
    assert context.proxy.refusal(call).retry_after >= seconds, context.proxy.refusal(call)


@then("the agent was asked to cancel {count:d} call unless it has begun")
def asked_to_cancel(context: Context, count: int) -> None:
    assert context.proxy.cancels_unless_begun == count


@then("the open call tells its agent of {depth:d} previous crashes in a row")
def start_has_depth(context: Context, depth: int) -> None:
    _, start = context.proxy.open_attempts[-1]
    assert start.known_depth == depth, start


@then("no idempotency key was claimed")
def no_key_claimed(context: Context) -> None:
    assert not context.proxy.keepers.claims
