"""The agents that a node runs beside its instance: one for each run of the instance.

A thin shell: ``reports`` decides what a report means. A report that the instance leaves has closed
the agent's gate when :meth:`InstanceAgents.report` returns, so that it may be acknowledged.
"""

from __future__ import annotations

import random
import secrets
import time
from functools import partial

import attrs
import trio
from msgspec import Struct
from msgspec.structs import replace

from limelever.agent.backend_client import BackendClient
from limelever.agent.core import AgentCore
from limelever.agent.health_answer import FoundInstance
from limelever.agent.interface import (
    BackendGone,
    ConfigurationShared,
    DrainFinished,
    DrainLimitReached,
    DrainRequested,
    RelaysShared,
    VersionKnown,
)
from limelever.agent.process import options_from, with_pauses
from limelever.agent.settings import AgentSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address, Event, Output, Purpose, Role
from limelever.node.reports import InstanceReport, InstanceWatch, ReportOutcome
from limelever.node.settings import NodeSettings, agent_settings, dialling_pauses
from limelever.proxy.call_types import ConfigurationInForce, HealthPathKnown
from limelever.subscriber.notices import PublishersListed, PublishersReceived
from limelever.transport.process import ProcessShell
from limelever.transport.runner import CoreRunner

_FLUSH_SECONDS = 0.2
"""Time that last answers have to leave after the core has finished."""

LOOK_TIMEOUT = 0.3
"""Seconds that the instance has to say who it is: a probe may wait there for a slot like a call."""

LOOK_INTERVAL = 0.1
"""Seconds between two such questions; its report comes within one to two seconds anyway."""

BEFORE_ANY_REPORT = -1
"""Sequence of what was found by asking: every report of the instance itself is newer."""

_NAME_BYTES = 4
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class _Agent(Struct):
    """An agent under way; ``finished`` is set once its core has nothing more to do."""

    runner: CoreRunner
    finished: trio.Event
    version: str


