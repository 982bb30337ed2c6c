"""Settings of the control process, which hosts a source replica and a relay.

Other control processes are discovered through ``seeds``. All use the same ports: that of ``listen``
for links between replicas, that of ``relay_listen`` for links to relays.
"""

from __future__ import annotations

import operator
from typing import ClassVar

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
from limelever.relay.settings import (
    DistributionSettings,
    EndpointSettings,
    RelaySettings,
    SubscriptionSettings,
)
from limelever.source.operator_service import OperatorToken
from limelever.source.settings import (
    PublishingSettings,
    ReplicationTimes,
    SecretSettings,
    SourceSettings,
)


@attrs.frozen(kw_only=True)
class RolloutSettings:
    """Settings of rollouts.

    ``exposed_percent`` is the largest percentage of a service's calls during a rollout that a bad
    version may receive.
    """

    exposed_percent: int = attrs.field(default=10, validator=between(1, 100))


@attrs.frozen(kw_only=True)
class ControlSettings(ProcessSettings):
    """Settings of one control process.

    Without ``operators`` all requests to ``operator_listen`` are refused; without ``secrets.keys``
    batches that contain secrets are refused. ``zones`` maps each zone of the deployment to its
    region; orders for other zones are refused, unless it is empty.
    """

    ROLE: ClassVar[Role] = Role.CONTROL
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(("data_folder",), "a control process needs a data folder", bool),
        Clash(("listen", "relay_listen"), "must not be relay_listen as well", operator.ne),
        Clash(
            ("replication.lease_ms", "replication.election_timeout_ms"),
            "must not exceed replication.election_timeout_ms",
            operator.le,
        ),
    )

    listen: Address = attrs.field(validator=dialled)
    relay_listen: Address = attrs.field(validator=dialled)
    operator_listen: Address
    operator_advertise: Address | None = attrs.field(default=None, validator=dialled)
    bootstrap: bool = False
    seeds: tuple[Address, ...] = attrs.field(validator=[not_empty, distinct, dialled])
    operators: tuple[OperatorToken, ...] = ()
    secrets: SecretSettings = SecretSettings(keys=())
    replication: ReplicationTimes = ReplicationTimes()
    publishing: PublishingSettings = PublishingSettings()
    subscription: SubscriptionSettings = SubscriptionSettings()
    distribution: DistributionSettings = DistributionSettings()
    endpoints: EndpointSettings = EndpointSettings()
    rollout: RolloutSettings = RolloutSettings()
    limits: TenantLimitSettings = TenantLimitSettings()

    def relay_address(self, replica: Address) -> Address:
        """Return the address of the relay that runs in the same process as a replica."""
        return Address(replica.host, self.relay_listen.port)


def source_settings(settings: ControlSettings) -> SourceSettings:
    """Return the settings of the source replica in this process."""
    return SourceSettings(
        role=Role.SOURCE,
        name=settings.name,
        zone=settings.zone,
        region=settings.region,
        zones=settings.zones,
        data_folder=settings.data_folder,
        listen=settings.listen,
        operator_listen=settings.operator_listen,
        operator_advertise=settings.operator_advertise,
        bootstrap=settings.bootstrap,
        seeds=settings.seeds,
        operators=settings.operators,
        secrets=settings.secrets,
        replication=settings.replication,
        publishing=settings.publishing,
        tls=settings.tls,
        links=settings.links,
        credentials=settings.credentials,
    )


def relay_settings(settings: ControlSettings) -> RelaySettings:
    """Return the settings of the relay in this process; it subscribes to the local replica."""
    return RelaySettings(
        role=Role.RELAY,
        name=settings.name,
        zone=settings.zone,
        region=settings.region,
        zones=settings.zones,
        listen=settings.relay_listen,
        sources=(settings.listen,),
        subscription=settings.subscription,
        distribution=settings.distribution,
        endpoints=settings.endpoints,
        limits=settings.limits,
        tls=settings.tls,
        links=settings.links,
        credentials=settings.credentials,
    )
