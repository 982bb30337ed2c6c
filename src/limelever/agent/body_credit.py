"""Receiver-driven flow control for request bodies on the agent's downlink.

Data pushed onto a link is delivered in order, so a short call waits behind every body in transit.
Bodies are therefore requested in small chunks, no more at once than keep the link busy, shortest
remaining body first. Receiver-driven credit as in Homa (Montazeri et al., SIGCOMM 2018) and pHost
(Gao et al., CoNEXT 2015); there is no pacing: the arrival of a chunk triggers the next request.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

CHUNK_SECONDS = 0.016
"""Transmission time of one chunk."""

MAX_CHUNKS_IN_FLIGHT = 3
"""Maximum number of chunks in flight over all bodies, to cover the round trip time: one is being
transferred, one requested, and one is a reserve for a sender that is slow to respond."""

MAX_CHUNKS_PER_BODY = 2
"""Maximum number of chunks in flight per body, so that a stalled sender leaves room for others."""

MIN_CHUNK_BYTES = 4096
"""Minimum chunk size at any link rate, to limit the overhead per message."""

DEFAULT_CHUNK_BYTES = 256 * 1024
"""Chunk size if the link rate is unknown."""

STALL_TIMEOUT_SECONDS = 0.25
"""Time without data after which bytes granted to a sender no longer count as in flight."""


class Grant(Struct, frozen=True):
    """Additional bytes of a call's body that its proxy may send."""

    call: int
    size: int


class _Body(Struct):
    """A body being transferred; ``in_flight`` bytes are granted but not yet received."""

    ungranted: int
    in_flight: int = 0
    active_at: float = -math.inf

    @property
    def remaining(self) -> int:
        return self.ungranted + self.in_flight

    def is_active(self, now: float) -> bool:
        return self.in_flight > 0 and now - self.active_at < STALL_TIMEOUT_SECONDS


class BodyCreditScheduler:
    """Grants credit for bodies by call number; times in seconds, ``rate`` in bytes per second.

    A ``rate`` of 0 means that the link rate is unknown: transfer times are not estimated then.
    """

    def __init__(self, rate: int = 0) -> None:
        self._rate = rate
        link_chunk_bytes = max(MIN_CHUNK_BYTES, int(rate * CHUNK_SECONDS))
        self._chunk_bytes = link_chunk_bytes if rate else DEFAULT_CHUNK_BYTES
        self._by_call: dict[int, _Body] = {}
        self._granted_at = -math.inf

    def transfer_time(self, size: int) -> float:
        """Return how long the transfer of a new body would take, with shorter bodies first."""
        if not self._rate:
            return 0.0
        ahead = sum(body.remaining for body in self._by_call.values() if body.remaining <= size)
        return (ahead + size) / self._rate

    def add(self, call: int, size: int) -> None:
        """Add a body to be requested."""
        self._by_call[call] = _Body(size)

    def holds(self, call: int) -> bool:
        """Return whether the call's body is being requested."""
        return call in self._by_call

    def received(self, call: int, size: int, now: float) -> None:
        """Record received bytes of a body; bytes beyond its grants are ignored."""
        body = self._by_call[call]
        body.in_flight = max(0, body.in_flight - size)
        body.active_at = now

    def remove(self, call: int) -> None:
        """Remove a body that is complete or whose call has ended."""
        self._by_call.pop(call, None)

    def grants(self, now: float) -> list[Grant]:
        """Return the credit to grant now."""
        self._granted_at = now
        active = sum(body.in_flight for body in self._by_call.values() if body.is_active(now))
        available = self._chunk_bytes * MAX_CHUNKS_IN_FLIGHT - active
        grants = []
        for call, body in self._shortest_first():
            size = min(body.ungranted, self._chunk_bytes * MAX_CHUNKS_PER_BODY - body.in_flight)
            if size < min(body.ungranted, self._chunk_bytes):
                continue
            if available < min(size, self._chunk_bytes):
                break
            size = min(size, available)
            body.ungranted -= size
            body.in_flight += size
            body.active_at = max(body.active_at, now)
            available -= size
            grants.append(Grant(call, size))
        return grants

    def next_deadline(self) -> float | None:
        """Return when the credit of a stalled sender may be granted to another, if one waits."""
        if not any(body.ungranted for body in self._by_call.values()):
            return None
        stalled_at = [
            b.active_at + STALL_TIMEOUT_SECONDS for b in self._by_call.values() if b.in_flight
        ]
        return min((at for at in stalled_at if at > self._granted_at), default=None)

    def _shortest_first(self) -> Iterable[tuple[int, _Body]]:
        waiting = [(call, body) for call, body in self._by_call.items() if body.ungranted]
        return sorted(waiting, key=lambda item: item[1].remaining)
