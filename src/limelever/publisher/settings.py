"""Settings of the publisher; durations are in seconds."""

from __future__ import annotations

from msgspec import Struct

from limelever.publisher.resources import UNLIMITED_BYTES


class PublisherSettings(Struct, frozen=True):
    """Bounds and intervals of a publisher.

    ``batch_delay`` is the least time between two batches of changes: one alone goes out at
    once, those that follow are gathered. It trades convergence time for control bytes.
    ``window`` is the number of versions kept for deltas, within ``window_bytes`` of memory.
    ``outstanding`` bounds the deltas sent to one subscriber and not yet acknowledged.
    ``admission_rate`` (a second) and ``admission_burst`` bound the subscriptions answered with
    configuration; those turned away are spread over at most ``retry_after_limit``. A publisher that
    holds nothing yet lets subscribers wait for ``hold_empty`` before it sends them away.
    ``heartbeat_interval`` is the least time between two heartbeats that announce new versions;
    in quiet one goes out each ``keep_alive_interval``.
    """

    batch_delay: float = 0.05
    heartbeat_interval: float = 3.0
    keep_alive_interval: float = 30.0
    window: int = 1024
    window_bytes: int = UNLIMITED_BYTES
    outstanding: int = 4
    admission_rate: float = 400.0
    admission_burst: float = 800.0
    retry_after_limit: float = 30.0
    hold_empty: float = 0.0
    proof_timeout: float = 2.0
    report_interval: float = 1.0
    proves_itself: bool = True
