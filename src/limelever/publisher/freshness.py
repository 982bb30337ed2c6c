"""Proof that the publisher is current: one at a time, shared by all waiting probes."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.sansio import ConnectionId
from limelever.publisher.notices import FreshnessNeeded


class WaitingProbe(Struct, frozen=True):
    """A subscriber's probe that waits for a proof begun after it arrived."""

    connection: ConnectionId
    nonce: int
    arrived: float


class FreshnessProofs:
    """Batches probes, so that many at once cost the source a single read index.

    Times are seconds of the host's monotonic clock.
    """

    def __init__(self, timeout: float) -> None:
        self.proved_at: float | None = None
        self._timeout = timeout
        self._waiting: list[WaitingProbe] = []
        self._token = 0
        self._began: float | None = None

    def wait(self, probe: WaitingProbe) -> None:
        """Add a probe that the next proof answers."""
        self._waiting.append(probe)

    def forget(self, connection: ConnectionId) -> None:
        """Remove the probes of a closed link."""
        self._waiting = [probe for probe in self._waiting if probe.connection != connection]

    def begin(self, now: float) -> FreshnessNeeded | None:
        """Begin a proof, unless one is in progress that has not timed out."""
        if self._began is not None and now < self._began + self._timeout:
            return None
        self._token += 1
        self._began = now
        return FreshnessNeeded(self._token, now)

    def begin_if_waited_for(self, now: float) -> FreshnessNeeded | None:
        """Begin a proof when a probe waits for one."""
        return self.begin(now) if self._waiting else None

    def proved(self, at: float) -> list[WaitingProbe]:
        """Record a proof begun at ``at`` and return the probes that it answers."""
        if self._began is not None and at >= self._began:
            self._began = None
        if self.proved_at is None or at > self.proved_at:
            self.proved_at = at
        answered = [probe for probe in self._waiting if probe.arrived <= at]
        self._waiting = [probe for probe in self._waiting if probe.arrived > at]
        return answered

    def age(self, now: float) -> float | None:
        """Return how long ago the publisher was last known to be current, or ``None``."""
        return None if self.proved_at is None else max(0.0, now - self.proved_at)

    def next_deadline(self) -> float | None:
        """Return when the proof in progress times out for the waiting probes, or ``None``."""
        if self._began is None or not self._waiting:
            return None
        return self._began + self._timeout
