"""Steps for agents that a node starts while reports come; the agents' runners only note events."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context

from limelever.agent.interface import VersionKnown
from limelever.agent.settings import BackendSettings
from limelever.common.sansio import Address, Role
from limelever.node.agent_supervisor import PROBED_SEQUENCE, AgentSupervisor
from limelever.node.reports import InstanceReport
from limelever.node.settings import NodeSettings
from limelever.proxy.settings import EdgeSettings
from limelever.transport.links import LinkIdentity

LOCAL = Address("127.0.0.1", 1)
SETTINGS = NodeSettings(
    role=Role.NODE,
    name="node-1",
    zone="zone-a",
    service="orders",
    listen=LOCAL,
    relays=(LOCAL,),
    backend=BackendSettings(address=LOCAL),
    edge=EdgeSettings(listen=LOCAL),
)


class NotingRunner:
    """Stands for an agent's core; notes the events that it is given."""

    def __init__(self) -> None:
        self.events: list = []

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        task_status.started()
        await trio.sleep_forever()

    def post(self, event) -> None:
        self.events.append(event)

    @property
    def versions(self) -> list[str]:
        return [event.version for event in self.events if isinstance(event, VersionKnown)]


class NotingShell:
    """The parts of a process that agents are started with."""

    def __init__(self) -> None:
        self.runners: list[NotingRunner] = []
        self.reloading = SimpleNamespace(handle=lambda name, handler: None)
        identity = LinkIdentity(Role.NODE, "node-1", "zone-a", "")
        self.listener = SimpleNamespace(identity=identity, runners={})
        self.stop_requested = trio.Event()

    def add_core(self, core, on_output, accepts, role) -> NotingRunner:
        self.runners.append(NotingRunner())
        return self.runners[-1]


def found(instance: str) -> InstanceReport:
    return InstanceReport(instance, "orders", PROBED_SEQUENCE)


def reported(instance: str, version: str) -> InstanceReport:
    return InstanceReport(instance, "orders", 5, version=version, started_at_ms=2000)


async def play(steps) -> list[list[str]]:
    """Give a node reports, ``None`` for time to start agents; return each agent's versions."""
    shell = NotingShell()
    async with trio.open_nursery() as nursery:
        supervisor = AgentSupervisor(SETTINGS, shell, nursery)
        for step in (*steps, None):
            if step is None:
                await trio.testing.wait_all_tasks_blocked()
            else:
                assert supervisor.handle_report(step) is None
        nursery.cancel_scope.cancel()
    return [runner.versions for runner in shell.runners]


@given("a node that starts agents for its instance")
def given_node(context: Context) -> None:
    context.steps = []


@when("a probe finds the instance")
def when_found(context: Context) -> None:
    context.steps += [found("i-1"), None]


@when('a probe finds the instance, and a report with version "{version}" comes {moment}')
def when_reported(context: Context, version: str, moment: str) -> None:
    pause = [] if moment.startswith("before") else [None]
    context.steps += [found("i-1"), *pause, reported("i-1", version)]


@when(
    'another instance is found, and its report with version "{version}" comes before its agent is '
    "started"
)
def when_replaced(context: Context, version: str) -> None:
    ended = InstanceReport("i-1", "orders", 9, draining=True)
    context.steps += [ended, found("i-2"), reported("i-2", version)]


@then('the instance\'s agent has got the version "{version}" once')
def then_version(context: Context, version: str) -> None:
    versions = trio.run(partial(play, context.steps))
    assert versions == [[version]], versions


@then(
    "the former instance's agent has got no version, "
    'and the new one\'s the version "{version}" once'
)
def then_new_version(context: Context, version: str) -> None:
    versions = trio.run(partial(play, context.steps))
    assert versions == [[], [version]], versions
