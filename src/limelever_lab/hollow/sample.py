"""What a process of hollow nodes tells of itself."""

from __future__ import annotations

import os
import resource
import time
from dataclasses import dataclass
from pathlib import Path

from limelever.transport.metrics import LINK_BYTES, LINK_FRAMES
from limelever_lab.hollow.node_set import NodeSet


@dataclass(frozen=True, slots=True)
class PurposeCount:
    """Bytes and frames of one purpose, as the nodes see them: ``in`` is from the relay."""

    bytes_in: float
    bytes_out: float
    frames_in: float
    frames_out: float


@dataclass(frozen=True, slots=True)
class HollowSample:
    """State of a process at one moment; ``at`` on CLOCK_MONOTONIC, processor time in seconds."""

    at: float
    processor: float
    resident_bytes: int
    nodes: int
    subscribed: int
    registered: int
    lowest_version: int
    highest_version: int
    endpoints: int
    subscription: PurposeCount
    registration: PurposeCount


def take_sample(nodes: NodeSet) -> HollowSample:
    """Return the state of the process now."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    versions = [proxy.core.version for proxy in nodes.proxies]
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return HollowSample(
        at=time.monotonic(),
        processor=usage.ru_utime + usage.ru_stime,
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        nodes=len(nodes.proxies),
        subscribed=sum(proxy.core.subscribed for proxy in nodes.proxies),
        registered=sum(agent.core.registered for agent in nodes.agents),
        lowest_version=min(versions),
        highest_version=max(versions),
        endpoints=min(proxy.core.endpoints for proxy in nodes.proxies),
        subscription=_count("subscription"),
        registration=_count("registration"),
    )


def _count(purpose: str) -> PurposeCount:
    """Read the process's own counters of a purpose."""
    return PurposeCount(
        bytes_in=LINK_BYTES.labels(purpose, "in").value,
        bytes_out=LINK_BYTES.labels(purpose, "out").value,
        frames_in=LINK_FRAMES.labels(purpose, "in").value,
        frames_out=LINK_FRAMES.labels(purpose, "out").value,
    )
