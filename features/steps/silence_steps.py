"""Steps for a back end that falls silent: the agent's core, and connections tried for real."""

from __future__ import annotations

import socket
import time

import trio
from agent_bench import PROXY_LINK, AgentBench, call_start
from behave import given, then, when
from behave.runner import Context

from limelever.agent.backend_client import CHECK_TIMEOUT_SECONDS
from limelever.agent.connection_pool import BackendConnectionPool
from limelever.agent.interface import (
    AttemptAnswered,
    BackendChecked,
    BackendReach,
    CheckBackend,
    StartAttempt,
)
from limelever.agent.settings import BackendSettings
from limelever.common.sansio import Address, SendMessage
from limelever.protocol.calls_pb2 import CallFailed, ResponseStart
from limelever.protocol.config_pb2 import CALL_KIND_ONCE_PER_ATTEMPT
from limelever.protocol.endpoints_pb2 import LoadReport

BACKLOG_CONNECTIONS = 4


@given("the agent's back end has answered a call after {seconds:g} seconds")
def given_answered(context: Context, seconds: float) -> None:
    bench: AgentBench = context.agent
    bench.send(call_start(1))
    bench.advance(seconds)
    bench.tell(AttemptAnswered(bench.attempt_of(1), 200, (), b""))


@when("the agent gets an at-most-once call on agent stream {stream:d}")
def send_unrepeatable(context: Context, stream: int) -> None:
    context.agent.send(call_start(stream, call_kind=CALL_KIND_ONCE_PER_ATTEMPT))


@then("the agent has tried {count:d} connections")
def has_tried(context: Context, count: int) -> None:
    assert len(context.agent.of(CheckBackend)) == count, context.agent.of(CheckBackend)


@when("no connection to the agent's back end opens")
def none_opens(context: Context) -> None:
    context.agent.tell(BackendChecked(BackendReach.SILENT))


@when("a connection to the agent's back end opens")
def one_opens(context: Context) -> None:
    context.agent.tell(BackendChecked(BackendReach.OPENED))


@then("agent stream {stream:d} has no answer yet")
def no_answer(context: Context, stream: int) -> None:
    bench: AgentBench = context.agent
    ends = [*bench.sent(PROXY_LINK, CallFailed), *bench.sent(PROXY_LINK, ResponseStart)]
    assert stream not in [end.stream for end in ends], ends


@then("the agent's back end has been asked for agent stream {stream:d}")
def has_asked(context: Context, stream: int) -> None:
    targets = [start.target for start in context.agent.of(StartAttempt)]
    assert str(stream).encode() in targets, targets


@then("the last load that the agent reported is {load:d}")
def last_load(context: Context, load: int) -> None:
    sent = [output.message for output in context.agent.of(SendMessage)]
    reports = [message for message in sent if isinstance(message, LoadReport)]
    assert reports[-1].load == load, reports


@given("a back end whose new connections {what}")
def given_back_end(context: Context, what: str) -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    context.backend_address = Address(*listener.getsockname())
    context.held_sockets = [listener]
    if what == "are refused":
        listener.close()
        return
    listener.listen(0)
    if what == "hang":
        fill_backlog(context)


def fill_backlog(context: Context) -> None:
    """Leave no room for further connections: their first packet is dropped."""
    address = (context.backend_address.host, context.backend_address.port)
    for _ in range(BACKLOG_CONNECTIONS):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(address)
        context.held_sockets.append(client)


@then("trying one says within {seconds:g} seconds that somebody is {there}")
def trying_says(context: Context, seconds: float, there: str) -> None:
    assert seconds == CHECK_TIMEOUT_SECONDS
    refused = context.held_sockets[0].fileno() == -1
    reached = trio.run(check_connect, context.backend_address)
    for held in context.held_sockets:
        held.close()
    assert (reached is not BackendReach.SILENT) is (there == "there")
    assert (reached is BackendReach.REFUSED) is refused, reached


@then(
    "a process that is held up for {seconds:g} seconds while it tries one says that somebody "
    "is there"
)
def held_up_says(context: Context, seconds: float) -> None:
    assert seconds > CHECK_TIMEOUT_SECONDS

    async def hold_up() -> None:
        await trio.lowlevel.checkpoint()
        time.sleep(seconds)

    async def play() -> BackendReach:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_up)
            return await check_connect(context.backend_address)

    reached = trio.run(play)
    for held in context.held_sockets:
        held.close()
    assert reached is BackendReach.OPENED, reached


async def check_connect(address: Address) -> BackendReach:
    pool = BackendConnectionPool(BackendSettings(address=address))
    try:
        return await pool.check_connect(CHECK_TIMEOUT_SECONDS)
    finally:
        pool.close()
