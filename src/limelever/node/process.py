"""The node process: a proxy and the agent of the instance beside it, for small sites."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from functools import partial

import attrs
import trio

from limelever.agent.events import REPORT_REFUSED
from limelever.common.errors import Failure
from limelever.common.settings import seconds
from limelever.node.agent_supervisor import InstanceAgents
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

REFUSED_LOG_INTERVAL = 10.0
"""Seconds between two log lines on refused reports: a writer that goes on floods no log."""


class NodeDoor:
    """What further interfaces of a node use: its readiness, and the reports of its instance."""

    def __init__(self, shell: ProcessShell, agents: InstanceAgents) -> None:
        self._shell = shell
        self._agents = agents
        self._refused = 0
        self._next_log_at = -math.inf

    @property
    def ready(self) -> bool:
        """Return whether callers are to come here."""
        return self._shell.ready

    def report(self, report: InstanceReport | Failure) -> Failure | None:
        """Take an instance's report; what follows from it has begun when this returns.

        Returns why it names no instance to use, as it may come from elsewhere or be unreadable.
        """
        failure = report if isinstance(report, Failure) else self._agents.report(report)
        if failure is not None:
            self._log_refused(failure)
        return failure

    def instance_ended(self, instance: str, born: int) -> None:
        """Take the word of an instance that it ends; no call begins there from now on."""
        self._agents.instance_ended(instance, born)

    def _log_refused(self, failure: Failure) -> None:
        self._refused += 1
        now = trio.current_time()
        if now >= self._next_log_at:
            write_event(REPORT_REFUSED, {"reason": failure.reason, "refused": self._refused})
            self._next_log_at = now + REFUSED_LOG_INTERVAL


Gateways = Callable[[NodeDoor], Sequence[Gateway]]


def run(
    settings: NodeSettings,
    gateways: Gateways = lambda _: (),
    *,
    source: SettingsFile | None = None,
) -> int:
    """Run the process until a planned stop or a failure; return the exit status."""
    main = partial(_main, _spread(settings), gateways)
    return run_role(settings, main, source=source)


def _spread(settings: NodeSettings) -> NodeSettings:
    """Put the relays in an order drawn at random, so that not all nodes begin with one."""
    relays = random.sample(settings.relays, len(settings.relays))
    return attrs.evolve(settings, relays=tuple(relays))


async def _main(settings: NodeSettings, gateways: Gateways, shell: ProcessShell) -> None:
    done = trio.Event()
    async with trio.open_nursery() as serving:
        agents = InstanceAgents(settings, shell, serving)
        await shell.listen(settings.listen)
        failure = await start_gateways(gateways(NodeDoor(shell, agents)), done, serving)
        if failure is not None:
            raise ProcessFailedError(failure)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                proxy_process.serve, proxy_settings(settings), shell, agents.told_by_proxy
            )
            await shell.stop_requested.wait()
            await trio.sleep(seconds(settings.edge.lame_duck_ms))
            with trio.move_on_at(shell.stop_limit_at - FINAL_ANSWERS_SECONDS):
                await agents.stop()
            agents.cut_off()
        done.set()
