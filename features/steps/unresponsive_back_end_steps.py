"""Steps for unresponsive back ends, with the agent's core and with real connections."""

from __future__ import annotations

import socket
import time

import trio
from agent_harness import PROXY_CONNECTION, AgentHarness, call_start
from behave import given, then, when
from behave.runner import Context

from limelever.agent.backend_client import CHECK_TIMEOUT_SECONDS
from limelever.agent.connection_pool import BackendConnectionPool
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    CancelAttempt,
    CheckBackend,
    ConnectResult,
    StartAttempt,
)
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
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
def send_at_most_once(context: Context, stream: int) -> None:
    context.agent.send(call_start(stream, call_kind=CALL_KIND_ONCE_PER_ATTEMPT))


@then("the agent has made {count:d} connection checks")
def check_connection_checks(context: Context, count: int) -> None:
    assert len(context.agent.outputs_of(CheckBackend)) == count, context.agent.outputs_of(
        CheckBackend
    )


@when("a connection to the agent's back end times out")
def time_out_check(context: Context) -> None:
    agent: AgentHarness = context.agent
    agent.handle(BackendChecked(ConnectResult.TIMED_OUT))
    end_cancelled_attempts(agent, sent=True)


@when("a connection to the agent's back end times out while its calls wait for connections")
def time_out_check_of_unsent(context: Context) -> None:
    agent: AgentHarness = context.agent
    agent.handle(BackendChecked(ConnectResult.TIMED_OUT))
    end_cancelled_attempts(agent, sent=False)


def end_cancelled_attempts(agent: AgentHarness, *, sent: bool) -> None:
    """End each cancelled attempt, as the client of the back end does at once."""
    for output in agent.outputs_of(CancelAttempt):
        failure = Failure(ErrorKind.CANCELLED, "attempt cancelled")
        agent.handle(AttemptFailed(output.attempt, failure, sent))


@when("a connection to the agent's back end opens")
def open_check(context: Context) -> None:
    context.agent.handle(BackendChecked(ConnectResult.OPENED))


@then("agent stream {stream:d} has no answer yet")
def check_unanswered(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    ends = [*agent.sent(PROXY_CONNECTION, CallFailed), *agent.sent(PROXY_CONNECTION, ResponseStart)]
    assert stream not in [end.stream for end in ends], ends


@then("the agent's back end received the request of agent stream {stream:d}")
def check_request_received(context: Context, stream: int) -> None:
    targets = [start.target for start in context.agent.outputs_of(StartAttempt)]
    assert str(stream).encode() in targets, targets


@then("the last load that the agent reported is the maximum, {load:d}")
def check_last_load(context: Context, load: int) -> None:
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
    """Fill the listen backlog, so that the SYN of further connections is dropped."""
    address = (context.backend_address.host, context.backend_address.port)
    for _ in range(BACKLOG_CONNECTIONS):
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(address)
        context.held_sockets.append(client)


@then("a connection check of {seconds:g} seconds finds the back end {state}")
def check_finds(context: Context, seconds: float, state: str) -> None:
    assert seconds == CHECK_TIMEOUT_SECONDS
    refused = context.held_sockets[0].fileno() == -1
    result = trio.run(check_connect, context.backend_address)
    for held in context.held_sockets:
        held.close()
    assert (result is not ConnectResult.TIMED_OUT) is (state == "reachable")
    assert (result is ConnectResult.REFUSED) is refused, result


@then(
    "a process that is delayed for {seconds:g} seconds during a connection check finds the back "
    "end reachable"
)
def check_finds_when_delayed(context: Context, seconds: float) -> None:
    assert seconds > CHECK_TIMEOUT_SECONDS

    async def block_event_loop() -> None:
        await trio.lowlevel.checkpoint()
        time.sleep(seconds)

    async def run_check() -> ConnectResult:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(block_event_loop)
            return await check_connect(context.backend_address)

    result = trio.run(run_check)
    for held in context.held_sockets:
        held.close()
    assert result is ConnectResult.OPENED, result


async def check_connect(address: Address) -> ConnectResult:
    pool = BackendConnectionPool(BackendSettings(address=address))
    try:
        return await pool.check_connect(CHECK_TIMEOUT_SECONDS)
    finally:
        pool.close()
