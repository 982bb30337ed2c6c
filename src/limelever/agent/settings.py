"""Settings of the agent process."""

from __future__ import annotations

import operator
from typing import ClassVar

import attrs

from limelever.agent.response_parser import MAX_RESPONSE_HEAD_BYTES
from limelever.agent.start_limiter import StartLimits
from limelever.common.sansio import Address, Role
from limelever.common.settings import (
    BodySettings,
    Clash,
    HeaderSettings,
    ProcessSettings,
    between,
    dialled,
    distinct,
    not_empty,
    seconds,
)

MAX_SLOTS = 1024
"""Upper limit of concurrent calls at a back end."""

MIN_OVER_PERCENT = 100
MAX_OVER_PERCENT = 1000
MAX_SLACK = 10000
"""Bounds of the limit on the calls to a warming back end; the slack is in calls."""


@attrs.frozen(kw_only=True)
class BackendSettings:
    """Address and limits of the local back end.

    With ``counts_former_calls`` and a load header, calls that an earlier agent has left running at
    the back end count as taken slots: for back ends that never answer what they can't queue.
    """

    address: Address = attrs.field(validator=dialled)
    slots: int = attrs.field(default=6, validator=between(1, MAX_SLOTS))
    connections: int = attrs.field(default=130, validator=between(1, 4096))
    connect_timeout_ms: int = attrs.field(default=1000, validator=between(10, 60000))
    keepalive_ms: int = attrs.field(default=30000, validator=between(0, 3600000))
    max_response_bytes: int = attrs.field(default=8 << 20, validator=between(1024, 256 << 20))
    max_response_head_bytes: int = attrs.field(
        default=MAX_RESPONSE_HEAD_BYTES, validator=between(1024, 1 << 20)
    )
    counts_former_calls: bool = False


@attrs.frozen(kw_only=True)
class ProbeSettings:
    """The health probe, which only delays the first registration."""

    path: str = attrs.field(default="/healthz", validator=not_empty)
    interval_ms: int = attrs.field(default=1000, validator=between(50, 60000))
    timeout_ms: int = attrs.field(default=1000, validator=between(10, 60000))
    cold_start_limit_ms: int = attrs.field(default=30000, validator=between(0, 3600000))


@attrs.frozen(kw_only=True)
class QueueSettings:
    """Limits of queued calls and of request bodies.

    ``link_rate_bytes`` is the capacity of the machine's link per second; 0 if unknown.
    """

    group_calls: int = attrs.field(default=64, validator=between(1, 10000))
    total_bytes: int = attrs.field(default=8 << 20, validator=between(1024, 1 << 30))
    max_body_bytes: int = attrs.field(default=4 << 20, validator=between(0, 256 << 20))
    link_rate_bytes: int = attrs.field(default=0, validator=between(0, 1 << 40))
    default_weight: int = attrs.field(default=1, validator=between(1, 10000))
    unlisted_groups: int = attrs.field(default=32, validator=between(1, 10000))


@attrs.frozen(kw_only=True)
class DrainSettings:
    """Graceful shutdown: ``limit_ms`` and ``queue_ms`` count from its start."""

    limit_ms: int = attrs.field(default=25000, validator=between(0, 3600000))
    queue_ms: int = attrs.field(default=2000, validator=between(0, 60000))
    linger_ms: int = attrs.field(default=1000, validator=between(0, 60000))


@attrs.frozen(kw_only=True)
class WarmUpSettings:
    """Limit on the calls to a warming back end, for services that state a rate for it.

    A second has at most ``over_percent`` of the rate, and ``slack`` calls more. The back end
    reports its state every ``report_interval_ms``.
    """

    over_percent: int = attrs.field(
        default=150, validator=between(MIN_OVER_PERCENT, MAX_OVER_PERCENT)
    )
    slack: int = attrs.field(default=8, validator=between(0, MAX_SLACK))
    report_interval_ms: int = attrs.field(default=1500, validator=between(50, 60000))

    def limits(self) -> StartLimits:
        """Return the limits of the agent core."""
        return StartLimits(self.over_percent, self.slack, seconds(self.report_interval_ms))


@attrs.frozen(kw_only=True)
class AgentSettings(ProcessSettings):
    """Settings of one agent, which serves one instance of one service."""

    ROLE: ClassVar[Role] = Role.AGENT
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(
            ("queue.max_body_bytes", "queue.total_bytes"),
            "must not exceed queue.total_bytes",
            operator.le,
        ),
        Clash(("drain.limit_ms", "stop_limit_ms"), "must not exceed stop_limit_ms", operator.le),
    )

    service: str = attrs.field(validator=not_empty)
    version: str = ""
    listen: Address
    advertise: Address | None = attrs.field(default=None, validator=dialled)
    relays: tuple[Address, ...] = attrs.field(validator=[not_empty, distinct, dialled])
    backend: BackendSettings
    bodies: BodySettings = BodySettings()
    probe: ProbeSettings = ProbeSettings()
    queue: QueueSettings = QueueSettings()
    drain: DrainSettings = DrainSettings()
    warm_up: WarmUpSettings = WarmUpSettings()
    headers: HeaderSettings = HeaderSettings()
