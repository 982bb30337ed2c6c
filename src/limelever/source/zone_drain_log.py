"""Log events of committed orders that drain zones, whoever gave them."""

from __future__ import annotations

from limelever.common.sansio import LogEvent
from limelever.protocol.config_pb2 import RESOURCE_KIND_ZONE_DRAIN
from limelever.source import events
from limelever.source.state import AppliedBatch


def zone_drain_events(applied: AppliedBatch) -> list[LogEvent]:
    """Return an event for each zone drain that a batch put or removed."""
    logged = []
    for versioned in applied.put:
        if versioned.resource.HasField("zone_drain"):
            drain = versioned.resource.zone_drain
            ordered: dict[str, object] = {"zone": drain.zone, "version": applied.version}
            ordered["ordered_by"] = drain.ordered_by
            logged.append(LogEvent(events.ZONE_DRAIN_ORDERED, ordered))
    for key in applied.removed:
        if key.kind == RESOURCE_KIND_ZONE_DRAIN:
            withdrawn: dict[str, object] = {"zone": key.name, "version": applied.version}
            logged.append(LogEvent(events.ZONE_DRAIN_WITHDRAWN, withdrawn))
    return logged
