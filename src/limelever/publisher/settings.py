"""Settings of the publisher; durations are in seconds."""

from __future__ import annotations

from msgspec import Struct

from limelever.publisher.resources import UNLIMITED_BYTES


class PublisherSettings(Struct, frozen=True):
    """Limits and intervals of a publisher.

    ``batch_delay`` is the minimum time between two batches of changes: the first change after a
    pause is sent at once, later ones are batched. It trades convergence time for control traffic.
    ``window`` is the number of versions kept for deltas, within ``window_bytes`` of memory.
    ``outstanding`` limits the deltas sent to one subscriber and not yet acknowledged.
    ``admission_rate`` (per second) and ``admission_burst`` limit the subscriptions answered with
    configuration; the retries of refused ones are spread over at most ``retry_after_limit``. A
    publisher without configuration lets subscribers wait for ``hold_empty`` before it refuses them.
    ``heartbeat_interval`` is the minimum time between two heartbeats that announce new versions;
    a keep-alive is sent every ``keep_alive_interval``.
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
