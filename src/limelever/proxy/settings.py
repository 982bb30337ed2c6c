"""Settings of the proxy process."""

from __future__ import annotations

import operator
from typing import ClassVar

import attrs

from limelever.common.sansio import Address, Role
from limelever.common.settings import (
    BodySettings,
    Clash,
    HeaderSettings,
    ProcessSettings,
    TenantLimitSettings,
    between,
    dialled,
    distinct,
    not_empty,
)


@attrs.frozen(kw_only=True)
class EdgeSettings:
    """The listener for callers, with TLS if ``certificate`` and ``key`` are set.

    ``lame_duck_ms`` is how long a stopping proxy still accepts calls while it reports not ready and
    closes each connection after its answer, so that load balancers stop sending it calls.
    ``buffered_bytes`` limits the request bodies held in memory.
    """

    listen: Address
    certificate: str = ""
    key: str = ""
    max_body_bytes: int = attrs.field(default=4 << 20, validator=between(0, 256 << 20))
    max_headers_bytes: int = attrs.field(default=32 << 10, validator=between(1024, 1 << 20))
    buffered_bytes: int = attrs.field(default=8 << 20, validator=between(65536, 1 << 30))
    backlog: int = attrs.field(default=512, validator=between(1, 65535))
    connections: int = attrs.field(default=1024, validator=between(1, 65535))
    keep_alive_ms: int = attrs.field(default=30000, validator=between(0, 3600000))
    retry_after_decimals: int = attrs.field(default=0, validator=between(0, 3))
    lame_duck_ms: int = attrs.field(default=0, validator=between(0, 600000))


@attrs.frozen(kw_only=True)
class CallLimitSettings:
    """Limits on calls in flight, their timeouts, retries and buffers.

    - ``share_from_percent``: percentage of ``in_flight`` from which groups are limited to their
      shares.
    - ``redirects``: further attempts of a call after failures that cost no back end work.
    - ``second_choice_percent``: percentage of calls that may be retried once after an agent's
      refusal, outside the retry budget; 0 applies the retry budget to them.
    - ``fleet_saved_retries``: retries for each service that all proxies together may save up; 0
      sets a fixed limit for each proxy.
    - ``link_silence_ms``: time after which a silent link to an agent is suspect; 0 for never.
    - ``assembly_bytes``: limit on the buffered bytes of all incomplete answers.
    """

    in_flight: int = attrs.field(default=1024, validator=between(1, 100000))
    share_from_percent: int = attrs.field(default=80, validator=between(0, 100))
    retry_after_ms: int = attrs.field(default=500, validator=between(1, 60000))
    default_timeout_ms: int = attrs.field(default=10000, validator=between(10, 3600000))
    attempts: int = attrs.field(default=3, validator=between(1, 10))
    redirects: int = attrs.field(default=3, validator=between(0, 10))
    second_choice_percent: int = attrs.field(default=0, validator=between(0, 100))
    fleet_saved_retries: int = attrs.field(default=0, validator=between(0, 100000))
    dial_wait_ms: int = attrs.field(default=100, validator=between(10, 60000))
    link_silence_ms: int = attrs.field(default=0, validator=between(0, 60000))
    completion_wait_ms: int = attrs.field(default=1000, validator=between(10, 60000))
    max_answer_bytes: int = attrs.field(default=8 << 20, validator=between(1024, 256 << 20))
    assembly_bytes: int = attrs.field(default=8 << 20, validator=between(65536, 1 << 30))


@attrs.frozen(kw_only=True)
class BalancingSettings:
    """How endpoints are selected, ejected and ramped up.

    An endpoint in the proxy's own zone counts as full from ``spill_load_percent`` of its slots.
    ``ejection_floor_percent`` is the percentage of endpoints that are never ejected.
    """

    spill_load_percent: int = attrs.field(default=100, validator=between(1, 1000))
    ejection_floor_percent: int = attrs.field(default=50, validator=between(0, 100))
    slow_start_ms: int = attrs.field(default=10000, validator=between(1, 600000))
    failures_to_eject: int = attrs.field(default=5, validator=between(1, 1000))
    first_ejection_ms: int = attrs.field(default=1000, validator=between(10, 600000))
    longest_ejection_ms: int = attrs.field(default=60000, validator=between(10, 3600000))


