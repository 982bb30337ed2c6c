"""Steps for the proxy's HTTP edge, served on loopback."""

from __future__ import annotations

from functools import partial
from unittest import mock

import httpcore
import trio
from behave import given, then, when
from behave.runner import Context

from limelever.common.errors import Outcome
from limelever.common.sansio import (
    Address,
    Event,
)
from limelever.proxy import edge as edge_module
from limelever.proxy.call_types import (
    AnswerCall,
    CallAnswer,
    CallArrived,
)
from limelever.proxy.edge import Edge
from limelever.proxy.settings import EdgeSettings

HTTP_OK = 200
HTTP_UNAVAILABLE = 503


@given("an HTTP edge on loopback")
def http_edge(context: Context) -> None:
    context.edge_settings = EdgeSettings(listen=Address("127.0.0.1", 0), max_body_bytes=1000)


def run_edge(context: Context, use: object) -> None:
    """Serve an edge whose calls are answered after 0.2 s and run ``use(edge, url, arrived)``."""

    async def main() -> None:
        arrived = trio.Event()
        async with trio.open_nursery() as nursery:

            async def answer_later(event: CallArrived) -> None:
                await trio.sleep(0.2)
                edge.answer(AnswerCall(event.call, CallAnswer(200, (), event.request.body)))

            def post(event: Event) -> None:
                if isinstance(event, CallArrived):
                    arrived.set()
                    nursery.start_soon(answer_later, event)

            edge = Edge(context.edge_settings, post)
            bound = await nursery.start(partial(edge.serve, 5.0))
            with trio.fail_after(10):
                await use(edge, f"http://{bound}", arrived)  # type: ignore[operator]
            edge.stop()

    trio.run(main)


@then("a body over the limit is refused with {status:d}")
def body_refused(context: Context, status: int) -> None:
    async def use(edge: Edge, url: str, arrived: trio.Event) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("POST", url + "/orders", content=b"x" * 200_000)
            assert response.status == status
            headers = dict(response.headers)
            assert headers[b"x-limelever-outcome"] == Outcome.NOT_RUN.value.encode()
        assert not arrived.is_set()

    run_edge(context, use)


@then("a request in flight when the edge stops is answered completely")
def answered_at_stop(context: Context) -> None:
    bodies: list[bytes] = []

    async def use(edge: Edge, url: str, arrived: trio.Event) -> None:
        async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:

            async def ask() -> None:
                response = await pool.request("POST", url + "/orders", content=b"whole")
                bodies.append(response.content)

            nursery.start_soon(ask)
            await arrived.wait()
            edge.stop()
            while not bodies:
                await trio.sleep(0.01)

    run_edge(context, use)
    assert bodies == [b"whole"]


@given("an HTTP edge on loopback with a limit of {size:d} unread answer bytes")
def http_edge_with_unread_limit(context: Context, size: int) -> None:
    http_edge(context)
    context.unread_limit = size


@when("a caller of the edge does not read its answer of {size:d} bytes")
def caller_reads_nothing(context: Context, size: int) -> None:
    with mock.patch.object(edge_module, "PENDING_ANSWERS_LIMIT_BYTES", context.unread_limit):
        context.responses = trio.run(ask_beside_slow_caller, context.edge_settings, bytes(size))


async def ask_beside_slow_caller(settings: EdgeSettings, answer: bytes) -> list[httpcore.Response]:
    """Return the first refusal while a caller reads nothing, and the answer once it has closed."""

    def post(event: Event) -> None:
        if isinstance(event, CallArrived):
            body = answer if event.request.target == b"/slow" else b""
            edge.answer(AnswerCall(event.call, CallAnswer(200, (), body)))

    edge = Edge(settings, post)
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        bound = await nursery.start(partial(edge.serve, 5.0))
        slow = await trio.open_tcp_stream(bound.host, bound.port)
        await slow.send_all(b"GET /slow HTTP/1.1\r\nhost: test\r\n\r\n")
        with trio.fail_after(30):
            refused = await ask_until(pool, f"http://{bound}/", HTTP_UNAVAILABLE)
            await slow.aclose()
            allowed = await ask_until(pool, f"http://{bound}/", HTTP_OK)
        edge.stop()
    return [refused, allowed]


async def ask_until(pool: httpcore.AsyncConnectionPool, url: str, status: int) -> httpcore.Response:
    while (response := await pool.request("GET", url)).status != status:
        await trio.sleep(0.01)
    return response


@then("the edge refuses further calls with 503, NOT RUN and a Retry-After")
def check_refused(context: Context) -> None:
    headers = dict(context.responses[0].headers)
    assert headers[b"x-limelever-outcome"] == Outcome.NOT_RUN.value.encode()
    assert int(headers[b"retry-after"]) > 0


@then("the edge accepts calls again once that caller has disconnected")
def check_accepted_again(context: Context) -> None:
    assert context.responses[1].status == HTTP_OK
