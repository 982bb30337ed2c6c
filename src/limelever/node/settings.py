"""Settings of the node process, which hosts a proxy and the agent of the instance beside it."""

from __future__ import annotations

import operator
from typing import ClassVar

import attrs

from limelever.agent.settings import (
    MAX_SLOTS,
    AgentSettings,
    BackendSettings,
    DrainSettings,
    ProbeSettings,
    QueueSettings,
    WarmUpSettings,
)
from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import Address, Role
from limelever.common.settings import (
    BodySettings,
    Clash,
    HeaderSettings,
    ProcessSettings,
    TenantLimitSettings,
    dialled,
    distinct,
    not_empty,
    seconds,
)
from limelever.node.reports import InstanceReport
from limelever.proxy.settings import (
    REVOCATION_CLASH,
    BalancingSettings,
    CallLimitSettings,
    ConfigurationSettings,
    EdgeSettings,
    ProxySettings,
    TenantSettings,
)
from limelever.subscriber.settings import SubscriberSettings


@attrs.frozen(kw_only=True)
class NodeSettings(ProcessSettings):
    """Settings of one node; proxies of other nodes connect to the agent at ``listen``.

    ``zones`` maps each zone of the deployment to its region.
    """

    ROLE: ClassVar[Role] = Role.NODE
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(("drain.limit_ms", "stop_limit_ms"), "must not exceed stop_limit_ms", operator.le),
        Clash(("edge.lame_duck_ms", "stop_limit_ms"), "must not exceed stop_limit_ms", operator.le),
        REVOCATION_CLASH,
    )

    service: str = attrs.field(validator=not_empty)
    listen: Address = attrs.field(validator=dialled)
    relays: tuple[Address, ...] = attrs.field(validator=[not_empty, distinct, dialled])
    backend: BackendSettings
    edge: EdgeSettings
    bodies: BodySettings = BodySettings()
    calls: CallLimitSettings = CallLimitSettings()
    balancing: BalancingSettings = BalancingSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    limits: TenantLimitSettings = TenantLimitSettings()
    queue: QueueSettings = QueueSettings()
    drain: DrainSettings = DrainSettings()
    warm_up: WarmUpSettings = WarmUpSettings()
    headers: HeaderSettings = HeaderSettings()
    tenants: TenantSettings = TenantSettings()


def proxy_settings(settings: NodeSettings) -> ProxySettings:
    """Return the settings of the proxy in this process."""
    return ProxySettings(
        role=Role.PROXY,
        name=settings.name,
        zone=settings.zone,
        region=settings.region,
        zones=settings.zones,
        stop_limit_ms=settings.stop_limit_ms,
        log=settings.log,
        every_service=True,
        caller_service=settings.service,
        relays=settings.relays,
        edge=settings.edge,
        bodies=settings.bodies,
        calls=settings.calls,
        balancing=settings.balancing,
        configuration=settings.configuration,
        limits=settings.limits,
        headers=settings.headers,
        tenants=settings.tenants,
    )


def registration_backoff(settings: NodeSettings) -> BackoffSettings:
    """Return the backoff between the agent's attempts to register at a relay."""
    longest_pause = seconds(settings.configuration.longest_pause_ms)
    return SubscriberSettings(settings.relays, longest_pause=longest_pause).dialling


def agent_settings(settings: NodeSettings, report: InstanceReport, name: str) -> AgentSettings:
    """Return the settings of an agent for an instance, from its report.

    ``name`` is unique to this run of the agent. An agent that restarts beside the same instance is
    a new endpoint, so no clock is needed to tell which of the two is newer. Reports replace health
    probes, so the agent registers without waiting for one to succeed. The number of slots is capped
    at the maximum that the settings allow.
    """
    slots = min(report.slots or settings.backend.slots, MAX_SLOTS)
    return AgentSettings(
        role=Role.AGENT,
        name=name,
        zone=settings.zone,
        region=settings.region,
        zones=settings.zones,
        service=report.service or settings.service,
        version=report.version,
        log=settings.log,
        listen=settings.listen,
        relays=settings.relays,
        backend=attrs.evolve(settings.backend, slots=slots),
        bodies=settings.bodies,
        probe=ProbeSettings(cold_start_limit_ms=0),
        queue=settings.queue,
        drain=settings.drain,
        warm_up=settings.warm_up,
        headers=settings.headers,
    )
