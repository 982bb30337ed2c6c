"""Paces long responses on the machine's uplink and admits calls whose response fits in time.

Without pacing, a long response delays everything queued on the link behind it, and once demand
exceeds the link rate every response is late.

Long responses are sent in chunks at the link rate, so that short messages wait for at most two
chunks; the response with the earliest target goes first. A call whose response would be late is
rejected before it runs. A call that would miss its target even on an idle link is admitted only if
it delays no other.
"""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent.response_sizes import ResponseSizes

MAX_UNPACED_BYTES = 8 * 1024
"""Responses up to this size are sent immediately, as headers and link overhead are a large part of
them."""

CHUNK_SECONDS = 0.016
"""Transmission time of one chunk."""

AHEAD_SECONDS = 0.016
"""Queued transmission time below which the next chunk is sent; covers timers that fire late."""

MIN_CHUNK_BYTES = 4096
"""Minimum chunk size at any link rate, to limit the overhead per message."""

NO_LINK_CAPACITY = "the link has no room for the answer in time"
"""Failure reason that tells rejections for link capacity from those for slots; matched in logs."""

USABLE_LINK_RATIO = 0.9
"""Ratio of the link rate available to responses; framing and other messages use the rest."""


class Chunk(Struct, frozen=True):
    """Number of bytes of a response to send now."""

    response: int
    size: int


class CallTiming(Struct, frozen=True):
    """Target and deadline of a call in monotonic seconds, and its expected service time."""

    target: float
    deadline: float
    service_time: float


class _OutgoingResponse(Struct):
    """A response being sent: ``left`` unsent bytes, of which ``credit`` may be sent."""

    left: int
    credit: int
    target: float


class ResponsePacer:
    """Responses by call number; times in seconds, ``rate`` in bytes per second.

    A ``rate`` of 0 means that the link rate is unknown: nothing is paced or rejected then.
    """

    def __init__(self, rate: int = 0) -> None:
        self._rate = rate * USABLE_LINK_RATIO
        self._chunk_bytes = max(MIN_CHUNK_BYTES, int(self._rate * CHUNK_SECONDS))
        self._sizes = ResponseSizes()
        self._outgoing: dict[int, _OutgoingResponse] = {}
        self._reserved: dict[int, float] = {}
        self._free_at = -math.inf

    def is_paced(self, size: int) -> bool:
        """Return whether a response of ``size`` bytes is sent in chunks."""
        return bool(self._rate) and size > MAX_UNPACED_BYTES

    # --- pacing -----------------------------------------------------------------------------

    def record_sent(self, size: int, now: float) -> None:
        """Account for bytes handed to the link."""
        if self._rate:
            self._free_at = max(self._free_at, now) + size / self._rate

    def add(self, response: int, size: int, credit: int, target: float) -> None:
        """Queue a response of which ``credit`` bytes may be sent for now."""
        self._outgoing[response] = _OutgoingResponse(size, credit, target)

    def add_credit(self, response: int, size: int) -> None:
        """Allow ``size`` more bytes of a response to be sent."""
        outgoing = self._outgoing.get(response)
        if outgoing is not None:
            outgoing.credit += size

    def remove(self, response: int) -> None:
        """Drop a response that is no longer wanted."""
        self._outgoing.pop(response, None)

    def next_chunks(self, now: float) -> list[Chunk]:
        """Return the chunks to send now."""
        chunks: list[Chunk] = []
        while self._may_send(now) and (response := self._next_response(now)) is not None:
            outgoing = self._outgoing[response]
            size = min(self._chunk_bytes, outgoing.left, outgoing.credit)
            outgoing.left -= size
            outgoing.credit -= size
            self.record_sent(size, now)
            chunks.append(Chunk(response, size))
            if not outgoing.left:
                del self._outgoing[response]
        return chunks

    def next_send_time(self) -> float | None:
        """Return when the next chunk may be sent, ``None`` if none is waiting."""
        if not any(outgoing.credit for outgoing in self._outgoing.values()):
            return None
        return self._free_at - AHEAD_SECONDS

    def _may_send(self, now: float) -> bool:
        return now >= self._free_at - AHEAD_SECONDS

    def _next_response(self, now: float) -> int | None:
        """Return the response with the earliest target; those past their target come last."""
        sendable = [
            (each.target <= now, each.target, n)
            for n, each in self._outgoing.items()
            if each.credit
        ]
        return min(sendable)[2] if sendable else None

    # --- admission -------------------------------------------------------------------------

    def observe(self, group: str, size: int) -> None:
        """Record the size of a response to a call of a group."""
        if self._rate:
            self._sizes.observe(group, size)

    def reserve(self, call: int, group: str) -> None:
        """Reserve link capacity for the response of an admitted call."""
        size = self._sizes.average(group)
        if self.is_paced(int(size)):
            self._reserved[call] = size

    def release(self, call: int) -> None:
        """Release the reservation of a call: its response is here, or none will come."""
        self._reserved.pop(call, None)

    def backlog_seconds(self, now: float) -> float:
        """Return how long the link is busy with queued and expected responses."""
        if not self._rate:
            return 0.0
        waiting = sum(outgoing.left for outgoing in self._outgoing.values())
        known = (waiting + sum(self._reserved.values())) / self._rate
        return known + max(0.0, self._free_at - now)

    def lateness(self, group: str, times: CallTiming, now: float) -> float:
        """Return by how much the response to a new call would be late, 0 if it fits.

        The backlog drains while the call runs. A call that would be late even on an idle link is
        admitted only if there is no backlog left when it ends.
        """
        size = self._sizes.average(group)
        if not self.is_paced(int(size)):
            return 0.0
        earliest_end = now + times.service_time + size / self._rate
        backlog_delay = max(0.0, self.backlog_seconds(now) - times.service_time)
        if earliest_end > times.target:
            return backlog_delay
        return max(0.0, earliest_end + backlog_delay - min(times.target, times.deadline))
