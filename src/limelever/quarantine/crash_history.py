"""Replicated record of the requests that were running when back ends crashed.

For each request two grow-only sets are kept: its crashes, and those cleared by a later successful
answer. Replicas merge by set union, so updates may arrive in any order, repeatedly or indirectly.
The table is bounded by age and size; the requests with the fewest crashes are evicted first.

A crash has a depth: one more than the consecutive crashes that the proxy knew of when it sent the
call. Back ends that crash at the same time, for whatever cause, thus don't quarantine the requests
that were running at all of them; only a request that is sent again after each crash gains depth.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct

from limelever.protocol.endpoints_pb2 import CrashNews, Suspect
from limelever.quarantine.fingerprint import Fingerprint
from limelever.quarantine.policy import QUARANTINE_THRESHOLD, retention

MAX_REQUESTS = 1024
"""Requests remembered: 0.8 MB of memory with two crashes each, and 43 kB for a full update."""

MAX_CRASHES = 16
"""Crashes remembered for each request; more don't prolong a quarantine."""

_EVICTION_TARGET = 0.9
"""Fraction of ``MAX_REQUESTS`` that is left after an eviction."""

_MS_PER_SECOND = 1000


class SuspectRequest(Struct, frozen=True):
    """A request that was running when a back end crashed.

    ``known_depth`` is the number of consecutive crashes that its proxy knew of when sending it.
    """

    fingerprint: Fingerprint
    known_depth: int = 0


class CrashRecord(Struct):
    """The crashes of one request; ``last_crash_at`` is in seconds, monotonic.

    ``crashes`` holds the depth of each crash by its id, a random number drawn for each crash.
    """

    fingerprint: Fingerprint
    crashes: dict[int, int]
    cleared: frozenset[int]
    last_crash_at: float

    @property
    def consecutive_crashes(self) -> int:
        """Return the number of consecutive crashes that are not cleared.

        A depth that includes cleared crashes is limited to the number of crashes left.
        """
        uncleared = self.crashes.keys() - self.cleared
        max_depth = max((self.crashes[crash] for crash in uncleared), default=0)
        return min(max_depth, len(uncleared))

    @property
    def is_quarantined(self) -> bool:
        """Return whether the consecutive crashes reach the quarantine threshold."""
        return self.consecutive_crashes >= QUARANTINE_THRESHOLD


class CrashHistory:
    """Crash records by request digest (``Fingerprint.request``); times in seconds, monotonic."""

    def __init__(self) -> None:
        self._by_request: dict[int, CrashRecord] = {}
        self._heads: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._by_request)

    def has_head(self, head: int) -> bool:
        """Return whether a request with this head digest is recorded."""
        return head in self._heads

    def get(self, request: int) -> CrashRecord | None:
        """Return the record of a request, or ``None``."""
        return self._by_request.get(request)

    def all(self) -> tuple[CrashRecord, ...]:
        """Return all records."""
        return tuple(self._by_request.values())

    def add_crash(self, suspects: Iterable[SuspectRequest], crash: int, now: float) -> list[int]:
        """Record a crash by its id for the requests that were running; return those changed."""
        records = (
            CrashRecord(each.fingerprint, {crash: each.known_depth + 1}, frozenset(), now)
            for each in suspects
        )
        changed = [
            record.fingerprint.request for record in records if self._merge_record(record, now)
        ]
        self._evict()
        return changed

    def clear(self, request: int) -> bool:
        """Clear all crashes of a request; return whether any was not cleared before."""
        record = self._by_request.get(request)
        if record is None or not record.consecutive_crashes:
            return False
        record.cleared |= record.crashes.keys()
        return True

    def merge(self, update: CrashNews, now: float) -> list[int]:
        """Merge an update from another replica; return the requests that changed."""
        changed = [
            each.request for each in update.suspects if self._merge_record(_decode(each, now), now)
        ]
        self._evict()
        return changed

    def update_for(self, requests: Iterable[int], now: float, full: bool = False) -> CrashNews:
        """Return an update with the records of some requests; ``full`` says that these are all."""
        records = (self._by_request.get(request) for request in requests)
        return CrashNews(full=full, suspects=[_encode(record, now) for record in records if record])

    def full_update(self, now: float) -> CrashNews:
        """Return an update with all records, for a new subscriber."""
        self.expire(now)
        return self.update_for(self._by_request, now, full=True)

    def missing_from(self, update: CrashNews) -> list[int]:
        """Return the requests whose records are missing or incomplete in a full update."""
        received = {each.request: each for each in update.suspects}
        return [
            request
            for request, record in self._by_request.items()
            if request not in received
            or not record.crashes.keys() <= set(received[request].crashes)
            or not record.cleared <= set(received[request].cleared)
        ]

    def expire(self, now: float) -> list[int]:
        """Remove the records whose retention is over; return their requests."""
        expired = [
            request
            for request, record in self._by_request.items()
            if now >= record.last_crash_at + retention(record.consecutive_crashes)
        ]
        for request in expired:
            self._remove(request)
        return expired

    def _merge_record(self, other: CrashRecord, now: float) -> bool:
        """Merge a record into that of the same request; return whether it changed."""
        if now >= other.last_crash_at + retention(other.consecutive_crashes):
            return False
        request = other.fingerprint.request
        record = self._by_request.get(request)
        if record is None:
            self._by_request[request] = other
            self._heads[other.fingerprint.head] += 1
            return True
        crashes = _merge_crashes(record.crashes, other.crashes)
        cleared = record.cleared | (other.cleared & crashes.keys())
        if crashes == record.crashes and cleared == record.cleared:
            return False
        if crashes != record.crashes:
            record.last_crash_at = max(record.last_crash_at, other.last_crash_at)
        record.crashes, record.cleared = crashes, cleared
        return True

    def _evict(self) -> None:
        if len(self._by_request) <= MAX_REQUESTS:
            return
        records = self._by_request
        eviction_order = sorted(
            records,
            key=lambda each: (records[each].consecutive_crashes, records[each].last_crash_at),
        )
        for request in eviction_order[: len(records) - int(MAX_REQUESTS * _EVICTION_TARGET)]:
            self._remove(request)

    def _remove(self, request: int) -> None:
        head = self._by_request.pop(request).fingerprint.head
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]


def _merge_crashes(crashes: dict[int, int], others: dict[int, int]) -> dict[int, int]:
    """Return the union of crashes, at most ``MAX_CRASHES``, with the greater depth of each.

    Known crashes are never dropped in favour of others, as they may have been acted on.
    """
    merged = {crash: max(depth, others.get(crash, 0)) for crash, depth in crashes.items()}
    for crash in sorted(others.keys() - crashes.keys()):
        if len(merged) < MAX_CRASHES:
            merged[crash] = others[crash]
    return merged


def _decode(suspect: Suspect, now: float) -> CrashRecord:
    crashes = _merge_crashes({}, dict(zip(suspect.crashes, suspect.depths, strict=False)))
    return CrashRecord(
        Fingerprint(suspect.request, suspect.head),
        crashes,
        frozenset(suspect.cleared) & crashes.keys(),
        now - suspect.age_ms / _MS_PER_SECOND,
    )


def _encode(record: CrashRecord, now: float) -> Suspect:
    crashes = sorted(record.crashes)
    return Suspect(
        request=record.fingerprint.request,
        head=record.fingerprint.head,
        crashes=crashes,
        depths=[record.crashes[crash] for crash in crashes],
        cleared=sorted(record.cleared),
        age_ms=max(0, int((now - record.last_crash_at) * _MS_PER_SECOND)),
    )
