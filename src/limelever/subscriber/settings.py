"""Settings of the subscriber; durations are in seconds."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import Address


class SubscriberSettings(Struct, frozen=True):
    """Where a subscriber gets its configuration from, and which part of it.

    ``services`` is the scope; ``everything`` is for relays and replaces it, ``every_service`` for
    proxies that may route to any. ``stale_after`` is the age of the publisher's last proof from
    which another publisher is searched for, and ``behind_after`` the time for which a publisher may
    name newer versions without sending any: longer than any publisher's batch delay. The first of
    ``publishers`` is preferred (for relays, one drawn at random): a subscriber of another one
    attempts to return to it with ``return_backoff``. Once relays report their zones, the relay for
    the subscriber's ``zone`` is preferred instead. ``longest_pause`` limits the delay between two
    attempts to replace a publisher that is stale or lost. With ``persist_snapshot`` the
    configuration is also written to disk, at most once per ``snapshot_delay``.
    """

    publishers: tuple[Address, ...]
    services: tuple[str, ...] = ()
    everything: bool = False
    every_service: bool = False
    stale_after: float = 8.0
    behind_after: float = 20.0
    probe_interval: float = 2.0
    answer_timeout: float = 5.0
    longest_pause: float = 240.0
    backoff: BackoffSettings = BackoffSettings()
    return_backoff: BackoffSettings = BackoffSettings(base=30.0, maximum=240.0)
    persist_snapshot: bool = False
    snapshot_delay: float = 2.0
    zone: str = ""

    @property
    def dialling(self) -> BackoffSettings:
        """Return the backoff between dials after a publisher is lost."""
        maximum = min(self.backoff.maximum, self.longest_pause)
        return BackoffSettings(base=min(self.backoff.base, maximum), maximum=maximum)
