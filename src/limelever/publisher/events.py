"""Log events of the publisher."""

from __future__ import annotations

from limelever.common.events import Level, define

SUBSCRIBED = define(
    3000, "subscribed", Level.DEBUG, "subscriber admitted", "peer", "held_version", "answer"
)
SUBSCRIBER_TURNED_AWAY = define(
    3001, "subscriber-turned-away", Level.INFO, "subscriber asked to retry later", "peer", "reason"
)
PUBLISHER_BEHIND = define(
    3002,
    "publisher-behind",
    Level.WARNING,
    "a subscriber has held a newer version than this publisher's",
    "peer",
    "version_floor",
    "version",
)
VERSION_REJECTED = define(
    3003, "version-rejected", Level.WARNING, "a subscriber refused a version", "peer", "reason"
)
SUBSCRIBER_SLOW = define(
    3004, "subscriber-slow", Level.INFO, "deltas are merged for a slow subscriber", "peer"
)
SUBSCRIBER_MISBEHAVED = define(
    3005, "subscriber-misbehaved", Level.WARNING, "unexpected message", "peer", "message"
)
VERSION_PUBLISHED = define(
    3006, "version-published", Level.INFO, "version sent to subscribers", "version", "subscribers"
)
SNAPSHOT_SENT = define(
    3007, "snapshot-sent", Level.DEBUG, "snapshot sent to a subscriber", "peer", "version"
)
