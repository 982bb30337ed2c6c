"""Numbered log events of the proxy (4000 to 4999)."""

from __future__ import annotations

from limelever.common.events import Level, define

ROUTES_IN_FORCE = define(
    4000, "routes-in-force", Level.INFO, "configuration version is in force", "version", "routes"
)
ROUTES_REFUSED = define(
    4001, "routes-refused", Level.ERROR, "configuration does not make a route table", "reason"
)
ENDPOINT_EJECTED = define(
    4010,
    "endpoint-ejected",
    Level.WARNING,
    "endpoint is left out after its own outcomes",
    "service",
    "instance",
    "seconds",
)
ENDPOINT_DRAINING = define(
    4011, "endpoint-draining", Level.INFO, "endpoint refused as leaving", "service", "instance"
)
ANSWER_NOT_RECORDED = define(
    4020,
    "answer-not-recorded",
    Level.WARNING,
    "caller was answered, but a majority of keepers did not record the answer",
    "route",
)
LATE_ANSWER_DROPPED = define(
    4021, "late-answer-dropped", Level.DEBUG, "answer matches no attempt in flight", "stream"
)
CALLS_OPEN_AT_STOP = define(
    4022,
    "calls-open-at-stop",
    Level.WARNING,
    "calls were still open near the limit of a planned stop, by what they wait for",
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
    "back ends have ended under a request, it is kept from others for at least these seconds",
    "request",
    "crashes",
    "seconds",
)
REQUEST_CLEARED = define(
    4024,
    "request-cleared",
    Level.INFO,
    "a back end has answered a quarantined request, it may go on",
    "request",
)
EDGE_LISTENING = define(
    4030, "edge-listening", Level.INFO, "listening for callers", "address", "tls"
)
EDGE_CONNECTION_FAILED = define(
    4031,
    "edge-connection-failed",
    Level.WARNING,
    "caller's connection broke the protocol and was closed",
    "client",
    "reason",
)
EDGE_CONNECTION_LIMIT = define(
    4032,
    "edge-connection-limit",
    Level.WARNING,
    "caller's connection closed, limit reached",
    "client",
    "limit",
)
CALL_ANSWERED = define(
    4040,
    "call-answered",
    Level.INFO,
    "a back end's answer went to the caller",
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
    "the caller got an answer of the proxy's own",
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
    "an endpoint was chosen for a call",
    "request_id",
    "service",
    "instance",
    "zone",
    "choices",
    "own_in_flight",
    "endpoint_age",
    "milliseconds_left",
)
ATTEMPT_ENDED = define(
    4043,
    "attempt-failed",
    Level.INFO,
    "an attempt did not bring an answer",
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
    4044, "caller-gone", Level.INFO, "the caller left before its answer", "request_id", "phase"
)
TENANTS_IN_FORCE = define(
    4250, "tenants-in-force", Level.INFO, "tenants or their keys have changed", "tenants", "keys"
)
LIMITS_ALONE = define(
    4060,
    "limits-alone",
    Level.WARNING,
    "no news of tenants' limits: calls are let in by the proxy's own part of each",
)
LIMITS_SHARED = define(
    4061, "limits-shared", Level.INFO, "news of tenants' limits are there, all proxies share them"
)
