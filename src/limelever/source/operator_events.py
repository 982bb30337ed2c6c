"""Log events of the operators' service (2500 to 2999)."""

from limelever.common.events import Level, define

OPERATOR_WRITE = define(
    2500,
    "operator-write",
    Level.INFO,
    "operator's write answered",
    "operator",
    "method",
    "request_id",
    "outcome",
)
OPERATOR_REFUSED = define(
    2501,
    "operator-refused",
    Level.WARNING,
    "operator's call refused at the door",
    "client",
    "method",
    "kind",
    "reason",
)
OPERATOR_CONNECTION_FAILED = define(
    2502,
    "operator-connection-failed",
    Level.WARNING,
    "operator's connection broke the protocol and was closed",
    "client",
    "reason",
    "connections",
)
OPERATOR_CONNECTION_LIMIT = define(
    2503,
    "operator-connection-limit",
    Level.WARNING,
    "operator's connection closed, limit reached",
    "client",
    "limit",
    "connections",
)
OPERATOR_CALL_FAILED = define(
    2504,
    "operator-call-failed",
    Level.ERROR,
    "operator's call met a fault",
    "method",
    "fault",
)
