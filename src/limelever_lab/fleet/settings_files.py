"""Settings of every process of a fleet, as the settings classes of the roles define them."""

from __future__ import annotations

import base64
import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

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
    ANY_PROXY,
    AgentLayout,
    FleetLayout,
    ProxyLayout,
    RelayLayout,
    SourceLayout,
    loopback,
)

Place = SourceLayout | RelayLayout | ProxyLayout | AgentLayout
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
            **self._common(Role.SOURCE, place),
            listen=loopback(place.link_port),
            operator_listen=loopback(place.operator_port),
            bootstrap=bootstrap,
            peers=tuple(
                PeerSettings(
                    name=other.name, address=self.layout.reach(place.name, other.link_port)
                )
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
            **self._common(Role.RELAY, place),
            listen=loopback(place.link_port),
            sources=tuple(self.layout.reach(place.name, port) for port in place.source_ports),
            peers=tuple(
                self.layout.reach(place.name, other.link_port)
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
            **self._common(Role.PROXY, place),
            services=tuple(service.name for service in self.layout.deployment.services),
            relays=self._relays_from(place.name, place.zone),
            keepers=tuple(
                self.layout.reach(place.name, source.link_port) for source in self.layout.sources
            ),
            edge=EdgeSettings(listen=loopback(place.edge_port)),
        )

    def agent(self, place: AgentLayout) -> AgentSettings:
        """Return an agent's settings."""
        return AgentSettings(
            **self._common(Role.AGENT, place),
            service=place.service.name,
            listen=loopback(place.link_port),
            advertise=self.layout.reach(ANY_PROXY, place.link_port),
            relays=self._relays_from(place.name, place.zone),
            backend=BackendSettings(
                address=self.layout.reach(place.name, place.backend_port),
                slots=place.service.slots,
                connections=place.service.connections,
            ),
            drain=DrainSettings(limit_ms=DRAIN_LIMIT_MS),
        )

    def _common(self, role: Role, place: Place) -> dict[str, Any]:
        """Return the arguments that the settings of every role take."""
        distribution = self.layout.deployment.distribution
        return {
            "role": role,
            "name": place.name,
            "zone": place.zone,
            "data_folder": str(self.data_folder(place.name)),
            "admin": loopback(place.admin_port),
            "stop_limit_ms": STOP_LIMIT_MS,
            "credentials": self.secrets.of(role),
            "links": LinkSettings(compress_from_bytes=distribution.compress_from_bytes),
        }

    def _relays_from(self, dialler: str, zone: str) -> tuple[Address, ...]:
        """Return all relays as a process reaches them, its zone's own first."""
        ordered = sorted(self.layout.relays, key=lambda relay: relay.zone != zone)
        return tuple(self.layout.reach(dialler, relay.link_port) for relay in ordered)
