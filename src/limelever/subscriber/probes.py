"""Freshness probes: the age of the publisher's proof, measured by this process's clock alone.

The age in an answer counts from the time at which its probe was *sent*, so that a delay in
transit can only overstate the age of the proof. Times are in seconds.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.protocol.distribution_pb2 import FreshnessAnswer, FreshnessProbe

_MILLISECONDS = 1000.0
_KEPT_PROOFS = 8
_KEPT_PROBES = 32


class Proof(Struct, frozen=True):
    """The publisher was current at ``at``, and its version was then ``version``."""

    at: float
    version: int


class Probes:
    """Probes sent on the current link, and the proofs received.

    ``waiting_since`` is when the first probe since the last answer was sent. Probes to the source
    don't count, as their answers may take longer.
    """

    def __init__(self) -> None:
        self._nonce = 0
        self.waiting_since: float | None = None
        self._sent: dict[int, float] = {}
        self._proofs: list[Proof] = []
        self.publisher_fresh_at: float | None = None

    def forget_link(self) -> None:
        """Reset the state of a closed link; nonces are never reused."""
        self._sent.clear()
        self.waiting_since = None
        self._proofs.clear()
        self.publisher_fresh_at = None

    def send(self, now: float, to_source: bool) -> FreshnessProbe:
        """Return a new probe."""
        self._nonce += 1
        self._sent[self._nonce] = now
        if not to_source and self.waiting_since is None:
            self.waiting_since = now
        while len(self._sent) > _KEPT_PROBES:
            del self._sent[next(iter(self._sent))]
        return FreshnessProbe(nonce=self._nonce, to_source=to_source)

    def answered(self, answer: FreshnessAnswer) -> None:
        """Handle an answer; answers to unknown probes prove nothing."""
        self.waiting_since = None
        sent = self._sent.pop(answer.nonce, None)
        if sent is None or answer.unproved:
            return
        at = sent - answer.age_ms / _MILLISECONDS
        if self.publisher_fresh_at is None or at > self.publisher_fresh_at:
            self.publisher_fresh_at = at
        self._proofs.append(Proof(at, answer.version))
        del self._proofs[:-_KEPT_PROOFS]

    def proved_at(self, version: int) -> float | None:
        """Return the latest time at which a holder of ``version`` was current, or ``None``."""
        return max((p.at for p in self._proofs if p.version <= version), default=None)
