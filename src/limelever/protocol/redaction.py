"""Keeps secret values out of answers and logs."""

from __future__ import annotations

from limelever.protocol.config_pb2 import Resource, VersionedResource
from limelever.protocol.keys import Key


def redacted_resource(resource: Resource) -> Resource:
    """Return a copy of ``resource`` without a secret's value."""
    copy = Resource()
    copy.CopyFrom(resource)
    if copy.WhichOneof("body") == "secret":
        copy.secret.ClearField("value")
    return copy


def redacted(versioned: VersionedResource) -> VersionedResource:
    """Return a copy of ``versioned`` without a secret's value."""
    return VersionedResource(
        resource=redacted_resource(versioned.resource), version=versioned.version
    )


def safe_text(versioned: VersionedResource) -> str:
    """Return text fit for a log: key and version, never content."""
    return f"{Key.of(versioned.resource)}@{versioned.version}"
