"""Feature levels: which records and messages a build reads, so that builds can be mixed in a fleet.

A build states its level in the hello of each link and when it joins a group of sources. A record of
a higher level is neither written to a group nor sent to a reader that would misread it, and a
message of a higher level is not sent on a link. Levels only rise, and a build reads all levels up
to its own.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ZONE_DRAIN,
    Batch,
    Resource,
    ResourceKind,
)

UNSTATED_LEVEL = 0
"""Level of a build that states none."""
ZONE_DRAIN_LEVEL = 1
"""Level from which a build reads zone drains."""
LINK_PROBE_LEVEL = 2
"""Level from which an agent answers link probes; no record needs it."""
DEPARTED_RUNS_LEVEL = 3
"""Level from which a relay stores departed runs; no record needs it."""
CURRENT_LEVEL = DEPARTED_RUNS_LEVEL
"""Level of this build."""

_LEVEL_OF_BODY = {"zone_drain": ZONE_DRAIN_LEVEL}
_LEVEL_OF_KIND = {RESOURCE_KIND_ZONE_DRAIN: ZONE_DRAIN_LEVEL}
HIGHEST_RECORD_LEVEL = max(_LEVEL_OF_KIND.values())
"""Highest level that any record needs: readers of this and all higher levels get the same set."""


def level_of_resource(resource: Resource) -> int:
    """Return the lowest level that reads ``resource``."""
    return _LEVEL_OF_BODY.get(resource.WhichOneof("body") or "", UNSTATED_LEVEL)


def level_of_kind(kind: ResourceKind.ValueType) -> int:
    """Return the lowest level that reads resources of ``kind``, and the deletion of one."""
    return _LEVEL_OF_KIND.get(kind, UNSTATED_LEVEL)


def level_of_resources(resources: Iterable[Resource]) -> int:
    """Return the lowest level that reads all of ``resources``."""
    return max(map(level_of_resource, resources), default=UNSTATED_LEVEL)


def level_of_batch(batch: Batch) -> int:
    """Return the lowest level that reads ``batch`` and judges it as this build does."""
    deleted = (level_of_kind(key.kind) for key in batch.delete)
    return max(level_of_resources(batch.put), *deleted, UNSTATED_LEVEL)
