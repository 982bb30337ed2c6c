"""Metrics that every process keeps about its links and its core."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

REGISTRY = CollectorRegistry()

LINK_BYTES = Counter(
    "limelever_link_bytes",
    "Bytes on links between the system's own processes",
    ("purpose", "direction"),
    registry=REGISTRY,
)
LINK_FRAMES = Counter(
    "limelever_link_frames",
    "Frames on links between the system's own processes",
    ("purpose", "direction"),
    registry=REGISTRY,
)
LINKS_OPEN = Gauge("limelever_links_open", "Links open now", ("purpose",), registry=REGISTRY)
CONFIGURATION_VERSION = Gauge(
    "limelever_configuration_version", "Configuration version in force here", registry=REGISTRY
)


def exposition() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
