"""Log events of connections and faults (1030 to 1099); the others are in ``common.events``."""

from __future__ import annotations

from limelever.common.events import Level, define

LINK_LIMIT = define(
    1030, "link-limit", Level.WARNING, "link closed, limit reached", "client", "limit"
)
ADMIN_CONNECTION_FAILED = define(
    1031,
    "admin-connection-failed",
    Level.WARNING,
    "connection to the admin listener broke the protocol and was closed",
    "client",
    "reason",
    "connections",
)
ADMIN_CONNECTION_LIMIT = define(
    1032,
    "admin-connection-limit",
    Level.WARNING,
    "connection to the admin listener closed, limit reached",
    "client",
    "limit",
    "connections",
)
HEADS_WITHOUT_ROOM = define(
    1033,
    "heads-without-room",
    Level.WARNING,
    "requests were refused as the listener had no room for their headers",
    "refused",
    "held_bytes",
)
UNREAD_CLOSED = define(
    1034,
    "unread-closed",
    Level.WARNING,
    "connection closed, its client read no responses while too many were unread",
    "silent_s",
    "unread_bytes",
)
HELLO_LIMIT = define(
    1035,
    "hello-limit",
    Level.WARNING,
    "connection that had not sent a hello closed, limit reached; at most one line a second",
    "client",
    "limit",
)
INTERNAL_FAULT = define(
    1040,
    "internal-fault",
    Level.ERROR,
    "fault of the program itself, the process ends",
    "error",
    "traceback",
)
REQUEST_FAULT = define(
    1041,
    "request-fault",
    Level.ERROR,
    "fault of the program itself while it served a request, that request is answered with 500",
    "error",
    "traceback",
)
CERTIFICATE_LOADED = define(
    1050,
    "certificate-loaded",
    Level.INFO,
    "renewed certificate is used by new connections",
    "certificate",
)
CERTIFICATE_REFUSED = define(
    1051,
    "certificate-refused",
    Level.ERROR,
    "changed certificate files do not fit, the former ones stay in use",
    "reason",
)
LOG_LINES_DROPPED = define(
    1042,
    "log-lines-dropped",
    Level.WARNING,
    "log lines were dropped while their reader did not read",
    "lines",
)
