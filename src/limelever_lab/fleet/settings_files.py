"""Settings of every process of a fleet, as the settings classes of the roles define them."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from pathlib import Path

from limelever.agent.settings import AgentSettings, BackendSettings, DrainSettings
from limelever.common.sansio import Address, Role
from limelever.common.settings import AcceptedCredential, CredentialSettings, LinkSettings
from limelever.proxy.settings import EdgeSettings, ProxySettings
from limelever.relay.settings import (
    DistributionSettings,
    PlatformListSettings,
    RelaySettings,
)
from limelever.source.at_rest import KEY_BYTES
from limelever.source.operator_service import OperatorToken
from limelever.source.settings import (
    PeerSettings,
    PublishingSettings,
    SecretSettings,
    SourceSettings,
)
from limelever_lab.fleet.layout import (
    AgentLayout,
    FleetLayout,
    ProxyLayout,
    RelayLayout,
    SourceLayout,
    loopback,
)

MEMBER_ROLES = (Role.SOURCE, Role.RELAY, Role.PROXY, Role.AGENT)
TOKEN_BYTES = 18
DRAIN_LIMIT_MS = 20000
STOP_LIMIT_MS = 25000


@dataclass(frozen=True, slots=True)
class FleetSecrets:
    """Credentials of a fleet: one a role, the operator's token and the key of secrets at rest."""

    credentials: tuple[AcceptedCredential, ...]
    operator_token: str
    sealing_key: str

    def of(self, role: Role) -> CredentialSettings:
        """Return the credentials of a process: its own, and those of all roles to accept."""
        own = next(item.credential for item in self.credentials if item.role is role)
        return CredentialSettings(own=own, accepted=self.credentials)


def draw_secrets(source: random.Random) -> FleetSecrets:
    """Draw credentials for one fleet; they are worth nothing outside of it."""
    credentials = tuple(
        AcceptedCredential(role=role, credential=f"{role.value}-{_token(source)}")
        for role in MEMBER_ROLES
    )
    key = base64.b64encode(source.randbytes(KEY_BYTES)).decode()
    return FleetSecrets(credentials, f"operator-{_token(source)}", key)


def _token(source: random.Random) -> str:
    return source.randbytes(TOKEN_BYTES).hex()


@dataclass(frozen=True, slots=True)
class SettingsBuilder:
    """Builds the settings objects of one fleet; data folders lie under ``folder``."""

    layout: FleetLayout
    secrets: FleetSecrets
    folder: Path

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a process."""
        return self.folder / "data" / name

    def source(self, place: SourceLayout, bootstrap: bool) -> SourceSettings:
        """Return a replica's settings; ``bootstrap`` lets an empty disk found the group."""
        distribution = self.layout.deployment.distribution
        return SourceSettings(
            role=Role.SOURCE,
            name=place.name,
            zone=place.zone,
            data_folder=str(self.data_folder(place.name)),
            admin=loopback(place.admin_port),
            stop_limit_ms=STOP_LIMIT_MS,
            credentials=self.secrets.of(Role.SOURCE),
            links=self._links(),
            listen=loopback(place.link_port),
            operator_listen=loopback(place.operator_port),
            bootstrap=bootstrap,
            peers=tuple(
                PeerSettings(name=other.name, address=loopback(other.link_port))
                for other in self.layout.sources
                if other.name != place.name
            ),
            operators=(OperatorToken(name="lab", token=self.secrets.operator_token),),
            secrets=SecretSettings(keys=(self.secrets.sealing_key,)),
            publishing=PublishingSettings(batch_delay_ms=distribution.batch_delay_ms),
        )

    def relay(self, place: RelayLayout) -> RelaySettings:
        """Return a relay's settings."""
        return RelaySettings(
            role=Role.RELAY,
            name=place.name,
            zone=place.zone,
            data_folder=str(self.data_folder(place.name)),
            admin=loopback(place.admin_port),
            stop_limit_ms=STOP_LIMIT_MS,
            credentials=self.secrets.of(Role.RELAY),
            links=self._links(),
            listen=loopback(place.link_port),
            sources=tuple(loopback(port) for port in place.source_ports),
            peers=tuple(
                loopback(other.link_port)
                for other in self.layout.relays
                if other.name != place.name
            ),
            snapshot_keys=(self.secrets.sealing_key,),
            distribution=DistributionSettings(
                batch_delay_ms=self.layout.deployment.distribution.batch_delay_ms
            ),
            platform_list=PlatformListSettings(address=loopback(self.layout.platform_port)),
        )

    def proxy(self, place: ProxyLayout) -> ProxySettings:
        """Return a proxy's settings; its scope is all services of the deployment."""
        return ProxySettings(
            role=Role.PROXY,
            name=place.name,
            zone=place.zone,
            data_folder=str(self.data_folder(place.name)),
            admin=loopback(place.admin_port),
            stop_limit_ms=STOP_LIMIT_MS,
            credentials=self.secrets.of(Role.PROXY),
            links=self._links(),
            services=tuple(service.name for service in self.layout.deployment.services),
            relays=self._relays_from(place.zone),
            keepers=tuple(loopback(source.link_port) for source in self.layout.sources),
            edge=EdgeSettings(listen=loopback(place.edge_port)),
        )

    def agent(self, place: AgentLayout) -> AgentSettings:
        """Return an agent's settings."""
        return AgentSettings(
            role=Role.AGENT,
            name=place.name,
            zone=place.zone,
            admin=loopback(place.admin_port),
            stop_limit_ms=STOP_LIMIT_MS,
            credentials=self.secrets.of(Role.AGENT),
            links=self._links(),
            service=place.service.name,
            listen=loopback(place.link_port),
            relays=self._relays_from(place.zone),
            backend=BackendSettings(
                address=loopback(place.backend_port),
                slots=place.service.slots,
                connections=place.service.connections,
            ),
            drain=DrainSettings(limit_ms=DRAIN_LIMIT_MS),
        )

    def _links(self) -> LinkSettings:
        distribution = self.layout.deployment.distribution
        return LinkSettings(compress_from_bytes=distribution.compress_from_bytes)

    def _relays_from(self, zone: str) -> tuple[Address, ...]:
        """Return all relays, the zone's own first."""
        ordered = sorted(self.layout.relays, key=lambda relay: relay.zone != zone)
        return tuple(loopback(relay.link_port) for relay in ordered)
