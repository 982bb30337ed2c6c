"""Resources beyond the deployment's own, so that scopes are a small part of the whole set."""

from __future__ import annotations

import random
from collections.abc import Iterator

from limelever.protocol.config_pb2 import (
    CALL_KIND_AT_MOST_ONCE,
    CALL_KIND_REPEATABLE,
    Resource,
    Route,
    Secret,
    Service,
    Share,
)

GROUPS = ("north", "south", "night")
RESOURCES_PER_SERVICE = 4 + len(GROUPS)
SECRET_BYTES = 16
"""Random bytes of a secret's value, which is written in hexadecimal: a header's value is text."""

LARGEST_WEIGHT = 1000


def service_name(number: int) -> str:
    """Return the name of one of the added services."""
    return f"bench-{number:04d}"


def service_resources(number: int, generator: random.Random) -> Iterator[Resource]:
    """Return a service with two routes, three shares and a secret, secret and service first."""
    name = service_name(number)
    secret = f"{name}-token"
    value = generator.randbytes(SECRET_BYTES).hex().encode()
    yield Resource(secret=Secret(name=secret, header=f"x-{name}", value=value))
    yield Resource(service=Service(name=name, drain_limit_ms=10000, max_body_bytes=1 << 16))
    yield route_resource(number, 3000)
    yield Resource(
        route=Route(
            name=f"{name}-write",
            service=name,
            path_prefix=f"/{name}/write",
            methods=["POST"],
            call_kind=CALL_KIND_AT_MOST_ONCE,
            timeout_ms=5000,
            secrets=[secret],
        )
    )
    for group in GROUPS:
        yield share_resource(name, group, generator.randint(1, LARGEST_WEIGHT))


def route_resource(number: int, timeout_ms: int) -> Resource:
    """Return the reading route of an added service, with the given timeout."""
    name = service_name(number)
    return Resource(
        route=Route(
            name=f"{name}-read",
            service=name,
            path_prefix=f"/{name}/read/",
            methods=["GET"],
            call_kind=CALL_KIND_REPEATABLE,
            timeout_ms=timeout_ms,
        )
    )


def share_resource(service: str, group: str, weight: int) -> Resource:
    """Return a group's share at a service."""
    return Resource(share=Share(service=service, group=group, weight=weight))
