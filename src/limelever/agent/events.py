"""Numbered log events of the agent, 5000 to 5999."""

from __future__ import annotations

from limelever.common.events import Level, define

LEASE_GRANTED = define(
    5000, "lease-granted", Level.INFO, "registration lease granted", "relay", "lease_ms"
)
LEASE_LOST = define(5001, "lease-lost", Level.WARNING, "registration lease lost", "relay", "reason")
REGISTRATION_MOVED = define(
    5002,
    "registration-moved",
    Level.INFO,
    "relay failed, registration moves to the next one",
    "relay",
    "reason",
)
REGISTRATION_DEFERRED = define(
    5003,
    "registration-deferred",
    Level.INFO,
    "relay asked for a later registration",
    "relay",
    "seconds",
)
SHARES_CHANGED = define(
    5010, "shares-changed", Level.INFO, "group weights changed", "version", "groups"
)
BACKEND_READY = define(5020, "backend-ready", Level.INFO, "back end passed its first probe")
BACKEND_PROBE_CHANGED = define(
    5021, "backend-probe-changed", Level.WARNING, "health probe result changed", "healthy"
)
BACKEND_SILENT = define(
    5023,
    "backend-silent",
    Level.WARNING,
    "back end does not respond, calls are refused until it does",
    "running",
    "queued",
)
BACKEND_BACK = define(5024, "backend-back", Level.INFO, "back end responds again")
BACKEND_ENDED = define(
    5025,
    "backend-ended",
    Level.WARNING,
    "back end process exited while calls were running, listed by request digest",
    "crash",
    "requests",
    "queued",
)
COLD_START_LIMIT = define(
    5022,
    "cold-start-limit",
    Level.WARNING,
    "registered without a passed health probe after the cold start limit",
    "seconds",
)
DUPLICATE_ATTEMPT = define(
    5030, "duplicate-attempt", Level.WARNING, "duplicate attempt received and not run again", "peer"
)
WRONG_INCARNATION = define(
    5031,
    "wrong-incarnation",
    Level.INFO,
    "call for another incarnation refused",
    "peer",
    "incarnation",
)
ORPHANED_ATTEMPTS = define(
    5032,
    "orphaned-attempts",
    Level.INFO,
    "proxy connection closed with calls in flight",
    "peer",
    "dropped",
    "cancelled",
    "left_running",
)
DRAIN_STARTED = define(
    5040, "drain-started", Level.INFO, "drain started", "running", "queued", "limit_seconds"
)
DRAIN_FINISHED = define(5041, "drain-finished", Level.INFO, "drain finished", "cut_off")
ZONE_DRAIN_BEGAN = define(
    5130,
    "zone-drain-began",
    Level.INFO,
    "the instance's zone is drained: new and queued calls are refused",
    "zone",
    "version",
    "running",
    "queued",
)
ZONE_DRAIN_ENDED = define(
    5131,
    "zone-drain-ended",
    Level.INFO,
    "the drain of the instance's zone was withdrawn: calls are taken again",
    "zone",
    "version",
)
ZONE_DRAIN_REFUSED = define(
    5132,
    "zone-drain-refused",
    Level.DEBUG,
    "call refused because the instance's zone is drained",
    "group",
)
CALL_RAN = define(
    5050,
    "call-ran",
    Level.INFO,
    "back end answered a call",
    "request_id",
    "status",
    "waited_milliseconds",
    "ran_milliseconds",
    "unsent_milliseconds",
    "running",
    "queued",
    "draining_milliseconds",
)
CALL_NOT_SERVED = define(
    5051,
    "call-not-served",
    Level.INFO,
    "call refused or failed",
    "request_id",
    "kind",
    "outcome",
    "reason",
    "running",
    "queued",
    "slots",
    "service_milliseconds",
    "draining",
    "draining_milliseconds",
)
CONNECTION_LOST = define(
    5140,
    "instance-connection-lost",
    Level.WARNING,
    "the instance no longer responds on the connection of a call, which is closed",
    "seconds",
    "running",
)
INSTANCE_LIMIT_CHANGED = define(
    5150,
    "instance-limit-changed",
    Level.INFO,
    "the instance states how many calls a second it takes; `former` 0: no limit before",
    "former",
    "calls_per_s",
    "source",
)
INSTANCE_LIMIT_ENDED = define(
    5151,
    "instance-limit-ended",
    Level.INFO,
    "the instance no longer states a limit on its calls",
    "former",
    "calls_per_s",
    "source",
)
INSTANCE_LIMIT_INVALID = define(
    5152,
    "instance-limit-invalid",
    Level.WARNING,
    "the instance states a limit that is not a number from 0 on; the limit stays as it was",
    "value",
)
INSTANCE_LEAVING = define(
    5153,
    "instance-leaving",
    Level.INFO,
    "the instance states that it is leaving",
    "running",
    "queued",
    "source",
)
REPORT_REFUSED = define(
    5060,
    "report-refused",
    Level.WARNING,
    "instance reports refused: invalid or not from the local instance",
    "reason",
    "refused",
)
INSTANCE_FOUND = define(
    5061,
    "instance-found",
    Level.INFO,
    "an instance was found beside the node, an agent is started for it",
    "instance",
    "source",
    "sequence",
    "started_at_ms",
)
LEAVE_LEARNED = define(
    5062,
    "leave-learned",
    Level.INFO,
    "the instance beside the node leaves or has ended",
    "instance",
    "source",
    "started_at_ms",
    "was_active",
)
LEAVE_ACKNOWLEDGED = define(
    5063,
    "leave-acknowledged",
    Level.INFO,
    "the leave of the instance is acknowledged if `stored`, and refused until a relay keeps it",
    "instance",
    "stored",
    "milliseconds",
)
WARM_UP_STARTED = define(
    5120,
    "warm-up-started",
    Level.INFO,
    "back end warms up, its calls are limited",
    "left_milliseconds",
)
WARM_UP_ENDED = define(5121, "warm-up-ended", Level.INFO, "back end is warm")
WARM_UP_NOT_KNOWN = define(
    5122,
    "warm-up-not-known",
    Level.INFO,
    "back end's warm-up is not known, its calls are limited until it reports",
)
