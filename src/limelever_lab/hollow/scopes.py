"""Which services each hollow proxy needs, drawn from a seed."""

from __future__ import annotations

import random

from limelever_lab.hollow.settings import HollowSettings


def scope_of(settings: HollowSettings, node: int) -> tuple[str, ...]:
    """Return the services that the node with this number needs, sorted.

    The draw depends on the number's class alone, so that nodes of one class have one scope in
    whatever process they are.
    """
    generator = random.Random(f"{settings.seed}/{node % settings.scopes}")
    drawn = generator.sample(settings.services, settings.scope_services)
    return tuple(sorted({*settings.common_services, *drawn}))


def service_of(settings: HollowSettings, node: int) -> str:
    """Return the service whose instance the node's agent stands beside.

    Agents are spread over all services. Beside the common ones alone, every start of an agent
    would concern every proxy, and the endpoints in a scope would grow as fast as the nodes.
    """
    names = (*settings.common_services, *settings.services)
    return names[node % len(names)]
