"""Metrics that every process keeps; docs/operators/metrics.md tells operators of each."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from limelever.common.byte_budget import ByteBudget, Use
from limelever.transport.instruments import Counter, Gauge, Histogram

LINK_BYTES = Counter(
    "limelever_link_bytes",
    "Bytes on links between the system's own processes",
    ("purpose", "direction"),
)
LINK_FRAMES = Counter(
    "limelever_link_frames",
    "Frames on links between the system's own processes",
    ("purpose", "direction"),
)
LINKS_OPEN = Gauge("limelever_links_open", "Links open now", ("purpose",))
HTTP_CONNECTIONS_OPEN = Gauge(
    "limelever_http_connections_open", "Connections open now at an HTTP listener", ("listener",)
)
HTTP_IN_ORDER_SECONDS = Histogram(
    "limelever_http_in_order_seconds",
    "Seconds for which ready answers waited for earlier ones of their connection",
    bounds=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0),
)
BODY_BYTES = Gauge(
    "limelever_body_bytes",
    "Bytes of request and response bodies held now, or waited for, by step of their call",
    ("use", "state"),
)
BODY_WAITS = Gauge(
    "limelever_body_waits",
    "Bodies that had to wait for room, by step of their call, since the process started",
    ("use",),
)
EVENTS = Counter("limelever_events", "Log events by their number", ("code",))
READY = Gauge("limelever_ready", "1 when the process serves, as /readyz says")
CONFIGURATION_VERSION = Gauge(
    "limelever_configuration_version", "Configuration version in force here"
)
CONFIGURATION_AGE = Gauge(
    "limelever_configuration_age_seconds",
    "Seconds since the configuration in force was last proved current",
    published=False,
)
GROUP_FEATURE_LEVEL = Gauge(
    "limelever_group_feature_level",
    "Feature level that all members of the source's group have stated",
    published=False,
)


def publish_body_bytes(budget: ByteBudget) -> None:
    """Publish what a process holds in its budget for bodies."""
    for use in Use:
        BODY_BYTES.labels(use.value, "held").function = partial(budget.used, use)
        BODY_BYTES.labels(use.value, "waiting").function = partial(budget.waiting_bytes, use)
        BODY_WAITS.labels(use.value).function = partial(budget.waits.__getitem__, use)


def publish_group_feature_level(level: Callable[[], int]) -> None:
    """Publish the feature level of the group, as this replica knows it; for sources alone."""
    GROUP_FEATURE_LEVEL.only.function = level
    GROUP_FEATURE_LEVEL.published = True


def publish_configuration_age(age: Callable[[], float]) -> None:
    """Publish how many seconds ago the configuration in force was last proved current.

    Only processes that take a configuration from others publish it: at a source it would read
    0 for ever, also when the source is cut off. Infinity says that nothing was proved yet.
    """
    CONFIGURATION_AGE.only.function = age
    CONFIGURATION_AGE.published = True
