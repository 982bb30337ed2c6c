"""Log events of the subscriber."""

from __future__ import annotations

from limelever.common.events import Level, define

CONFIGURATION_INSTALLED = define(
    3100, "configuration-installed", Level.INFO, "a version is in force", "version", "resources"
)
VERSION_REFUSED = define(
    3101, "version-refused", Level.WARNING, "received version rejected", "version", "reason"
)
PUBLISHER_LEFT = define(
    3102, "publisher-left", Level.INFO, "changing to another publisher", "publisher", "reason"
)
PUBLISHER_STALE = define(
    3103,
    "publisher-stale",
    Level.WARNING,
    "the publisher has no recent proof of being current",
    "publisher",
    "age_seconds",
)
FLOOR_MISSING = define(
    3104,
    "floor-missing",
    Level.INFO,
    "no version floor on disk: the first version must be proved current",
)
SNAPSHOT_UNUSABLE = define(
    3105, "snapshot-unusable", Level.WARNING, "snapshot on disk is not used", "reason"
)