class InstanceAgents:
    """Starts and ends agents as the instance comes and goes."""

    def __init__(self, settings: NodeSettings, shell: ProcessShell, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._shell = shell
        self._nursery = nursery
        self._watch = InstanceWatch()
        self._current: _Agent | None = None
        self._under_way: set[trio.Event] = set()
        self._stopping = False
        self._looking = False
        self._shared: dict[type[Event], ConfigurationShared | RelaysShared] = {}
        shell.reloading.handle("relays", self._relays_listed)

    def report(self, report: InstanceReport) -> Failure | None:
        """Take an instance's report of itself; return why it names no instance beside this node."""
        if failure := self._stranger(report):
            return failure
        match self._watch.reported(report):
            case ReportOutcome.INSTANCE_STARTED:
                self._replace(report)
            case ReportOutcome.INSTANCE_LEAVES:
                self._drain()
            case ReportOutcome.INSTANCE_ENDED:
                self._end_current()
            case ReportOutcome.NOTHING_NEW:
                self._name_version(report)
        return None

    def instance_ended(self, instance: str, born: int) -> None:
        """Take the word of an instance that it ends."""
        if self._watch.ended(instance, born) is ReportOutcome.INSTANCE_LEAVES:
            self._drain()

    def told_by_proxy(self, output: Output) -> None:
        """Take what the proxy of the process says: the agent needs no subscription of its own."""
        match output:
            case HealthPathKnown(path):
                self._look_for_instance(path)
            case ConfigurationInForce(version, configuration):
                self._share(ConfigurationShared(version, configuration))
            case PublishersReceived():
                self._share(RelaysShared(output))

    def _share(self, event: ConfigurationShared | RelaysShared) -> None:
        self._shared[type(event)] = event
        if self._current is not None:
            self._current.runner.post(event)

    def _look_for_instance(self, path: str) -> None:
        """Ask the instance at ``path`` who it is, until it has reported itself.

        A node that restarts beside its instance would have it idle until its next report.
        """
        if not self._watch.instance and not self._looking:
            self._looking = True
            self._nursery.start_soon(self._look, path)

    async def stop(self) -> None:
        """Drain the agent at a planned stop of the node, and wait for what is under way."""
        self._stopping = True
        self._drain()
        while self._under_way:
            await next(iter(self._under_way)).wait()

    def cut_off(self) -> None:
        """Tell the proxies whose calls still run that they are given up: the process ends."""
        if self._current is not None:
            self._current.runner.post(DrainLimitReached())

    def _relays_listed(self, relays: tuple[Address, ...]) -> None:
        self._settings = attrs.evolve(self._settings, relays=relays)
        if self._current is not None:
            self._current.runner.post(PublishersListed(relays))

    async def _look(self, path: str) -> None:
        settings = self._settings
        names = settings.headers.names()
        backend = BackendClient(settings.backend, self._nursery, lambda _: None, names)
        found: FoundInstance | None = None
        while found is None and not self._watch.instance and not self._stopping:
            found = await backend.find_instance(path, LOOK_TIMEOUT)
            if found is None:
                await trio.sleep(LOOK_INTERVAL)
        backend.close()
        self._looking = False
        if found is not None and not self._watch.instance and not self._stopping:
            self.report(
                InstanceReport(
                    found.instance, settings.service, BEFORE_ANY_REPORT, slots=found.slots
                )
            )

    def _stranger(self, report: InstanceReport) -> Failure | None:
        """Return why an instance can't be the one beside this node, whose place it would take."""
        here = self._settings.backend.address
        if report.address not in (None, here):
            return Failure(ErrorKind.INVALID_REQUEST, f"the instance here has the address {here}")
        shared = self._shared.get(ConfigurationShared)
        named = shared.configuration.services if isinstance(shared, ConfigurationShared) else ()
        if report.service != self._settings.service and report.service not in named:
            return Failure(ErrorKind.INVALID_REQUEST, "the service is not known")
        return None

    def _name_version(self, report: InstanceReport) -> None:
        """Tell an agent whose instance was found by asking which version it is of."""
        current = self._current
        if current is None or current.version or not report.version:
            return
        if self._watch.is_staying(report.instance, report.born):
            current.version = report.version
            current.runner.post(VersionKnown(report.version, report.warm_up_left))

    def _drain(self) -> None:
        if self._current is not None:
            self._current.runner.post(DrainRequested())

    def _replace(self, report: InstanceReport) -> None:
        """Start an agent for an instance that took the place of the one before."""
        self._end_current()
        if self._stopping:
            return
        name = f"{report.instance}-{secrets.token_hex(_NAME_BYTES)}"
        settings = agent_settings(self._settings, report, name)
        self._nursery.start_soon(partial(self._run, settings, report))

    def _end_current(self) -> None:
        if self._current is not None:
            self._current.runner.post(BackendGone())

    async def _run(self, settings: AgentSettings, report: InstanceReport) -> None:
        instance, warm_up_left = report.instance, report.warm_up_left
        incarnation = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
        options = with_pauses(
            options_from(settings, self._settings.listen, None), dialling_pauses(self._settings)
        )
        core = AgentCore(options, incarnation, random.Random())
        finished = trio.Event()
        self._under_way.add(finished)

        def on_output(output: Output) -> None:
            if isinstance(output, DrainFinished):
                finished.set()
            else:
                backend.carry_out(output)

        listener = self._shell.listener
        async with trio.open_nursery() as nursery:
            listener.identity = replace(listener.identity, incarnation=incarnation)
            runner = self._shell.add_core(core, on_output, accepts=[Purpose.CALLS], role=Role.AGENT)
            names = settings.headers.names()
            backend = BackendClient(
                settings.backend, nursery, runner.post, names, instance.encode()
            )
            agent = self._current = _Agent(runner, finished, settings.version)
            await nursery.start(runner.run)
            if settings.version:
                runner.post(VersionKnown(settings.version, warm_up_left))
            for event in self._shared.values():
                runner.post(event)
            if self._stopping or not self._watch.is_staying(instance, report.born):
                runner.post(DrainRequested())
            await finished.wait()
            if listener.runners.get(Purpose.CALLS) is runner:
                del listener.runners[Purpose.CALLS]
            await trio.sleep(_FLUSH_SECONDS)
            backend.close()
            nursery.cancel_scope.cancel()
        if self._current is agent:
            self._current = None
        self._under_way.discard(finished)
