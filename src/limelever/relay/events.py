"""Log events of the relay."""

from __future__ import annotations

from limelever.common.events import Level, define

LEASE_REFUSED = define(
    3200,
    "lease-refused",
    Level.WARNING,
    "lease refused: a newer incarnation is registered",
    "agent",
    "reason",
)
ENDPOINTS_CHANGED = define(
    3201, "endpoints-changed", Level.DEBUG, "endpoint changes published", "endpoints"
)
ENDPOINT_GONE = define(3202, "endpoint-gone", Level.INFO, "endpoint expired", "service", "instance")
PEER_LOST = define(
    3203, "peer-lost", Level.WARNING, "the link to another relay was lost", "peer", "reason"
)
PEER_GAP = define(
    3204,
    "peer-gap",
    Level.INFO,
    "missed changes of another relay; requesting all its endpoints",
    "peer",
)
PLATFORM_LIST_FAILED = define(
    3205, "platform-list-failed", Level.WARNING, "could not read the platform list", "reason"
)
PLATFORM_LIST_MARKED = define(
    3206,
    "platform-list-marked",
    Level.INFO,
    "machines marked as leaving or dead by the platform list",
    "endpoints",
)
REQUEST_CONVICTED = define(
    3207,
    "request-convicted",
    Level.WARNING,
    "request quarantined: it was running in repeated crashes of back ends",
    "request",
    "crashes",
)
LIMITS_PARTED = define(
    3210,
    "limits-parted",
    Level.WARNING,
    "proxies unreachable; their share of tenants' limits is reserved for them",
    "proxies",
    "fleet",
)
LIMITS_WHOLE = define(
    3211, "limits-whole", Level.INFO, "all proxies that share limits are reachable", "fleet"
)
RUN_DEPARTED = define(
    3212,
    "run-departed",
    Level.INFO,
    "a run of an instance has left: its endpoints are drained, whichever agent is beside it",
    "instance",
    "started_at_ms",
)
DEPARTURES_NOT_KEPT = define(
    3213,
    "departures-not-kept",
    Level.WARNING,
    "the folder for departed runs can't be used: other relays have to store them",
    "reason",
)
