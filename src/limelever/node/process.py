"""The node process: a proxy and the agent of the local instance in one, for small deployments."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from functools import partial

import attrs
import trio

from limelever.agent.events import REPORT_REFUSED
from limelever.common.byte_budget import ByteBudget
from limelever.common.errors import Failure
from limelever.common.settings import seconds
from limelever.common.stop_rule import StopBegan
from limelever.node.agent_supervisor import AgentSupervisor
from limelever.node.reports import InstanceReport
from limelever.node.settings import NodeSettings, proxy_settings
from limelever.proxy import process as proxy_process
from limelever.transport.gateway import Gateway, start_gateways
from limelever.transport.log import write_event
from limelever.transport.process import (
    FINAL_ANSWERS_SECONDS,
    ProcessFailedError,
    ProcessShell,
    run_role,
)
from limelever.transport.reload import SettingsFile

REFUSAL_LOG_INTERVAL_SECONDS = 10.0
"""Minimum interval between log lines about refused reports."""


class NodeInterface:
    """What gateways of a node use to read its readiness and pass on the reports of its instance."""

    def __init__(self, shell: ProcessShell, supervisor: AgentSupervisor) -> None:
        self._shell = shell
        self._supervisor = supervisor
        self._refused_count = 0
        self._next_log_at = -math.inf

    @property
    def ready(self) -> bool:
        """Return whether the node accepts requests."""
        return self._shell.ready

    async def handle_report(self, report: InstanceReport | Failure) -> Failure | None:
        """Apply an instance's report; log it if it is refused or could not be read.

        Returns why the report is refused, or ``None``. When this returns for a draining report, the
        agent accepts no more calls, nor does another agent of the run after a restart of the node.
        """
        failure = report if isinstance(report, Failure) else self._supervisor.handle_report(report)
        if failure is not None:
            self._log_refused(failure)
        elif isinstance(report, InstanceReport) and report.draining:
            return await self._supervisor.confirm_leave(report.instance, report.started_at_ms)
        return failure

    async def instance_ended(self, instance: str, started_at_ms: int) -> Failure | None:
        """Record that an instance has ended; its agents accept no more calls.

        Returns why the end can't be acknowledged, or ``None``.
        """
        self._supervisor.instance_ended(instance, started_at_ms)
        return await self._supervisor.confirm_leave(instance, started_at_ms)

    def _log_refused(self, failure: Failure) -> None:
        self._refused_count += 1
        now = trio.current_time()
        if now >= self._next_log_at:
            write_event(REPORT_REFUSED, {"reason": failure.reason, "refused": self._refused_count})
            self._next_log_at = now + REFUSAL_LOG_INTERVAL_SECONDS


GatewayFactory = Callable[[NodeInterface], Sequence[Gateway]]


def run(
    settings: NodeSettings,
    gateways: GatewayFactory = lambda _: (),
    *,
    source: SettingsFile | None = None,
) -> int:
    """Run the process until a planned stop or a failure; return the exit status."""
    main = partial(_main, _with_shuffled_relays(settings), gateways)
    return run_role(settings, main, source=source)


def _with_shuffled_relays(settings: NodeSettings) -> NodeSettings:
    """Shuffle the relays, so that nodes don't all connect to the same one first."""
    relays = random.sample(settings.relays, len(settings.relays))
    return attrs.evolve(settings, relays=tuple(relays))


async def _main(settings: NodeSettings, gateways: GatewayFactory, shell: ProcessShell) -> None:
    stopped = trio.Event()
    async with trio.open_nursery() as gateway_nursery:
        budget = ByteBudget(settings.bodies.total_bytes)
        supervisor = AgentSupervisor(settings, shell, gateway_nursery, budget)
        await shell.listen(settings.listen)
        failure = await start_gateways(
            gateways(NodeInterface(shell, supervisor)), stopped, gateway_nursery
        )
        if failure is not None:
            raise ProcessFailedError(failure)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                proxy_process.serve,
                proxy_settings(settings),
                shell,
                supervisor.handle_proxy_output,
                supervisor.proxy_started,
                budget,
            )
            await shell.stop_requested.wait()
            answers_until = shell.stop_limit_at - FINAL_ANSWERS_SECONDS
            listens_until = trio.current_time() + seconds(settings.edge.lame_duck_ms)
            supervisor.stop_began(StopBegan(answers_until, listens_until))
            await trio.sleep_until(listens_until)
            with trio.move_on_at(answers_until):
                await supervisor.stop()
            supervisor.abort_calls()
        stopped.set()
