"""Steps for the ways in which an agent is told of its back end's warm-up."""

from __future__ import annotations

import trio
from behave import given, then, when
from behave.runner import Context

from limelever.agent.backend_client import BackendClient
from limelever.agent.health_response import ProbeResult, parse_instance_identity, parse_probe
from limelever.agent.interface import WarmUpReported
from limelever.agent.settings import BackendSettings
from limelever.common.http_headers import HeaderNames
from limelever.common.http_messages import HttpAnswer
from limelever.common.sansio import Address
from limelever.node.reports import InstanceReport, InstanceTracker
from limelever.node.warm_up_news import WarmUpNews

PROBE_SECONDS = 30.0
NAMES = HeaderNames(instance=b"x-instance", warm_up=b"x-warm-up")


@given(
    'a node whose instance "{name}", started at {started:d}, has sent report {number:d} with '
    "{left:g} seconds left"
)
def given_reported(context: Context, name: str, started: int, number: int, left: float) -> None:
    context.tracker, context.news = InstanceTracker(), WarmUpNews()
    reports(context, name, started, number, left)


@when('"{name}", started at {started:d}, sends report {number:d} with {left:g} seconds left')
def reports(context: Context, name: str, started: int, number: int, left: float) -> None:
    report = InstanceReport(name, "orders", number, warm_up_left=left, started_at_ms=started)
    outcome = context.tracker.handle_report(report)
    context.told = context.news.select(report, outcome, context.tracker)


@then("the agent is told of report {number:d} with {left:g} seconds left")
def is_told(context: Context, number: int, left: float) -> None:
    assert context.told == WarmUpReported(number, left), context.told


@then("the agent is told of no report")
def is_told_nothing(context: Context) -> None:
    assert context.told is None, context.told


@then("its new agent will start with report {number:d} and {left:g} seconds left")
def starts_with(context: Context, number: int, left: float) -> None:
    assert context.told is None, "the report went to the agent of the former run"
    assert context.news.latest == WarmUpReported(number, left), context.news.latest


@then("a new agent of the run will start with report {number:d} and {left:g} seconds left")
def would_start_with(context: Context, number: int, left: float) -> None:
    assert context.news.latest == WarmUpReported(number, left), context.news.latest


@then('a health response whose warm-up header is "{value}" tells {left}')
def health_tells(context: Context, value: str, left: str) -> None:
    stated = () if value == "none" else ((b"X-Warm-Up", value.encode()),)
    answer = HttpAnswer(200, ((b"X-Instance", b"i-1"), *stated), b"")
    wanted = None if left == "nothing" else float(left.removesuffix(" seconds"))
    assert parse_probe(answer, NAMES) == ProbeResult(True, wanted)
    identity = parse_instance_identity(answer, NAMES)
    assert identity is not None
    assert identity.warm_up_left == wanted, identity


async def probe_live(context: Context, left_ms: int) -> None:
    head = f"HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Warm-Up: {left_ms}\r\n"

    async def serve(stream: trio.SocketStream) -> None:
        while await stream.receive_some():
            await stream.send_all(f"{head}Content-Length: 0\r\n\r\n".encode())

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        address = Address("127.0.0.1", listener.socket.getsockname()[1])
        client = BackendClient(BackendSettings(address=address), nursery, lambda _: None, NAMES)
        context.probed = await client.probe("/health", PROBE_SECONDS)
        context.found = await client.find_instance("/health", PROBE_SECONDS)
        client.close()
        nursery.cancel_scope.cancel()


@when("a back end whose health response tells {left_ms:d} milliseconds of warm-up is probed")
def probe(context: Context, left_ms: int) -> None:
    trio.run(probe_live, context, left_ms)


@then("the probe tells that it is healthy with {left:g} seconds left")
def probe_tells(context: Context, left: float) -> None:
    assert context.probed == ProbeResult(True, left), context.probed


@then("the instance found by it has {left:g} seconds left")
def found_tells(context: Context, left: float) -> None:
    assert context.found.warm_up_left == left, context.found