@attrs.frozen(kw_only=True)
class ConfigurationSettings:
    """How the proxy keeps its configuration current.

    ``return_after_ms`` is the initial backoff, doubled each time, before the proxy reconnects to
    its preferred relay. ``longest_pause_ms`` limits the wait between attempts to replace a relay
    that is stale or lost.
    """

    stale_after_ms: int = attrs.field(default=8000, validator=between(100, 3600000))
    probe_interval_ms: int = attrs.field(default=2000, validator=between(50, 600000))
    answer_timeout_ms: int = attrs.field(default=5000, validator=between(50, 600000))
    longest_pause_ms: int = attrs.field(default=240000, validator=between(50, 3600000))
    return_after_ms: int = attrs.field(default=30000, validator=between(50, 3600000))


@attrs.frozen(kw_only=True)
class TenantSettings:
    """How tenant keys are checked when the configuration cannot be confirmed current.

    ``revoked_after_ms`` is the maximum age of the last confirmation for a key to be accepted; 0 for
    no limit.
    """

    revoked_after_ms: int = attrs.field(default=0, validator=between(0, 3600000))


def revocation_exceeds_probe_interval(revoked_after_ms: int, probe_interval_ms: int) -> bool:
    """Return whether keys stay valid for longer than one freshness probe interval, or always."""
    return not revoked_after_ms or revoked_after_ms > probe_interval_ms


REVOCATION_CLASH = Clash(
    ("tenants.revoked_after_ms", "configuration.probe_interval_ms"),
    "must be 0 or exceed configuration.probe_interval_ms",
    revocation_exceeds_probe_interval,
)


@attrs.frozen(kw_only=True)
class ProxySettings(ProcessSettings):
    """Settings of one proxy; ``services`` are those whose configuration it subscribes to.

    ``caller_service`` is the service beside the proxy, whose name is sent to back ends.
    """

    ROLE: ClassVar[Role] = Role.PROXY
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(
            ("edge.certificate", "edge.key"),
            "TLS needs certificate and key, or none",
            lambda certificate, key: bool(certificate) == bool(key),
        ),
        Clash(("edge.lame_duck_ms", "stop_limit_ms"), "must not exceed stop_limit_ms", operator.le),
        Clash(
            ("edge.max_body_bytes", "edge.buffered_bytes"),
            "must not exceed edge.buffered_bytes",
            operator.le,
        ),
        Clash(
            ("calls.max_answer_bytes", "calls.assembly_bytes"),
            "must not exceed calls.assembly_bytes",
            operator.le,
        ),
        Clash(
            ("balancing.first_ejection_ms", "balancing.longest_ejection_ms"),
            "must not exceed balancing.longest_ejection_ms",
            operator.le,
        ),
        Clash(
            ("configuration.stale_after_ms", "configuration.probe_interval_ms"),
            "must exceed configuration.probe_interval_ms",
            operator.gt,
        ),
        REVOCATION_CLASH,
        Clash(
            ("services", "every_service"),
            "name the services, or set every_service",
            lambda services, every: bool(services) != every,
        ),
        Clash(
            ("keepers",),
            "must be an odd number of keepers",
            lambda keepers: not keepers or len(keepers) % 2 == 1,
        ),
    )

    services: tuple[str, ...] = attrs.field(default=(), validator=distinct)
    every_service: bool = False
    caller_service: str = ""
    relays: tuple[Address, ...] = attrs.field(validator=[not_empty, distinct, dialled])
    keepers: tuple[Address, ...] = attrs.field(default=(), validator=[distinct, dialled])
    edge: EdgeSettings
    bodies: BodySettings = BodySettings()
    calls: CallLimitSettings = CallLimitSettings()
    balancing: BalancingSettings = BalancingSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    limits: TenantLimitSettings = TenantLimitSettings()
    headers: HeaderSettings = HeaderSettings()
    tenants: TenantSettings = TenantSettings()
