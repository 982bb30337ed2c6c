"""Reads the metrics that processes of the system publish on their admin listeners."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

LINK_BYTES = "limelever_link_bytes_total"
LINK_FRAMES = "limelever_link_frames_total"
CONFIGURATION_VERSION = "limelever_configuration_version"
LINKS_OPEN = "limelever_links_open"
CALLS_PURPOSE = "calls"
SUBSCRIPTION_PURPOSE = "subscription"


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample: its name, its labels as sorted pairs, its value."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


def parse_metrics(text: str) -> list[Sample]:
    """Parse the text format of Prometheus."""
    return [
        Sample(sample.name, tuple(sorted(sample.labels.items())), sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


def control_bytes(samples: Iterable[Sample]) -> float:
    """Return the bytes, both ways, on all links but those that carry calls."""
    return _control_total(LINK_BYTES, samples)


def control_frames(samples: Iterable[Sample]) -> float:
    """Return the frames, both ways, on all links but those that carry calls."""
    return _control_total(LINK_FRAMES, samples)


def _control_total(name: str, samples: Iterable[Sample]) -> float:
    return sum(
        sample.value
        for sample in samples
        if sample.name == name and ("purpose", CALLS_PURPOSE) not in sample.labels
    )


def configuration_version(samples: Iterable[Sample]) -> int:
    """Return the configuration version in force, 0 when none is."""
    return max((int(s.value) for s in samples if s.name == CONFIGURATION_VERSION), default=0)


def subscription_links(samples: Iterable[Sample]) -> int:
    """Return how many subscription links are open, in both directions."""
    return sum(
        int(sample.value)
        for sample in samples
        if sample.name == LINKS_OPEN and ("purpose", SUBSCRIPTION_PURPOSE) in sample.labels
    )
