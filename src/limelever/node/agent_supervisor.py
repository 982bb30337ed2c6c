"""Starts, drains and ends the agents of a node's instance: one agent for each run of the instance.

``limelever.node.reports`` decides what a report means. When :meth:`AgentSupervisor.handle_report`
returns for a draining report, the agent accepts no more calls, so the report may be acknowledged.
"""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Mapping
from functools import partial

import attrs
import trio
from msgspec import Struct
from msgspec.structs import replace

from limelever.agent.backend_client import BackendClient
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.events import INSTANCE_FOUND, LEAVE_LEARNED
from limelever.agent.interface import (
    BackendGone,
    ConfigurationShared,
    DrainFinished,
    DrainLimitReached,
    DrainRequested,
    RelaysShared,
    VersionKnown,
)
from limelever.agent.metrics import record
from limelever.agent.process import (
    build_agent_options,
    with_registration_backoff,
    with_run,
    without_former_calls,
)
from limelever.agent.settings import AgentSettings
from limelever.common.byte_budget import ByteBudget
from limelever.common.departed_runs import DepartedRun
from limelever.common.errors import Failure
from limelever.common.sansio import Address, Event, Output, Purpose, Role
from limelever.common.stop_rule import StopBegan
from limelever.node.identification import InstanceIdentifier
from limelever.node.leaves import Leaves, unstored_refusal
from limelever.node.report_checks import report_refusal
from limelever.node.reports import (
    InstanceReport,
    InstanceTracker,
    ReportOutcome,
    may_have_former_calls,
)
from limelever.node.settings import NodeSettings, agent_settings, registration_backoff
from limelever.node.warm_up_news import WarmUpNews
from limelever.protocol.config_pb2 import Service
from limelever.proxy.call_types import (
    ConfigurationApplied,
    HealthPathChanged,
    RunDepartureStored,
)
from limelever.subscriber.notices import PublishersListed, PublishersReceived
from limelever.transport.log import write_event
from limelever.transport.process import ProcessShell
from limelever.transport.runner import CoreRunner

_FLUSH_SECONDS = 0.2
"""Time for the last answers to be sent after the core has finished."""

PROBED_SEQUENCE = -1
"""Sequence number for an instance found by a probe; each of the instance's own reports is newer."""

BY_PROBE, BY_REPORT, BY_END = "probe", "report", "end"
"""Sources of what the node knows of its instance, as they are logged."""

_NAME_SUFFIX_BYTES = 4
_NANOSECONDS_PER_MILLISECOND = 1_000_000


_SharedEvent = ConfigurationShared | RelaysShared | StopBegan
"""Events for whichever agent runs; an agent that starts later gets the last of each."""


class _RunningAgent(Struct):
    """A running agent; ``finished`` is set once its core has nothing more to do.

    ``report`` is the one that started it, and ``version`` that of its instance's software.
    """

    runner: CoreRunner
    backend: BackendClient
    finished: trio.Event
    report: InstanceReport
    version: str


