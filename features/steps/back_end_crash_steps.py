"""Steps for crashes of an agent's back end while calls are running."""

from __future__ import annotations

from agent_harness import PROXY_CONNECTION, AgentHarness
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

CONNECTION_BROKE = Failure(ErrorKind.BACKEND_FAILED, "the connection broke")
RELAY = Peer(Role.RELAY, "relay-1", "lodz-a", Purpose.REGISTRATION)
LONGEST_PAUSE = 30.0


def break_attempt(agent: AgentHarness, stream: int) -> None:
    attempt = agent.attempt_of(stream)
    agent.handle(
        AttemptFailed(attempt, CONNECTION_BROKE, sent_any_byte=True, connection_ended=True)
    )


def reported_suspects(agent: AgentHarness) -> list[Suspect]:
    """Return the suspects reported to relays on any connection."""
    sent = [output.message for output in agent.outputs_of(SendMessage)]
    return [each for message in sent if isinstance(message, CrashNews) for each in message.suspects]


def request_of(stream: int) -> int:
    return Fingerprint.of("orders", b"GET", str(stream).encode(), b"").request


@when("the back end connection of agent stream {stream:d} breaks")
def break_connection(context: Context, stream: int) -> None:
    break_attempt(context.agent, stream)


@when("the back end connections of agent streams {first:d} and {second:d} break")
def break_connections(context: Context, first: int, second: int) -> None:
    break_attempt(context.agent, first)
    break_attempt(context.agent, second)


@when("no back end connection opens for agent stream {stream:d}")
def fail_to_connect(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    refused = Failure(ErrorKind.BACKEND_FAILED, "connection did not open")
    agent.handle(AttemptFailed(agent.attempt_of(stream), refused, sent_any_byte=False))


@when("a connection to the agent's back end is refused")
def refuse_check(context: Context) -> None:
    context.agent.handle(BackendChecked(ConnectResult.REFUSED))


@when("connections to the agent's back end are refused for {seconds:g} seconds")
def refuse_checks(context: Context, seconds: float) -> None:
    agent: AgentHarness = context.agent
    end, answered = agent.now + seconds, 0
    while agent.now < end:
        while answered < len(agent.outputs_of(CheckBackend)):
            answered += 1
            refuse_check(context)
        agent.advance(0.01)


@when("the proxy cancels agent stream {stream:d} while it runs at the back end")
def cancel_running_call(context: Context, stream: int) -> None:
    agent: AgentHarness = context.agent
    agent.handle(MessageReceived(PROXY_CONNECTION, CallCancel(stream=stream)))
    cancelled = Failure(ErrorKind.CANCELLED, "cancelled")
    agent.handle(AttemptFailed(agent.attempt_of(stream), cancelled, sent_any_byte=True))


@when("the agent begins to drain")
def begin_drain(context: Context) -> None:
    context.agent.handle(DrainRequested())


@when("another back end process reports to the agent")
def replace_process(context: Context) -> None:
    context.agent.handle(BackendGone())


@when("the agent's connection to its relay closes")
def lose_relay_connection(context: Context) -> None:
    context.agent.handle(ConnectionClosed(context.agent.relay_connection, "lost"))


@when("the agent is registered again")
def register_again(context: Context) -> None:
    agent: AgentHarness = context.agent
    before = len(agent.outputs_of(OpenConnection))
    while len(agent.outputs_of(OpenConnection)) == before:
        agent.advance(1.0)
    connection = agent.outputs_of(OpenConnection)[-1].connection
    agent.handle(ConnectionOpened(connection, RELAY))
    agent.handle(MessageReceived(connection, LeaseGranted(lease_ms=6000, incarnation=7)))


@then("both failures have one crash number, which the relay received with both requests")
def check_one_crash(context: Context) -> None:
    agent: AgentHarness = context.agent
    failed = agent.sent(PROXY_CONNECTION, CallFailed)
    crashes = {each.crash for each in failed if each.kind == ErrorKind.BACKEND_CRASHED.value}
    assert len(crashes) == 1 and 0 not in crashes, failed
    suspects = reported_suspects(agent)
    assert {each.request for each in suspects} == {request_of(2), request_of(3)}, suspects
    assert all(set(each.crashes) == crashes for each in suspects), suspects


@then("no crash was reported to the relay")
def check_no_crash(context: Context) -> None:
    assert not reported_suspects(context.agent), reported_suspects(context.agent)


@then(
    "a crash was reported to the relay with the requests of agent streams {first:d} and {second:d}"
)
def check_crash_of(context: Context, first: int, second: int) -> None:
    requests = [each.request for each in reported_suspects(context.agent)]
    assert sorted(requests) == sorted({request_of(first), request_of(second)}), requests
