"""Settings of the relay process."""

from __future__ import annotations

import operator
from typing import Any, ClassVar

import attrs

from limelever.common.sansio import Address, Role
from limelever.common.settings import (
    Clash,
    ProcessSettings,
    TenantLimitSettings,
    between,
    dialled,
    distinct,
    not_empty,
)
from limelever.relay.sealing import KEY_BYTES, SnapshotSealer


def valid_snapshot_keys(_instance: Any, _attribute: Any, value: tuple[str, ...]) -> None:
    """Validate that keys are base64 of the right length, without showing them in the error."""
    if value and not isinstance(SnapshotSealer.from_texts(value), SnapshotSealer):
        raise ValueError(f"must be base64 of {KEY_BYTES} bytes each")


@attrs.frozen(kw_only=True)
class SubscriptionSettings:
    """The relay's subscription to its sources."""

    stale_after_ms: int = attrs.field(default=8000, validator=between(100, 600000))
    probe_interval_ms: int = attrs.field(default=2000, validator=between(50, 60000))
    snapshot_delay_ms: int = attrs.field(default=2000, validator=between(0, 600000))
    longest_pause_ms: int = attrs.field(default=240000, validator=between(50, 3600000))


@attrs.frozen(kw_only=True)
class DistributionSettings:
    """Distribution of configuration to the relay's subscribers."""

    batch_delay_ms: int = attrs.field(default=50, validator=between(0, 10000))
    heartbeat_ms: int = attrs.field(default=3000, validator=between(50, 60000))
    window_versions: int = attrs.field(default=1024, validator=between(1, 1 << 20))
    window_bytes: int = attrs.field(default=64 << 20, validator=between(1 << 16, 1 << 40))
    outstanding_deltas: int = attrs.field(default=4, validator=between(1, 1024))
    admission_rate: int = attrs.field(default=400, validator=between(1, 100000))
    admission_burst: int = attrs.field(default=800, validator=between(1, 100000))
    retry_after_limit_ms: int = attrs.field(default=30000, validator=between(100, 600000))
    hold_empty_ms: int = attrs.field(default=0, validator=between(0, 10000))
    report_interval_ms: int = attrs.field(default=1000, validator=between(50, 60000))


@attrs.frozen(kw_only=True)
class EndpointSettings:
    """Leases of endpoints, and their replication between relays."""

    lease_ms: int = attrs.field(default=6000, validator=between(300, 600000))
    batch_ms: int = attrs.field(default=50, validator=between(0, 60000))
    heartbeat_ms: int = attrs.field(default=2000, validator=between(50, 60000))
    silent_after_ms: int = attrs.field(default=6000, validator=between(100, 600000))
    tombstone_ms: int = attrs.field(default=60000, validator=between(1000, 3600000))
    relay_grace_ms: int = attrs.field(default=20000, validator=between(0, 3600000))
    longest_pause_ms: int = attrs.field(default=8000, validator=between(50, 3600000))


@attrs.frozen(kw_only=True)
class PlatformListSettings:
    """The platform's list of machines, which is polled if an address is set."""

    address: Address | None = attrs.field(default=None, validator=dialled)
    path: str = attrs.field(default="/machines", validator=not_empty)
    interval_ms: int = attrs.field(default=3000, validator=between(100, 600000))
    timeout_ms: int = attrs.field(default=2000, validator=between(10, 60000))


@attrs.frozen(kw_only=True)
class RelaySettings(ProcessSettings):
    """Settings of one relay."""

    ROLE: ClassVar[Role] = Role.RELAY
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(
            ("endpoints.silent_after_ms", "endpoints.heartbeat_ms"),
            "must exceed endpoints.heartbeat_ms",
            operator.gt,
        ),
        Clash(
            ("subscription.stale_after_ms", "subscription.probe_interval_ms"),
            "must exceed subscription.probe_interval_ms",
            operator.gt,
        ),
    )

    listen: Address
    sources: tuple[Address, ...] = attrs.field(validator=[not_empty, distinct, dialled])
    peers: tuple[Address, ...] = attrs.field(default=(), validator=[distinct, dialled])
    snapshot_keys: tuple[str, ...] = attrs.field(
        default=(), validator=valid_snapshot_keys, repr=False
    )
    subscription: SubscriptionSettings = SubscriptionSettings()
    distribution: DistributionSettings = DistributionSettings()
    endpoints: EndpointSettings = EndpointSettings()
    platform_list: PlatformListSettings = PlatformListSettings()
    limits: TenantLimitSettings = TenantLimitSettings()
