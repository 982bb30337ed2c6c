"""Steps for the end of a back end's process under calls, at an agent's core."""

from __future__ import annotations

from agent_harness import PROXY_LINK, AgentHarness
from behave import then, when
from behave.runner import Context

from limelever.agent.interface import (
    AttemptFailed,
    BackendChecked,
    BackendGone,
    CheckBackend,
    ConnectResult,
    DrainRequested,
)
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionOpened,
    MessageReceived,
    OpenConnection,
    Peer,
    Purpose,
    Role,
    SendMessage,
)
from limelever.protocol.calls_pb2 import CallCancel, CallFailed
from limelever.protocol.endpoints_pb2 import CrashNews, LeaseGranted, Suspect
from limelever.quarantine.fingerprint import Fingerprint

BROKEN = Failure(ErrorKind.BACKEND_FAILED, "the connection broke")
RELAY = Peer(Role.RELAY, "relay-1", "lodz-a", Purpose.REGISTRATION)
LONGEST_PAUSE = 30.0


def end_connection(agent: AgentHarness, stream: int) -> None:
    attempt = agent.attempt_of(stream)
    agent.handle(AttemptFailed(attempt, BROKEN, sent_any_byte=True, connection_ended=True))


def told(agent: AgentHarness) -> list[Suspect]:
    """Return what relays were told, on whatever link."""
    sent = [output.message for output in agent.outputs_of(SendMessage)]
    return [each for news in sent if isinstance(news, CrashNews) for each in news.suspects]


def request_of(stream: int) -> int:
    return Fingerprint.of("orders", b"GET", str(stream).encode(), b"").request


@when("the connection of agent stream {stream:d} ends")
def one_ends(context: Context, stream: int) -> None:
    end_connection(context.agent, stream)


@when("the connections of agent streams {first:d} and {second:d} end")
def two_end(context: Context, first: int, second: int) -> None:
    end_connection(context.agent, first)
    end_connection(context.agent, second)


@when("no connection opens for agent stream {stream:d}")
def none_opens_for(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    refused = Failure(ErrorKind.BACKEND_FAILED, "connection did not open")
    agent.handle(AttemptFailed(agent.attempt_of(stream), refused, sent_any_byte=False))


@when("a connection to the agent's back end is refused")
def is_refused(context: Context) -> None:
    context.agent.handle(BackendChecked(ConnectResult.REFUSED))


@when("connections to the agent's back end are refused for {seconds:g} seconds")
def are_refused(context: Context, seconds: float) -> None:
    agent: AgentHarness = context.agent
    end, answered = agent.now + seconds, 0
    while agent.now < end:
        while answered < len(agent.outputs_of(CheckBackend)):
            answered += 1
            is_refused(context)
        agent.advance(0.01)


@when("the proxy cancels agent stream {stream:d}, which its back end has begun")
def is_cancelled(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    agent.handle(MessageReceived(PROXY_LINK, CallCancel(stream=stream)))
    cancelled = Failure(ErrorKind.CANCELLED, "cancelled")
    agent.handle(AttemptFailed(agent.attempt_of(stream), cancelled, sent_any_byte=True))


@when("the agent begins to drain")
def begins_to_drain(context: Context) -> None:
    context.agent.handle(DrainRequested())


@when("another process reports itself to the agent")
def is_replaced(context: Context) -> None:
    context.agent.handle(BackendGone())


@when("the agent's relay link is lost")
def relay_lost(context: Context) -> None:
    context.agent.handle(ConnectionClosed(context.agent.relay_link, "lost"))


@when("the agent is registered again")
def registered_again(context: Context) -> None:
    agent: AgentHarness = context.agent
    before = len(agent.outputs_of(OpenConnection))
    while len(agent.outputs_of(OpenConnection)) == before:
        agent.advance(1.0)
    link = agent.outputs_of(OpenConnection)[-1].connection
    agent.handle(ConnectionOpened(link, RELAY))
    agent.handle(MessageReceived(link, LeaseGranted(lease_ms=6000, incarnation=7)))


@then("both were told one crash, and the relay was told it with both requests")
def both_told(context: Context) -> None:
    agent: AgentHarness = context.agent
    failed = agent.sent(PROXY_LINK, CallFailed)
    crashes = {each.crash for each in failed if each.kind == ErrorKind.BACKEND_CRASHED.value}
    assert len(crashes) == 1 and 0 not in crashes, failed
    suspects = told(agent)
    assert {each.request for each in suspects} == {request_of(2), request_of(3)}, suspects
    assert all(set(each.crashes) == crashes for each in suspects), suspects


@then("the relay was told of no crash")
def none_told(context: Context) -> None:
    assert not told(context.agent), told(context.agent)


@then("the relay was told of a crash with the requests of agent streams {first:d} and {second:d}")
def crash_told(context: Context, first: int, second: int) -> None:
    requests = [each.request for each in told(context.agent)]
    assert sorted(requests) == sorted({request_of(first), request_of(second)}), requests
