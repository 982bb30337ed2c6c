"""Settings of one process of hollow nodes."""

from __future__ import annotations

from typing import ClassVar

import attrs

from limelever.common.sansio import Address, Role
from limelever.common.settings import Clash, ProcessSettings, between, not_empty


@attrs.frozen(kw_only=True)
class HollowSettings(ProcessSettings):
    """A process of ``nodes`` hollow nodes, each a proxy and, with ``agents``, an agent.

    Each proxy's scope is ``common_services`` and ``scope_services`` more, drawn from ``services``;
    ``scopes`` distinct draws are shared out over the nodes, as callers of the same kind share
    their needs. With ``everything`` proxies ask for the whole set instead, which is what the full
    push that distribution is compared with needs. ``control`` is where commands are taken.
    """

    ROLE: ClassVar[Role] = Role.PROXY
    CLASHES: ClassVar[tuple[Clash, ...]] = (
        *ProcessSettings.CLASHES,
        Clash(
            ("scope_services", "services"),
            "must not exceed the number of services",
            lambda drawn, services: drawn <= len(services),
        ),
    )

    nodes: int = attrs.field(validator=between(1, 4000))
    first_node: int = attrs.field(default=0, validator=between(0, 1 << 24))
    relays: tuple[Address, ...] = attrs.field(validator=not_empty)
    control: Address
    common_services: tuple[str, ...] = attrs.field(validator=not_empty)
    services: tuple[str, ...] = ()
    scope_services: int = attrs.field(default=0, validator=between(0, 1000))
    scopes: int = attrs.field(default=1, validator=between(1, 100000))
    everything: bool = False
    agents: bool = True
    agent_credential: str = attrs.field(default="", repr=False)
    seed: int = 1
