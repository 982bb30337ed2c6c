"""Proof that the publisher is current: probes gathered, one proof under way at a time."""

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
    """Gathers probes into few proofs: a storm of them costs the source one read index.

    Times are seconds of the host's monotonic clock.
    """

    def __init__(self, timeout: float) -> None:
        self.proved_at: float | None = None
        self._timeout = timeout
        self._waiting: list[WaitingProbe] = []
        self._token = 0
        self._began: float | None = None

    def wait(self, probe: WaitingProbe) -> None:
        """Add a probe."""
        self._waiting.append(probe)

    def forget(self, connection: ConnectionId) -> None:
        """Drop the probes of a link that is gone."""
        self._waiting = [probe for probe in self._waiting if probe.connection != connection]

    def begin(self, now: float) -> FreshnessNeeded | None:
        """Begin a proof, unless one is under way that has not timed out."""
        if self._began is not None and now < self._began + self._timeout:
            return None
        self._token += 1
        self._began = now
        return FreshnessNeeded(self._token, now)

    def begin_if_waited_for(self, now: float) -> FreshnessNeeded | None:
        """Begin a proof when a probe waits for one."""
        return self.begin(now) if self._waiting else None

    def proved(self, at: float) -> list[WaitingProbe]:
        """Note a proof begun at ``at`` and return the probes that it answers."""
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
        """Return when a proof under way is to be begun again for those who wait."""
        if self._began is None or not self._waiting:
            return None
        return self._began + self._timeout
