"""Keys of resources: a hashable pair of kind and name, with its protobuf and text forms."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ROLLOUT,
    RESOURCE_KIND_ROUTE,
    RESOURCE_KIND_SECRET,
    RESOURCE_KIND_SERVICE,
    RESOURCE_KIND_SHARE,
    RESOURCE_KIND_TENANT,
    RESOURCE_KIND_UNSPECIFIED,
    RESOURCE_KIND_ZONE_DRAIN,
    Resource,
    ResourceKey,
    ResourceKind,
    Route,
)

SEPARATOR = "/"
UNKNOWN_KIND_TEXT = "unknown"

KIND_TEXT: dict[ResourceKind.ValueType, str] = {
    RESOURCE_KIND_SERVICE: "service",
    RESOURCE_KIND_ROUTE: "route",
    RESOURCE_KIND_SHARE: "share",
    RESOURCE_KIND_SECRET: "secret",
    RESOURCE_KIND_ROLLOUT: "rollout",
    RESOURCE_KIND_TENANT: "tenant",
    RESOURCE_KIND_ZONE_DRAIN: "zone-drain",
}
KIND_OF_TEXT: dict[str, ResourceKind.ValueType] = {text: kind for kind, text in KIND_TEXT.items()}


class Key(Struct, frozen=True, order=True):
    """Kind and name of a resource; hashable and ordered, so that it can key a mapping.

    ``name`` of a share is ``service/group``.
    """

    kind: ResourceKind.ValueType
    name: str

    @classmethod
    def of(cls, resource: Resource) -> Key:
        """Return the key of ``resource``; its kind is unspecified when it has no body."""
        match resource.WhichOneof("body"):
            case "service":
                return cls(RESOURCE_KIND_SERVICE, resource.service.name)
            case "route":
                return cls(RESOURCE_KIND_ROUTE, resource.route.name)
            case "share":
                return share_key(resource.share.service, resource.share.group)
            case "secret":
                return cls(RESOURCE_KIND_SECRET, resource.secret.name)
            case "rollout":
                return rollout_key(resource.rollout.service)
            case "tenant":
                return tenant_key(resource.tenant.name)
            case "zone_drain":
                return zone_drain_key(resource.zone_drain.zone)
            case _:
                return cls(RESOURCE_KIND_UNSPECIFIED, "")

    @classmethod
    def from_message(cls, message: ResourceKey) -> Key:
        """Return the key that ``message`` carries."""
        return cls(message.kind, message.name)

    def to_message(self) -> ResourceKey:
        """Return the protobuf form."""
        return ResourceKey(kind=self.kind, name=self.name)

    def __str__(self) -> str:
        """Return the text form, such as ``route/orders``."""
        return f"{KIND_TEXT.get(self.kind, UNKNOWN_KIND_TEXT)}{SEPARATOR}{self.name}"


def service_key(name: str) -> Key:
    """Return the key of the service ``name``."""
    return Key(RESOURCE_KIND_SERVICE, name)


def route_key(name: str) -> Key:
    """Return the key of the route ``name``."""
    return Key(RESOURCE_KIND_ROUTE, name)


def share_key(service: str, group: str) -> Key:
    """Return the key of the share of ``group`` at ``service``."""
    return Key(RESOURCE_KIND_SHARE, f"{service}{SEPARATOR}{group}")


def secret_key(name: str) -> Key:
    """Return the key of the secret ``name``."""
    return Key(RESOURCE_KIND_SECRET, name)


def rollout_key(service: str) -> Key:
    """Return the key of the newest rollout of a service."""
    return Key(RESOURCE_KIND_ROLLOUT, service)


def tenant_key(name: str) -> Key:
    """Return the key of the tenant ``name``."""
    return Key(RESOURCE_KIND_TENANT, name)


def zone_drain_key(zone: str) -> Key:
    """Return the key of the order that drains ``zone``."""
    return Key(RESOURCE_KIND_ZONE_DRAIN, zone)


def key_of(resource: Resource) -> ResourceKey:
    """Return the protobuf key of ``resource``."""
    return Key.of(resource).to_message()


def key_text(key: ResourceKey) -> str:
    """Return the text form of a protobuf key, such as ``route/orders``."""
    return str(Key.from_message(key))


def key_texts(keys: Iterable[Key]) -> tuple[str, ...]:
    """Return the text forms of ``keys``, sorted."""
    return tuple(str(key) for key in sorted(keys))


def parse_key(text: str) -> Key | Failure:
    """Return the key written as ``kind/name``, or ``INVALID_REQUEST``."""
    kind_text, separator, name = text.partition(SEPARATOR)
    kind = KIND_OF_TEXT.get(kind_text)
    if kind is None or not separator or not name:
        known = ", ".join(KIND_OF_TEXT)
        return Failure(
            ErrorKind.INVALID_REQUEST, f"{text!r} is not KIND/NAME with a kind of {known}"
        )
    return Key(kind, name)


def services_of(route: Route) -> tuple[str, ...]:
    """Return the names of the services that a route's calls may go to."""
    if route.split:
        return tuple(part.service for part in route.split)
    return (route.service,)


def references_of(resource: Resource) -> frozenset[Key]:
    """Return the keys that must exist for ``resource`` to be usable."""
    match resource.WhichOneof("body"):
        case "route":
            secrets = {secret_key(name) for name in resource.route.secrets}
            return frozenset(secrets | {service_key(name) for name in services_of(resource.route)})
        case "share":
            return frozenset({service_key(resource.share.service)})
        case "rollout":
            return frozenset({service_key(resource.rollout.service)})
        case _:
            return frozenset()
