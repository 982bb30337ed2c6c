"""The proxy core: configuration, endpoints, calls and claims of one proxy, sans-io."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import Any

from msgspec import Struct, field

from limelever.common.deadlines import earliest
from limelever.common.errors import Failure
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
from limelever.keeper.client import ClaimSettled, CompletionSettled, KeeperClientCore
from limelever.keeper.settings import KeeperClientSettings
from limelever.keeper.tally import AnswerRecorded, ClaimGranted
from limelever.limits.rules import LimitRules
from limelever.protocol.config_pb2 import RESOURCE_KIND_SERVICE
from limelever.protocol.endpoint_news import unpack
from limelever.protocol.keys import Key
from limelever.proxy import events
from limelever.proxy.attempts import AttemptDispatcher, AttemptSettings
from limelever.proxy.balancer import Balancer, BalancerSettings
from limelever.proxy.call_state import CallTable
from limelever.proxy.call_types import (
    CallArrived,
    CallerGone,
    ConfigurationInForce,
    HealthPathKnown,
    ProxyReady,
    StopFinished,
    StopLimitNear,
    StopLimitReached,
    StopRequested,
)
from limelever.proxy.calls import CallEngine, CallSettings
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.group_limits import GroupLimits, LimitSettings
from limelever.proxy.health import HealthSettings
from limelever.proxy.limit_usage_reporter import LimitUsageReporter
from limelever.proxy.links import AgentLinks
from limelever.proxy.quarantine import Quarantine, SendCrashNews
from limelever.proxy.route_table import advance_route_table, build_route_table
from limelever.proxy.router import RouteTable
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import NO_TENANTS
from limelever.proxy.version_gate import VersionGate
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    CrashNewsReceived,
    EndpointsReceived,
    FreshnessProved,
    LimitNewsReceived,
    LoadsReceived,
)
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.settings import SubscriberSettings

SWEEP_INTERVAL = 5.0
"""Seconds between looks for links and health records that are no longer used."""


class ProxyCoreSettings(Struct, frozen=True):
    """Settings of all parts of the core; ``own_service`` is the service beside the proxy."""

    subscriber: SubscriberSettings
    keepers: KeeperClientSettings
    calls: CallSettings = field(default_factory=CallSettings)
    attempts: AttemptSettings = field(default_factory=AttemptSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    balancer: BalancerSettings = field(default_factory=BalancerSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    tenant_limits: LimitRules = field(default_factory=LimitRules)
    own_service: str = ""


class ProxyCore:
    """Composes the parts of a proxy; a ``Core`` of the sans-io contract.

    ``random_source`` must be seeded from the system's entropy outside of simulations: the tokens
    of claims and the identifiers of attempts are drawn from it.
    """

    def __init__(
        self,
        settings: ProxyCoreSettings,
        random_source: random.Random,
        recovered: Recovered,
        sealer: Sealer | None = None,
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
        self._table: RouteTable | None = None
        self._missed_change = False
        self._view = EndpointView()
        self._gate = VersionGate(random_source)
        self._balancer = Balancer(settings.balancer, settings.health, random_source)
        self._links = AgentLinks(connections, random_source)
        self._calls = CallTable()
        attempts = AttemptDispatcher(
            settings.attempts,
            self._calls,
            self._view,
            self._gate,
            self._balancer,
            self._links,
            random_source,
            self._outputs,
        )
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
        self._own_service = settings.own_service
        self._health_path = ""
        self._routed = False
        self._stopping = False
        self._sweep_at = 0.0
        self._interceptors: dict[type[Output], Callable[[Any, float], None]] = {
            ConfigurationInstalled: self._install,
            FreshnessProved: self._take_proof,
            EndpointsReceived: self._merge_endpoints,
            LoadsReceived: self._take_loads,
            CrashNewsReceived: self._take_crash_news,
            LimitNewsReceived: self._take_limit_news,
            SendCrashNews: self._tell_crash_news,
            ClaimSettled: self._settle_claim,
            CompletionSettled: self._settle_completion,
        }

    @property
    def in_flight(self) -> int:
        """Return the calls not yet ended."""
        return self._engine.in_flight

    @property
    def version(self) -> int:
        """Return the configuration version held, 0 for none."""
        return self._subscriber.version

    @property
    def fresh_at(self) -> float | None:
        """When the configuration was last known to be current (seconds, monotonic), or ``None``."""
        return self._subscriber.fresh_at

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        match event:
            case CallArrived(call, request):
                self._engine.arrived(call, request, now)
            case MessageReceived(connection, message) if self._links.owns(connection):
                self._engine.received(connection, message, now)
            case CallerGone(call):
                self._engine.caller_gone(call, now)
            case StopRequested():
                self._stopping = True
            case StopLimitNear():
                self._engine.give_back_waiting(now)
            case StopLimitReached():
                self._engine.end_open(now)
            case DeadlineReached():
                self._deadline_reached(event, now)
            case _:
                self._link_event(event, now)
                self._outputs.extend(self._limit_reports.poll(now))
        return self._take_outputs(now)

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted (seconds, monotonic)."""
        return earliest(
            self._engine.next_deadline(),
            self._subscriber.next_deadline(),
            self._keepers.next_deadline(),
            self._limit_reports.next_deadline(),
            self._sweep_at,
        )

    def _link_event(self, event: Event, now: float) -> None:
        connection = _connection_of(event)
        if connection is not None and self._links.owns(connection):
            self._agent_link_event(event, now)
        elif connection is not None and self._keepers.owns(connection):
            self._outputs.extend(self._keepers.handle(event, now))
        else:
            self._outputs.extend(self._subscriber.handle(event, now))
        if isinstance(event, Started):
            self._sweep_at = now + SWEEP_INTERVAL
            self._outputs.extend(self._keepers.start(now))

    def _agent_link_event(self, event: Event, now: float) -> None:
        match event:
            case ConnectionOpened(connection, peer):
                self._engine.link_opened(connection, peer, now)
            case ConnectionFailed(connection, failure):
                self._engine.link_lost(connection, failure.reason, now)
            case ConnectionClosed(connection, reason):
                self._engine.link_lost(connection, reason, now)

    def _deadline_reached(self, event: Event, now: float) -> None:
        self._engine.wake(now)
        self._outputs.extend(self._keepers.tick(now))
        self._outputs.extend(self._subscriber.handle(event, now))
        self._outputs.extend(self._limit_reports.poll(now))
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL
            busy = self._calls.busy_connections()
            self._links.close_unused(self._view.addresses(), busy, self._outputs)
            self._balancer.keep_only(self._view.keys())
            self._quarantine.expire(now)

    def _take_outputs(self, now: float) -> list[Output]:
        """Act on the outputs meant for this core, and return the others in their order."""
        taken: list[Output] = []
        position = 0
        while position < len(self._outputs):
            output = self._outputs[position]
            position += 1
            intercept = self._interceptors.get(type(output))
            if intercept is None:
                taken.append(output)
            else:
                intercept(output, now)
        self._outputs.clear()
        if self._stopping and not self._engine.in_flight:
            self._stopping = False
            taken.append(StopFinished())
        return taken

    def _install(self, installed: ConfigurationInstalled, now: float) -> None:
        table = self._table_of(installed)
        if isinstance(table, Failure):
            self._outputs.append(LogEvent(events.ROUTES_REFUSED, {"reason": str(table)}))
            self._missed_change = True
            return
        self._tell_tenants(table)
        self._table = table
        self._missed_change = False
        self._engine.set_table(table)
        self._gate.set_rollouts(installed.configuration.rollouts)
        fields: dict[str, object] = {
            "version": installed.version,
            "routes": len(table.route_names()),
        }
        self._outputs.append(LogEvent(events.ROUTES_IN_FORCE, fields))
        self._outputs.append(ConfigurationInForce(installed.version, installed.configuration))
        self._tell_health_path(installed)
        if not self._routed:
            self._routed = True
            self._outputs.append(ProxyReady())

    def _tell_tenants(self, table: RouteTable) -> None:
        former = self._table.tenants if self._table is not None else NO_TENANTS
        if table.tenants != former:
            self._tenant_limits.set_tenants(table.tenants.by_name)
            fields: dict[str, object] = {
                "tenants": len(table.tenants.by_name),
                "keys": len(table.tenants.by_digest),
            }
            self._outputs.append(LogEvent(events.TENANTS_IN_FORCE, fields))

    def _tell_health_path(self, installed: ConfigurationInstalled) -> None:
        key = Key(RESOURCE_KIND_SERVICE, self._own_service)
        held = installed.configuration.resources.get(key)
        path = held.resource.service.health_path if held is not None else ""
        if path and path != self._health_path:
            self._health_path = path
            self._outputs.append(HealthPathKnown(path))

    def _table_of(self, installed: ConfigurationInstalled) -> RouteTable | Failure:
        if self._table is None or self._missed_change:
            return build_route_table(installed.configuration, installed.version)
        return advance_route_table(
            self._table,
            installed.configuration,
            installed.version,
            installed.put,
            installed.removed,
        )

    def _take_proof(self, proved: FreshnessProved, _now: float) -> None:
        """Take that the configuration held was current; a table of an earlier one was not."""
        if not self._missed_change:
            self._engine.table_proved(proved.at)

    def _merge_endpoints(self, received: EndpointsReceived, now: float) -> None:
        self._view.apply(received.update, now)
        self._engine.share_budgets_between(len(self._view.keys()))
        self._tenant_limits.set_node_count(len(self._view.keys()))

    def _take_loads(self, received: LoadsReceived, now: float) -> None:
        for told in unpack(received.update):
            key = self._view.by_hash(told.number)
            if key is not None:
                self._balancer.observe_zone_load(key, told.news.load, now)
                self._balancer.observe_slowdown(key, told.news.pace_permille, now)

    def _take_crash_news(self, received: CrashNewsReceived, now: float) -> None:
        if self._quarantine.apply_news(received.news, now):
            self._engine.give_back_quarantined(now)

    def _take_limit_news(self, received: LimitNewsReceived, now: float) -> None:
        self._tenant_limits.apply_news(received.news, now)

    def _tell_crash_news(self, found: SendCrashNews, _now: float) -> None:
        self._outputs.extend(self._subscriber.send_up(found.news))

    def _settle_claim(self, settled: ClaimSettled, now: float) -> None:
        match settled.outcome:
            case ClaimGranted():
                self._engine.claim_granted(settled.token, now)
            case AnswerRecorded(answer):
                self._engine.claim_answered(settled.token, answer, now)
            case Failure() as failure:
                self._engine.claim_refused(settled.token, failure, now)

    def _settle_completion(self, settled: CompletionSettled, now: float) -> None:
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
