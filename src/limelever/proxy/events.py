"""Numbered log events of the proxy (4000 to 4999)."""

from __future__ import annotations

from limelever.common.events import Level, define

ROUTES_IN_FORCE = define(
    4000, "routes-in-force", Level.INFO, "configuration version was applied", "version", "routes"
)
ROUTES_REFUSED = define(
    4001,
    "routes-refused",
    Level.ERROR,
    "no route table could be built from the configuration",
    "reason",
)
ENDPOINT_EJECTED = define(
    4010,
    "endpoint-ejected",
    Level.WARNING,
    "endpoint was ejected after repeated failures",
    "service",
    "instance",
    "seconds",
)
ENDPOINT_DRAINING = define(
    4011,
    "endpoint-draining",
    Level.INFO,
    "endpoint is draining and gets no further calls",
    "service",
    "instance",
)
ANSWER_NOT_RECORDED = define(
    4020,
    "answer-not-recorded",
    Level.WARNING,
    "answer was sent to the caller, but not recorded by a majority of keepers",
    "route",
)
LATE_ANSWER_DROPPED = define(
    4021,
    "late-answer-dropped",
    Level.DEBUG,
    "answer was dropped because it matches no attempt in flight",
    "stream",
)
CALLS_OPEN_AT_STOP = define(
    4022,
    "calls-open-at-stop",
    Level.WARNING,
    "calls were still open shortly before the stop limit, by phase",
    "claiming",
    "dialling",
    "handed_on",
    "cancelling",
    "completing",
    "oldest_milliseconds",
)
REQUEST_QUARANTINED = define(
    4023,
    "request-quarantined",
    Level.WARNING,
    "request was quarantined after back-end crashes, for at least this many seconds",
    "request",
    "crashes",
    "seconds",
)
REQUEST_CLEARED = define(
    4024,
    "request-cleared",
    Level.INFO,
    "quarantine was lifted because a back end answered the request",
    "request",
)
EDGE_LISTENING = define(
    4030, "edge-listening", Level.INFO, "listening for callers", "address", "tls"
)
EDGE_CONNECTION_FAILED = define(
    4031,
    "edge-connection-failed",
    Level.WARNING,
    "caller's connection was closed after a protocol error",
    "client",
    "reason",
    "connections",
)
EDGE_CONNECTION_LIMIT = define(
    4032,
    "edge-connection-limit",
    Level.WARNING,
    "caller's connection was closed because the connection limit is reached",
    "client",
    "limit",
    "connections",
)
CALL_ANSWERED = define(
    4040,
    "call-answered",
    Level.INFO,
    "call was answered by a back end",
    "request_id",
    "route",
    "version",
    "service",
    "status",
    "attempts",
    "milliseconds",
    "tenant",
)
CALL_FAILED = define(
    4041,
    "call-failed",
    Level.INFO,
    "call failed and was answered by the proxy",
    "request_id",
    "route",
    "version",
    "service",
    "kind",
    "outcome",
    "reason",
    "attempts",
    "retry_after",
    "milliseconds",
    "configuration_age_milliseconds",
    "tenant",
)
ATTEMPT_SENT = define(
    4042,
    "attempt-sent",
    Level.INFO,
    "endpoint was chosen for an attempt",
    "request_id",
    "service",
    "instance",
    "zone",
    "choices",
    "own_in_flight",
    "endpoint_age",
    "milliseconds_left",
)
ATTEMPT_FAILED = define(
    4043,
    "attempt-failed",
    Level.INFO,
    "attempt failed without an answer",
    "request_id",
    "service",
    "instance",
    "kind",
    "outcome",
    "reason",
    "goes_on",
    "milliseconds",
)
CALLER_GONE = define(
    4044, "caller-gone", Level.INFO, "caller disconnected before its answer", "request_id", "phase"
)
REGION_WITHOUT_ENDPOINT = define(
    4280,
    "region-without-endpoint",
    Level.WARNING,
    "calls are refused because no endpoint is in a region where they may run",
    "service",
    "regions",
)
REGION_ENDPOINT_FOUND = define(
    4281,
    "region-endpoint-found",
    Level.INFO,
    "an endpoint is again in a region where the calls may run",
    "service",
    "regions",
)
CALLS_LEAVE_REGION = define(
    4282,
    "calls-leave-region",
    Level.INFO,
    "calls were sent to another region; how many since the last such event",
    "service",
    "calls",
)
TENANTS_IN_FORCE = define(
    4250, "tenants-in-force", Level.INFO, "tenants or their keys changed", "tenants", "keys"
)
ZONE_DRAIN_BEGAN = define(
    4270,
    "zone-drain-began",
    Level.INFO,
    "zone is drained: no further call goes to its endpoints",
    "zone",
    "version",
    "ordered_by",
)
ZONE_DRAIN_ENDED = define(
    4271,
    "zone-drain-ended",
    Level.INFO,
    "drain was withdrawn: the zone's endpoints are ramped up as new ones",
    "zone",
    "version",
)
INSTANCE_LEAVING = define(
    4290,
    "instance-leaving",
    Level.INFO,
    "an instance states that it is leaving: its process gets no further call from this proxy",
    "service",
    "instance",
)
LIMITS_ALONE = define(
    4060,
    "limits-alone",
    Level.WARNING,
    "no reports on tenant limits: the proxy enforces its own share of each limit",
)
LIMITS_SHARED = define(
    4061,
    "limits-shared",
    Level.INFO,
    "reports on tenant limits are received: all proxies share the limits",
)
LINK_SUSPECT = define(
    4260,
    "link-suspect",
    Level.WARNING,
    "link to an agent is silent and its probes are unanswered: calls avoid it; how many it carries",
    "agent",
    "calls",
)
LINK_NO_LONGER_SUSPECT = define(
    4261,
    "link-no-longer-suspect",
    Level.INFO,
    "something arrived on a suspect link to an agent: it is used as before",
    "agent",
    "calls",
)
