"""Log events of the relay."""

from __future__ import annotations

from limelever.common.events import Level, define

LEASE_REFUSED = define(
    3200, "lease-refused", Level.WARNING, "an older incarnation was refused", "agent", "reason"
)
ENDPOINTS_CHANGED = define(
    3201, "endpoints-changed", Level.DEBUG, "endpoint changes sent on", "endpoints"
)
ENDPOINT_GONE = define(
    3202, "endpoint-gone", Level.INFO, "an endpoint's lease ended", "service", "instance"
)
PEER_LOST = define(
    3203, "peer-lost", Level.WARNING, "the link to another relay was lost", "peer", "reason"
)
PEER_GAP = define(
    3204, "peer-gap", Level.INFO, "changes of another relay were missed, all are asked for", "peer"
)
PLATFORM_LIST_FAILED = define(
    3205, "platform-list-failed", Level.WARNING, "platform list could not be read", "reason"
)
PLATFORM_LIST_MARKED = define(
    3206, "platform-list-marked", Level.INFO, "machines marked by the platform list", "endpoints"
)
REQUEST_CONVICTED = define(
    3207,
    "request-convicted",
    Level.WARNING,
    "so many back ends have ended under a request that proxies keep it from others",
    "request",
    "crashes",
)
LIMITS_PARTED = define(
    3210,
    "limits-parted",
    Level.WARNING,
    "proxies are out of touch: their part of tenants' limits is left to them",
    "proxies",
    "fleet",
)
LIMITS_WHOLE = define(
    3211, "limits-whole", Level.INFO, "all proxies that share limits are in touch", "fleet"
)
