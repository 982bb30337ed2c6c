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
