"""Keeps secret values and the digests of tenants' keys out of answers and logs."""

from __future__ import annotations

from limelever.protocol.config_pb2 import Resource, VersionedResource
from limelever.protocol.keys import Key


def redacted_resource(resource: Resource) -> Resource:
    """Return a copy of ``resource`` without a secret's value or a digest of a tenant's key.

    Of the digests their number stays: each is empty.
    """
    copy = Resource()
    copy.CopyFrom(resource)
    match copy.WhichOneof("body"):
        case "secret":
            copy.secret.ClearField("value")
        case "tenant":
            copy.tenant.key_digests[:] = [b""] * len(copy.tenant.key_digests)
    return copy


def redacted(versioned: VersionedResource) -> VersionedResource:
    """Return a copy of ``versioned`` without a secret's value or a digest of a tenant's key."""
    return VersionedResource(
        resource=redacted_resource(versioned.resource), version=versioned.version
    )


def safe_text(versioned: VersionedResource) -> str:
    """Return text fit for a log: key and version, never content."""
    return f"{Key.of(versioned.resource)}@{versioned.version}"
