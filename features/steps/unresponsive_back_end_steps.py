"""Steps for a back end that falls silent: the agent's core, and connections tried for real."""

from __future__ import annotations

import socket
import time

import trio
from agent_harness import PROXY_LINK, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context

from limelever.agent.backend import CHECK_SECONDS
from limelever.agent.connections import BackendConnections
from limelever.agent.interface import (
    AttemptAnswered,
    BackendChecked,
    CheckBackend,
    ConnectResult,
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
    agent: AgentHarness = context.agent
    agent.send(call_start(1))
    agent.advance(seconds)
    agent.handle(AttemptAnswered(agent.attempt_of(1), 200, (), b""))


@when("the agent gets an at-most-once call on agent stream {stream:d}")
def send_unrepeatable(context: Context, stream: int) -> None:
    context.agent.send(call_start(stream, call_kind=CALL_KIND_ONCE_PER_ATTEMPT))


@then("the agent has tried {count:d} connections")
def has_tried(context: Context, count: int) -> None:
    assert len(context.agent.outputs_of(CheckBackend)) == count, context.agent.outputs_of(
        CheckBackend
    )


@when("no connection to the agent's back end opens")
def none_opens(context: Context) -> None:
    context.agent.handle(BackendChecked(ConnectResult.TIMED_OUT))


@when("a connection to the agent's back end opens")
def one_opens(context: Context) -> None:
    context.agent.handle(BackendChecked(ConnectResult.OPENED))


@then("agent stream {stream:d} has no answer yet")
def no_answer(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    ends = [*agent.sent(PROXY_LINK, CallFailed), *agent.sent(PROXY_LINK, ResponseStart)]
    assert stream not in [end.stream for end in ends], ends


@then("the agent's back end has been asked for agent stream {stream:d}")
def has_asked(context: Context, stream: int) -> None:
    targets = [start.target for start in context.agent.outputs_of(StartAttempt)]
    assert str(stream).encode() in targets, targets


@then("the last load that the agent reported is {load:d}")
def last_load(context: Context, load: int) -> None:
    sent = [output.message for output in context.agent.outputs_of(SendMessage)]
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
    assert seconds == CHECK_SECONDS
    refused = context.held_sockets[0].fileno() == -1
    reached = trio.run(try_new, context.backend_address)
    for held in context.held_sockets:
        held.close()
    assert (reached is not ConnectResult.TIMED_OUT) is (there == "there")
    assert (reached is ConnectResult.REFUSED) is refused, reached


@then(
    "a process that is held up for {seconds:g} seconds while it tries one says that somebody "
    "is there"
)
def held_up_says(context: Context, seconds: float) -> None:
    assert seconds > CHECK_SECONDS

    async def hold_up() -> None:
        await trio.lowlevel.checkpoint()
        time.sleep(seconds)

    async def play() -> ConnectResult:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_up)
            return await try_new(context.backend_address)

    reached = trio.run(play)
    for held in context.held_sockets:
        held.close()
    assert reached is ConnectResult.OPENED, reached


async def try_new(address: Address) -> ConnectResult:
    connections = BackendConnections(BackendSettings(address=address))
    try:
        return await connections.try_new(CHECK_SECONDS)
    finally:
        connections.close()
