"""The sans-I/O core of one proxy, which combines configuration, endpoints, calls and claims."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

from msgspec import Struct, field

from limelever.common.byte_budget import ByteBudget
from limelever.common.deadlines import earliest
from limelever.common.errors import Failure
from limelever.common.instance_runs import InstanceRun
from limelever.common.regions import Regions
from limelever.common.sansio import (
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    DeadlineReached,
    DialledConnections,
    Event,
    LogEvent,
    MessageReceived,
    Output,
    Recovered,
    Started,
)
from limelever.common.stop_rule import StopBegan
from limelever.keeper.client import ClaimSettled, CompletionSettled, KeeperClientCore
from limelever.keeper.settings import KeeperClientSettings
from limelever.keeper.tally import AnswerRecorded, ClaimGranted
from limelever.limits.rules import LimitRules
from limelever.protocol.config_pb2 import RESOURCE_KIND_SERVICE
from limelever.protocol.endpoint_news import unpack
from limelever.protocol.endpoints_pb2 import LoadUpdate
from limelever.protocol.keys import Key
from limelever.proxy import events
from limelever.proxy.agent_links import AgentLinks
from limelever.proxy.attempts import AttemptDispatcher, AttemptSettings
from limelever.proxy.balancer import Balancer, BalancerSettings
from limelever.proxy.call_state import CallTable
from limelever.proxy.call_types import (
    CallArrived,
    CallerGone,
    ConfigurationApplied,
    HealthPathChanged,
    ProxyReady,
    ReportDeparture,
    ReportSuspects,
    RunDeparted,
    StopFinished,
    StopLimitNear,
    StopLimitReached,
    StopRequested,
)
from limelever.proxy.calls import CallEngine, CallSettings
from limelever.proxy.departure_reporter import DepartureReporter
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.group_limits import GroupLimits, LimitSettings
from limelever.proxy.health import HealthSettings
from limelever.proxy.limit_usage_reporter import LimitUsageReporter
from limelever.proxy.link_silence import DEFAULT_SILENCE_SECONDS, LinkSilence
from limelever.proxy.quarantine import Quarantine, SendCrashNews
from limelever.proxy.reported_suspects import MAX_REPORTED, ReportedSuspects
from limelever.proxy.route_table_builder import build_route_table, update_route_table
from limelever.proxy.router import RouteTable
from limelever.proxy.silent_links import SilentLinks
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import NO_TENANTS
from limelever.proxy.version_gate import VersionGate
from limelever.proxy.zone_drains import ZoneDrainFilter
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    DeparturesStored,
    EndpointsReceived,
    FreshnessProved,
    LimitNewsReceived,
    LoadsReceived,
)
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings

SWEEP_INTERVAL_SECONDS = 5.0
"""Interval between removals of unused links, health records and quarantine entries."""


class ProxyCoreSettings(Struct, frozen=True):
    """Settings of the core's components.

    ``own_service`` is the service the proxy runs beside. ``link_silence`` is the time in seconds
    after which a silent link to an agent is suspect, 0 for never.
    """

    subscriber: SubscriberSettings
    keepers: KeeperClientSettings
    calls: CallSettings = field(default_factory=CallSettings)
    attempts: AttemptSettings = field(default_factory=AttemptSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    balancer: BalancerSettings = field(default_factory=BalancerSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    tenant_limits: LimitRules = field(default_factory=LimitRules)
    own_service: str = ""
    regions: Regions = field(default_factory=Regions)
    link_silence: float = DEFAULT_SILENCE_SECONDS


class ProxyCore:
    """Dispatches events to the components of a proxy; implements the sans-I/O ``Core`` contract.

    ``random_source`` must be seeded from system entropy outside simulations, because claim tokens
    and attempt identifiers are drawn from it.
    """

    def __init__(
        self,
        settings: ProxyCoreSettings,
        random_source: random.Random,
        recovered: Recovered,
        sealer: Sealer | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        self._outputs: list[Output] = []
        connections = DialledConnections()
        self._subscriber = SubscriberCore(
            settings.subscriber,
            connections,
            itertools.count(1),
            random_source,
            recovered,
            sealer,
        )
        self._keepers = KeeperClientCore(settings.keepers, connections, random_source)
        self._tenant_limits = TenantLimits(settings.tenant_limits, random_source)
        self._limit_reports = LimitUsageReporter(self._tenant_limits, self._subscriber)
        self._departures = DepartureReporter(self._subscriber)
        self._table: RouteTable | None = None
        self._rebuild_needed = False
        self._endpoints = EndpointView(settings.regions)
        self._zone_drains = ZoneDrainFilter()
        self._version_gate = VersionGate(random_source)
        self._balancer = Balancer(settings.balancer, settings.health, random_source)
        self._links = AgentLinks(connections, random_source)
        self._calls = CallTable()
        silence = LinkSilence(settings.link_silence)
        self._reported_suspects = ReportedSuspects()
        attempts = AttemptDispatcher(
            settings.attempts,
            self._calls,
            self._endpoints,
            self._zone_drains,
            self._version_gate,
            self._balancer,
            self._links,
            silence,
            self._reported_suspects,
            random_source,
            self._outputs,
            budget,
        )
        self._attempts = attempts
        self._quarantine = Quarantine(random_source, self._outputs)
        self._engine = CallEngine(
            settings.calls,
            self._calls,
            attempts,
            GroupLimits(settings.limits),
            self._tenant_limits,
            self._keepers,
            self._quarantine,
            random_source,
            self._outputs,
        )
        self._silent_links = SilentLinks(
            silence, self._links, self._calls, self._engine, self._outputs
        )
        self._own_service = settings.own_service
        self._health_path = ""
        self._ready = False
        self._stopping = False
        self._next_sweep_at = 0.0
        self._interceptors: dict[type[Output], Callable[[Any, float], None]] = {
            ConfigurationInstalled: self._apply_configuration,
            FreshnessProved: self._record_freshness,
            EndpointsReceived: self._update_endpoints,
            LoadsReceived: self._update_loads,
            CrashNewsReceived: self._handle_crash_news,
            LimitNewsReceived: self._handle_limit_news,
            DeparturesStored: self._handle_departures_stored,
            SendCrashNews: self._forward_crash_news,
            ReportDeparture: self._report_departure,
            ReportSuspects: self._report_suspects,
            ClaimSettled: self._handle_claim_outcome,
            CompletionSettled: self._handle_completion,
        }

    @property
    def in_flight(self) -> int:
        """The number of calls without a final answer."""
        return self._engine.in_flight

    @property
    def version(self) -> int:
        """The installed configuration version, 0 for none."""
        return self._subscriber.version

    @property
    def fresh_at(self) -> float | None:
        """When the configuration was last confirmed current (seconds, monotonic), or ``None``."""
        return self._subscriber.fresh_at

    def handle(self, event: Event, now: float) -> list[Output]:
        """Process one event at ``now`` (seconds, monotonic) and return the resulting outputs."""
        self._silent_links.observe(event, now)
        match event:
            case CallArrived(call, request):
                self._engine.call_arrived(call, request, now)
            case MessageReceived(connection, message) if self._links.owns(connection):
                self._engine.message_received(connection, message, now)
            case CallerGone(call):
                self._engine.caller_gone(call, now)
            case RunDeparted(run):
                self._outputs.extend(self._departures.announce(run))
            case StopBegan():
                self._engine.stop_began(event)
            case StopRequested():
                self._stopping = True
            case StopLimitNear():
                self._engine.cancel_queued_calls(now)
            case StopLimitReached():
                self._engine.end_open_calls(now)
            case DeadlineReached():
                self._deadline_reached(event, now)
            case _:
                self._link_event(event, now)
                self._outputs.extend(self._limit_reports.poll(now))
        return self._drain_outputs(now)

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` must be delivered next (seconds, monotonic)."""
        return earliest(
            self._engine.next_deadline(),
            self._attempts.next_deadline(),
            self._silent_links.next_deadline(),
            self._subscriber.next_deadline(),
            self._keepers.next_deadline(),
            self._limit_reports.next_deadline(),
            self._next_sweep_at,
        )

    def _link_event(self, event: Event, now: float) -> None:
        connection = _connection_of(event)
        if connection is not None and self._links.owns(connection):
            self._agent_link_event(event, now)
        elif connection is not None and self._keepers.owns(connection):
            self._outputs.extend(self._keepers.handle(event, now))
        else:
            self._departures.observe(event)
            self._outputs.extend(self._subscriber.handle(event, now))
            self._outputs.extend(self._departures.poll())
        if isinstance(event, Started):
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            self._outputs.extend(self._keepers.start(now))

    def _agent_link_event(self, event: Event, now: float) -> None:
        match event:
            case ConnectionOpened(connection, peer):
                self._engine.link_opened(connection, peer, now)
            case ConnectionFailed(connection, failure):
                self._engine.link_lost(connection, failure.reason, now)
            case ConnectionClosed(connection, reason, unsent):
                self._engine.link_lost(connection, reason, now, unsent)

    def _deadline_reached(self, event: Event, now: float) -> None:
        self._engine.wake(now)
        self._attempts.resume_answers(now)
        self._silent_links.wake(now)
        self._outputs.extend(self._keepers.tick(now))
        self._outputs.extend(self._subscriber.handle(event, now))
        self._outputs.extend(self._limit_reports.poll(now))
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_SECONDS
            busy = self._calls.busy_connections()
            self._links.close_unused(self._endpoints.addresses(), busy, self._outputs)
            self._balancer.keep_only(self._endpoints.keys(), now)
            self._quarantine.expire(now)

    def _drain_outputs(self, now: float) -> list[Output]:
        """Process the outputs addressed to this core; return the others in order."""
        remaining: list[Output] = []
        position = 0
        while position < len(self._outputs):
            output = self._outputs[position]
            position += 1
            interceptor = self._interceptors.get(type(output))
            if interceptor is None:
                remaining.append(output)
            else:
                interceptor(output, now)
        self._outputs.clear()
        if self._stopping and not self._engine.in_flight:
            self._stopping = False
            remaining.append(StopFinished())
        return remaining

    def _apply_configuration(self, installed: ConfigurationInstalled, now: float) -> None:
        self._apply_zone_drains(installed, now)
        table = self._build_table(installed)
        if isinstance(table, Failure):
            self._outputs.append(LogEvent(events.ROUTES_REFUSED, {"reason": str(table)}))
            self._rebuild_needed = True
            return
        self._apply_tenants(table)
        self._table = table
        self._rebuild_needed = False
        self._engine.set_table(table)
        self._version_gate.set_rollouts(installed.configuration.rollouts)
        services = installed.configuration.services.values()
        self._balancer.warming.set_rates({each.name: each.warm_up_calls_per_s for each in services})
        fields: dict[str, object] = {
            "version": installed.version,
            "routes": len(table.route_names()),
        }
        self._outputs.append(LogEvent(events.ROUTES_IN_FORCE, fields))
        self._outputs.append(ConfigurationApplied(installed.version, installed.configuration))
        self._announce_health_path(installed)
        if not self._ready:
            self._ready = True
            self._outputs.append(ProxyReady())

    def _apply_zone_drains(self, installed: ConfigurationInstalled, now: float) -> None:
        """Obey the drains of a version, also where no route table can be built from it."""
        drains = installed.configuration.zone_drains
        change = self._zone_drains.set_zones(drains)
        for zone in change.began:
            began: dict[str, object] = {"zone": zone, "version": installed.version}
            began["ordered_by"] = drains[zone].ordered_by
            self._outputs.append(LogEvent(events.ZONE_DRAIN_BEGAN, began))
        for zone in change.ended:
            ended: dict[str, object] = {"zone": zone, "version": installed.version}
            self._outputs.append(LogEvent(events.ZONE_DRAIN_ENDED, ended))
        if change.ended:
            self._endpoints.restart_ramps(change.ended, now)
        if change.began:
            self._engine.leave_drained_zones(now)

    def _apply_tenants(self, table: RouteTable) -> None:
        previous = self._table.tenants if self._table is not None else NO_TENANTS
        if table.tenants != previous:
            self._tenant_limits.set_tenants(table.tenants.by_name)
            fields: dict[str, object] = {
                "tenants": len(table.tenants.by_name),
                "keys": len(table.tenants.by_digest),
            }
            self._outputs.append(LogEvent(events.TENANTS_IN_FORCE, fields))

    def _announce_health_path(self, installed: ConfigurationInstalled) -> None:
        key = Key(RESOURCE_KIND_SERVICE, self._own_service)
        versioned = installed.configuration.resources.get(key)
        path = versioned.resource.service.health_path if versioned is not None else ""
        if path and path != self._health_path:
            self._health_path = path
            self._outputs.append(HealthPathChanged(path))

    def _build_table(self, installed: ConfigurationInstalled) -> RouteTable | Failure:
        if self._table is None or self._rebuild_needed:
            return build_route_table(installed.configuration, installed.version)
        return update_route_table(
            self._table,
            installed.configuration,
            installed.version,
            installed.put,
            installed.removed,
        )

    def _record_freshness(self, proved: FreshnessProved, _now: float) -> None:
        """Record when the configuration was confirmed current, unless its table failed to build."""
        if not self._rebuild_needed:
            self._engine.table_confirmed(proved.at)

    def _update_endpoints(self, received: EndpointsReceived, now: float) -> None:
        self._endpoints.apply(received.update, now)
        for endpoint in received.update.endpoints:
            if endpoint.HasField("limit"):
                self._balancer.limited.reported(InstanceRun.of(endpoint), endpoint.limit, now)
        self._engine.set_node_count(len(self._endpoints.keys()))
        self._tenant_limits.set_node_count(len(self._endpoints.keys()))

    def _update_loads(self, received: LoadsReceived, now: float) -> None:
        suspects = map(self._endpoints.by_hash, received.update.suspects)
        self._reported_suspects.record((key for key in suspects if key is not None), now)
        for report in unpack(received.update):
            key = self._endpoints.by_hash(report.number)
            if key is not None:
                self._reported_suspects.clear(key)
                self._balancer.observe_zone_load(key, report.news.load, now)
                self._balancer.observe_slowdown(key, report.news.pace_permille, now)

    def _handle_crash_news(self, received: CrashNewsReceived, now: float) -> None:
        if self._quarantine.apply_news(received.news, now):
            self._engine.cancel_quarantined_calls(now)

    def _handle_limit_news(self, received: LimitNewsReceived, now: float) -> None:
        self._tenant_limits.apply_news(received.news, now)

    def _handle_departures_stored(self, received: DeparturesStored, _now: float) -> None:
        self._outputs.extend(self._departures.stored(received.stored))

    def _report_departure(self, report: ReportDeparture, _now: float) -> None:
        """Have the relay store a leave that its node may have lost before it could report it."""
        self._outputs.extend(self._departures.announce(report.run))

    def _report_suspects(self, report: ReportSuspects, _now: float) -> None:
        numbers = self._endpoints.hashes_at(report.addresses)[:MAX_REPORTED]
        self._outputs.extend(self._subscriber.send_up(LoadUpdate(suspects=numbers)))

    def _forward_crash_news(self, crash_news: SendCrashNews, _now: float) -> None:
        self._outputs.extend(self._subscriber.send_up(crash_news.news))

    def _handle_claim_outcome(self, settled: ClaimSettled, now: float) -> None:
        match settled.outcome:
            case ClaimGranted():
                self._engine.claim_granted(settled.token, now)
            case AnswerRecorded(answer):
                self._engine.claim_replayed(settled.token, answer, now)
            case Failure() as failure:
                self._engine.claim_refused(settled.token, failure, now)

    def _handle_completion(self, settled: CompletionSettled, now: float) -> None:
        self._engine.completion_settled(settled.token, settled.ok, now)


def _connection_of(event: Event) -> ConnectionId | None:
    match event:
        case (
            ConnectionOpened(connection, _)
            | ConnectionFailed(connection, _)
            | ConnectionClosed(connection, _)
            | MessageReceived(connection, _)
        ):
            return connection
    return None