class AgentSupervisor:
    """Starts, drains and ends agents as the instance starts, drains and ends."""

    def __init__(
        self,
        settings: NodeSettings,
        shell: ProcessShell,
        nursery: trio.Nursery,
        budget: ByteBudget | None = None,
    ) -> None:
        self._settings = settings
        self._budget = budget or ByteBudget()
        self._shell = shell
        self._nursery = nursery
        self._tracker = InstanceTracker()
        self._agent: _RunningAgent | None = None
        self._warm_up = WarmUpNews()
        self._leaves = Leaves()
        self._unfinished: set[trio.Event] = set()
        self._stopping = False
        self._is_first_agent = True
        self._identifying = False
        self._health_path = ""
        self._confirming = False
        self._service = settings.service
        self._identifier = InstanceIdentifier(settings, nursery)
        self._shared_events: dict[type[Event], _SharedEvent] = {}
        shell.reloading.handle("relays", self._relays_changed)

    def handle_report(self, report: InstanceReport) -> Failure | None:
        """Apply an instance's report; return why it is refused, or ``None``."""
        is_active = self._tracker.is_active(report.instance, report.started_at_ms)
        services = self._configured_services()
        if failure := report_refusal(report, self._settings, services, is_active=is_active):
            return failure
        if report.draining and not self._tracker.has_left(report.instance, report.started_at_ms):
            self._log_leave(report.instance, report.started_at_ms, BY_REPORT)
        self._apply(self._tracker.handle_report(report), report)
        if report.draining:
            self._leaves.announce(DepartedRun(report.instance, report.started_at_ms))
        return None

    async def confirm_leave(self, instance: str, started_at_ms: int) -> Failure | None:
        """Wait until a relay has stored the run's leave; return why it can't be acknowledged."""
        stored = await self._leaves.wait_stored(DepartedRun(instance, started_at_ms))
        return unstored_refusal(stored=stored, stopping=self._shell.stop_requested.is_set())

    def proxy_started(self, runner: CoreRunner) -> None:
        """Use the proxy of this process to report leaves."""
        self._leaves.proxy_started(runner.post)

    def _log_leave(self, instance: str, started_at_ms: int, source: str) -> None:
        fields: dict[str, object] = {
            "instance": instance,
            "source": source,
            "started_at_ms": started_at_ms,
            "was_active": self._tracker.is_active(instance, started_at_ms),
        }
        write_event(LEAVE_LEARNED, fields)

    def _apply(self, outcome: ReportOutcome, report: InstanceReport) -> None:
        match outcome:
            case ReportOutcome.INSTANCE_STARTED:
                self._start_agent(report)
            case ReportOutcome.INSTANCE_DRAINING:
                self._drain_agent(run_departed=True)
            case ReportOutcome.INSTANCE_ENDED:
                self._end_agent()
            case ReportOutcome.NO_CHANGE:
                self._set_version(report)
            case ReportOutcome.IDENTITY_UNCONFIRMED if not self._confirming:
                self._confirming = True
                self._nursery.start_soon(self._confirm_identity, report)
        news = self._warm_up.select(report, outcome, self._tracker)
        if news is not None and self._agent is not None:
            self._agent.runner.post(news)

    def instance_ended(self, instance: str, started_at_ms: int) -> None:
        """Record that an instance has ended, and drain its agent."""
        if not self._tracker.has_left(instance, started_at_ms):
            self._log_leave(instance, started_at_ms, BY_END)
        if self._tracker.handle_end(instance, started_at_ms) is ReportOutcome.INSTANCE_DRAINING:
            self._drain_agent(run_departed=True)
        self._leaves.announce(DepartedRun(instance, started_at_ms))

    def handle_proxy_output(self, output: Output) -> None:
        """Use the local proxy's output, so that the agent needs no subscription of its own."""
        match output:
            case HealthPathChanged(path):
                self._set_health_path(path)
                self._tracker.can_identify = True
                self._identify_if_unknown(path)
            case ConfigurationApplied(version, configuration):
                self._forward(ConfigurationShared(version, configuration))
            case PublishersReceived():
                self._forward(RelaysShared(output))
            case RunDepartureStored(run):
                self._leaves.stored(run)

    def _set_health_path(self, path: str) -> None:
        self._health_path = path
        if self._agent is not None:
            self._agent.backend.health_path = path

    def _forward(self, event: _SharedEvent) -> None:
        self._shared_events[type(event)] = event
        if self._agent is not None:
            self._agent.runner.post(event)

    def _identify_if_unknown(self, path: str) -> None:
        """Probe ``path`` for the instance's identifier until it is known or has been reported.

        Otherwise the instance would be idle after a restart of the node until its next report.
        """
        if not self._tracker.instance and not self._identifying:
            self._identifying = True
            self._nursery.start_soon(self._identify, path)

    def stop_began(self, stop: StopBegan) -> None:
        """Have the agents refuse calls that may outlast the stop of the node."""
        self._forward(stop)

    async def stop(self) -> None:
        """Drain the agent at a planned stop of the node, and wait for all agents to finish."""
        self._stopping = True
        self._drain_agent()
        while self._unfinished:
            await next(iter(self._unfinished)).wait()

    def abort_calls(self) -> None:
        """Abort the running calls and notify their proxies, as the process is about to exit."""
        if self._agent is not None:
            self._agent.runner.post(DrainLimitReached())

    def _relays_changed(self, relays: tuple[Address, ...]) -> None:
        self._settings = attrs.evolve(self._settings, relays=relays)
        if self._agent is not None:
            self._agent.runner.post(PublishersListed(relays))

    async def _identify(self, path: str) -> None:
        found = await self._identifier.find_while(path, self._is_unknown)
        self._identifying = False
        if found is not None:
            service = self._settings.service
            self.handle_report(
                InstanceReport(
                    found.instance,
                    service,
                    PROBED_SEQUENCE,
                    slots=found.slots,
                    warm_up_left=found.warm_up_left,
                )
            )

    def _is_unknown(self) -> bool:
        return not self._tracker.instance and not self._stopping

    async def _confirm_identity(self, report: InstanceReport) -> None:
        """Probe which instance holds the address, and track the sender of a report if it does."""
        services = (report.service, self._service)
        found = await self._identifier.find({self._health_path_of(each) for each in services})
        self._confirming = False
        instance = found.instance if found is not None else ""
        self._apply(self._tracker.confirm_identity(report, instance), report)

    def _health_path_of(self, service: str) -> str:
        """Return the configured health path of a service, by default that of this node's own."""
        configured = (self._configured_services() or {}).get(service)
        return (configured.health_path if configured is not None else "") or self._health_path

    def _configured_services(self) -> Mapping[str, Service] | None:
        """Return the services of the configuration by name, ``None`` without a configuration."""
        shared = self._shared_events.get(ConfigurationShared)
        return shared.configuration.services if isinstance(shared, ConfigurationShared) else None

    def _set_version(self, report: InstanceReport) -> None:
        """Pass the reported version to an agent whose instance was found by a probe."""
        agent = self._agent
        if agent is None or agent.version or not report.version:
            return
        if self._is_active(report) and self._is_tracked(agent.report):
            agent.version = report.version
            agent.runner.post(VersionKnown(report.version, report.warm_up_left or 0.0))

    def _drain_agent(self, *, run_departed: bool = False) -> None:
        if self._agent is not None:
            self._agent.runner.post(DrainRequested(run_departed))

    def _start_agent(self, report: InstanceReport) -> None:
        """Start an agent for a new run of the instance, and end the agent of the previous run."""
        self._end_agent()
        if self._stopping:
            return
        self._service = report.service
        self._log_found(report)
        name = f"{report.instance}-{secrets.token_hex(_NAME_SUFFIX_BYTES)}"
        settings = agent_settings(self._settings, report, name)
        self._nursery.start_soon(partial(self._run_agent, settings, report))

    def _is_active(self, report: InstanceReport) -> bool:
        return self._tracker.is_active(report.instance, report.started_at_ms)

    def _is_tracked(self, report: InstanceReport) -> bool:
        return self._tracker.is_tracked(report.instance, report.started_at_ms)

    def _log_found(self, report: InstanceReport) -> None:
        fields: dict[str, object] = {
            "instance": report.instance,
            "source": BY_PROBE if report.sequence == PROBED_SEQUENCE else BY_REPORT,
            "sequence": report.sequence,
            "started_at_ms": report.started_at_ms,
        }
        write_event(INSTANCE_FOUND, fields)

    def _end_agent(self) -> None:
        if self._agent is not None:
            self._agent.runner.post(BackendGone())

    def _agent_options(self, settings: AgentSettings, report: InstanceReport) -> AgentOptions:
        options = with_registration_backoff(
            build_agent_options(settings, self._settings.listen, None),
            registration_backoff(self._settings),
        )
        options = with_run(options, report.instance, report.started_at_ms)
        if not self._is_first_agent or not may_have_former_calls(report):
            options = without_former_calls(options)
        self._is_first_agent = False
        return options

    async def _run_agent(self, settings: AgentSettings, report: InstanceReport) -> None:
        instance, warm_up_left = report.instance, report.warm_up_left or 0.0
        incarnation = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
        options = self._agent_options(settings, report)
        core = AgentCore(options, incarnation, random.Random(), budget=self._budget)
        finished = trio.Event()
        self._unfinished.add(finished)

        def on_output(output: Output) -> None:
            if isinstance(output, DrainFinished):
                finished.set()
            elif not record(output):
                backend.carry_out(output)

        listener = self._shell.listener
        async with trio.open_nursery() as nursery:
            listener.identity = replace(listener.identity, incarnation=incarnation)
            runner = self._shell.add_core(core, on_output, accepts=[Purpose.CALLS], role=Role.AGENT)
            header_names = settings.headers.names()
            backend = BackendClient(
                settings.backend,
                nursery,
                runner.post,
                header_names,
                instance.encode(),
                self._health_path,
                self._budget,
            )
            # Reports of the run may have come since the one that started its agent.
            version = self._tracker.version if self._is_tracked(report) else settings.version
            agent = _RunningAgent(runner, backend, finished, report, version)
            self._agent = agent
            await nursery.start(runner.run)
            if version:
                runner.post(VersionKnown(version, warm_up_left))
            news = self._warm_up.latest
            if news is not None and self._is_tracked(report):
                runner.post(news)
            for event in self._shared_events.values():
                runner.post(event)
            departed = self._tracker.has_left(instance, report.started_at_ms)
            if departed or self._stopping or not self._is_active(report):
                runner.post(DrainRequested(departed))
            await finished.wait()
            if listener.runners.get(Purpose.CALLS) is runner:
                del listener.runners[Purpose.CALLS]
            await trio.sleep(_FLUSH_SECONDS)
            backend.close()
            nursery.cancel_scope.cancel()
        if self._agent is agent:
            self._agent = None
        self._unfinished.discard(finished)
