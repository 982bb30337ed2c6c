"""Settings of the source process."""

from __future__ import annotations

import base64
import binascii
import operator
from collections.abc import Sequence
from typing import Any, ClassVar

import attrs

from limelever.common.sansio import Address, Role
from limelever.common.settings import (
    Clash,
    ProcessSettings,
    between,
    dialled,
    distinct,
    not_empty,
    seconds,
)
from limelever.keeper.settings import KeeperSettings
from limelever.publisher.settings import PublisherSettings
from limelever.source.at_rest import KEY_BYTES
from limelever.source.operator_service import OperatorToken
from limelever.source.replication.settings import ReplicationSettings


def sealing_key(_instance: Any, _attribute: Any, value: tuple[str, ...]) -> None:
    """Check that keys are base64 of the right length, without showing them."""
    for position, text in enumerate(value):
        try:
            length = len(base64.b64decode(text, validate=True))
        except (binascii.Error, ValueError):
            raise ValueError(f"key {position} is not base64") from None
        if length != KEY_BYTES:
            raise ValueError(f"key {position} must hold {KEY_BYTES} bytes, holds {length}")


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Another replica of the source, by name and by the address of its links."""

    name: str = attrs.field(validator=not_empty)
    address: Address = attrs.field(validator=dialled)


@attrs.frozen(kw_only=True)
class ReplicationTimes:
    """Timing of the group of replicas."""

    election_timeout_ms: int = attrs.field(default=1000, validator=between(50, 60000))
    heartbeat_interval_ms: int = attrs.field(default=200, validator=between(5, 30000))
    lease_ms: int = attrs.field(default=1000, validator=between(20, 60000))
    snapshot_every: int = attrs.field(default=4096, validator=between(16, 1 << 24))
    voters: int = attrs.field(default=5, validator=between(1, 99))
    replace_after_ms: int = attrs.field(default=4000, validator=between(100, 3600000))


@attrs.frozen(kw_only=True)
class PublishingSettings:
    """How changes go out to the relays."""

    batch_delay_ms: int = attrs.field(default=20, validator=between(0, 60000))
    heartbeat_interval_ms: int = attrs.field(default=1000, validator=between(50, 60000))
    window: int = attrs.field(default=4096, validator=between(1, 1 << 20))
    window_bytes: int = attrs.field(default=64 << 20, validator=between(1 << 16, 1 << 40))
    admission_rate: float = attrs.field(default=100.0, validator=between(0.1, 100000.0))
    admission_burst: float = attrs.field(default=200.0, validator=between(1.0, 100000.0))
    hold_empty_ms: int = attrs.field(default=0, validator=between(0, 10000))


@attrs.frozen(kw_only=True)
class KeepingSettings:
    """The keeper beside the replica; its set is the set of replicas."""

    claim_lifetime_ms: int = attrs.field(default=86_400_000, validator=between(1000, 1 << 40))
    rejoin_wait_ms: int = attrs.field(default=10_000, validator=between(100, 3_600_000))
    largest_answer_bytes: int = attrs.field(default=65_536, validator=between(0, 4 << 20))
    claims: int = attrs.field(default=1_000_000, validator=between(1, 1 << 30))
    bytes: int = attrs.field(default=256 << 20, validator=between(1 << 16, 1 << 40))


@attrs.frozen(kw_only=True)
class SecretSettings:
    """Keys that seal secrets at rest: the first seals, any opens."""

    keys: tuple[str, ...] = attrs.field(validator=sealing_key, repr=False)


def _are_distinct(peers: Sequence[PeerSettings]) -> bool:
    names = {peer.name for peer in peers}
    addresses = {peer.address for peer in peers}
    return len(names) == len(addresses) == len(peers)


@attrs.frozen(kw_only=True)
class SourceSettings(ProcessSettings):
    """Settings of one replica of the source."""

    ROLE: ClassVar[Role] = Role.SOURCE
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(("data_folder",), "a source needs a data folder", bool),
        Clash(("operators",), "must not be empty", bool),
        Clash(("secrets.keys",), "must not be empty", bool),
        Clash(
            ("peers", "name"),
            "must not name the replica itself",
            lambda peers, name: name not in [peer.name for peer in peers],
        ),
        Clash(("peers",), "must not name a replica or an address twice", _are_distinct),
        Clash(
            ("seeds", "peers"),
            "must not stand beside peers: the members are listed, or found through seeds",
            lambda seeds, peers: not (seeds and peers),
        ),
        Clash(("peers",), "the group must have an odd size", lambda peers: len(peers) % 2 == 0),
        Clash(
            ("operators",),
            "must not give an operator's name twice",
            lambda operators: len({item.name for item in operators}) == len(operators),
        ),
        Clash(
            ("replication.lease_ms", "replication.election_timeout_ms"),
            "must not exceed replication.election_timeout_ms",
            operator.le,
        ),
        Clash(
            ("replication.heartbeat_interval_ms", "replication.lease_ms"),
            "must be at most half of replication.lease_ms",
            lambda heartbeat, lease: heartbeat * 2 <= lease,
        ),
    )

    listen: Address
    operator_listen: Address
    bootstrap: bool = False
    peers: tuple[PeerSettings, ...] = ()
    seeds: tuple[Address, ...] = attrs.field(default=(), validator=[distinct, dialled])
    operator_advertise: Address | None = attrs.field(default=None, validator=dialled)
    operators: tuple[OperatorToken, ...]
    secrets: SecretSettings
    replication: ReplicationTimes = ReplicationTimes()
    publishing: PublishingSettings = PublishingSettings()
    keeping: KeepingSettings = KeepingSettings()


def replication_settings(
    settings: SourceSettings, operator_address: Address
) -> ReplicationSettings:
    """Return what the replication core is told."""
    times = settings.replication
    found = {str(seed): seed for seed in settings.seeds if seed != settings.listen}
    founds = not settings.seeds or settings.listen in settings.seeds
    return ReplicationSettings(
        name=str(settings.listen) if settings.seeds else settings.name,
        peers=found or {peer.name: peer.address for peer in settings.peers},
        seeds=settings.seeds,
        voters=times.voters if settings.seeds else 0,
        replace_after=seconds(times.replace_after_ms),
        operator_address=str(settings.operator_advertise or operator_address),
        bootstrap=settings.bootstrap and founds,
        election_timeout=seconds(times.election_timeout_ms),
        heartbeat_interval=seconds(times.heartbeat_interval_ms),
        lease=seconds(times.lease_ms),
        snapshot_every=times.snapshot_every,
    )


def publisher_settings(settings: SourceSettings) -> PublisherSettings:
    """Return what the publisher is told."""
    publishing = settings.publishing
    return PublisherSettings(
        batch_delay=seconds(publishing.batch_delay_ms),
        heartbeat_interval=seconds(publishing.heartbeat_interval_ms),
        window=publishing.window,
        window_bytes=publishing.window_bytes,
        admission_rate=publishing.admission_rate,
        admission_burst=publishing.admission_burst,
        hold_empty=seconds(publishing.hold_empty_ms),
    )


def keeper_settings(settings: SourceSettings) -> KeeperSettings:
    """Return what the keeper core is told."""
    keeping = settings.keeping
    return KeeperSettings(
        name=settings.name,
        others=tuple(peer.address for peer in settings.peers),
        claim_lifetime=seconds(keeping.claim_lifetime_ms),
        rejoin_wait=seconds(keeping.rejoin_wait_ms),
        largest_answer=keeping.largest_answer_bytes,
        claims_limit=keeping.claims,
        bytes_limit=keeping.bytes,
    )
