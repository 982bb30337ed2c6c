"""Reads the metrics that processes of the system publish on their admin listeners."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

LINK_BYTES = "limelever_link_bytes_total"
LINK_FRAMES = "limelever_link_frames_total"
CONFIGURATION_VERSION = "limelever_configuration_version"
LINKS_OPEN = "limelever_links_open"
KEEPER_PURPOSE = "keeper"
SUBSCRIPTION_PURPOSE = "subscription"
PER_CALL_PURPOSES = frozenset({"calls", KEEPER_PURPOSE})
"""Links whose bytes follow the calls, and would not change with another way to distribute."""


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
    """Return the bytes, both ways, that configuration and endpoints cost."""
    return _control_total(LINK_BYTES, samples)


def claim_bytes(samples: Iterable[Sample]) -> float:
    """Return the bytes, both ways, between a proxy and the keepers of at-most-once calls."""
    return sum(s.value for s in samples if s.name == LINK_BYTES and _purpose(s) == KEEPER_PURPOSE)


def control_frames(samples: Iterable[Sample]) -> float:
    """Return the frames, both ways, that configuration and endpoints cost."""
    return _control_total(LINK_FRAMES, samples)


def _control_total(name: str, samples: Iterable[Sample]) -> float:
    return sum(
        sample.value
        for sample in samples
        if sample.name == name and _purpose(sample) not in PER_CALL_PURPOSES
    )


def _purpose(sample: Sample) -> str:
    return dict(sample.labels).get("purpose", "")


def configuration_version(samples: Iterable[Sample]) -> int:
    """Return the configuration version in force, 0 when none is."""
    return max((int(s.value) for s in samples if s.name == CONFIGURATION_VERSION), default=0)


def subscription_links(samples: Iterable[Sample]) -> int:
    """Return how many subscription links are open, in both directions."""
    return sum(
        int(sample.value)
        for sample in samples
        if sample.name == LINKS_OPEN and _purpose(sample) == SUBSCRIPTION_PURPOSE
    )
