"""The claims a keeper holds: pure state, rebuilt from the records of its log.

A claim is held by one token. It ends by the release of its own token, by expiry, or turns
into a recorded answer. The tokens of released claims are remembered for as long as a late
copy of the claim itself could still arrive, so that the copy is not granted.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from google.protobuf.message import DecodeError
from msgspec import Struct

from limelever.keeper.settings import KeeperSettings
from limelever.protocol.keeper_pb2 import (
    Claim,
    ClaimAnswer,
    ClaimState,
    Complete,
    KeeperRecord,
    RecordedAnswer,
    Release,
)

_MILLISECONDS = 1000


class HeldClaim(Struct):
    """A claim with what is recorded of it; ``expires`` is Unix time in seconds."""

    record: KeeperRecord
    size: int

    @property
    def expires(self) -> float:
        """Return the time at which the claim is forgotten."""
        return self.record.expires_unix_ms / _MILLISECONDS


class ClaimStore:
    """All claims of one keeper. ``wall`` parameters are Unix time in seconds."""

    def __init__(self, settings: KeeperSettings) -> None:
        self._lifetime = settings.claim_lifetime
        self._claims_limit = settings.claims_limit
        self._bytes_limit = settings.bytes_limit
        self._largest_answer = settings.largest_answer
        self._claims: dict[bytes, HeldClaim] = {}
        self._released: dict[bytes, KeeperRecord] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many claims are held."""
        return len(self._claims)

    @property
    def size(self) -> int:
        """Return the bytes of all records held."""
        return self._bytes

    def is_full(self) -> bool:
        """Return whether a new claim would pass a bound."""
        return len(self._claims) >= self._claims_limit or self._bytes >= self._bytes_limit

    def judge(self, claim: Claim) -> ClaimAnswer | None:
        """Return the answer to a claim, or ``None`` when it may be granted by a new record."""
        if claim.token in self._released:
            return ClaimAnswer(state=ClaimState.CLAIM_STATE_RELEASED)
        held = self._claims.get(claim.key)
        if held is None:
            if self.is_full():
                return ClaimAnswer(state=ClaimState.CLAIM_STATE_FULL)
            return None
        record = held.record
        if record.completed:
            return ClaimAnswer(
                state=ClaimState.CLAIM_STATE_COMPLETED,
                answer=record.answer,
                fingerprint=record.fingerprint,
            )
        same = record.token == claim.token
        state = ClaimState.CLAIM_STATE_GRANTED if same else ClaimState.CLAIM_STATE_HELD
        return ClaimAnswer(state=state, fingerprint=record.fingerprint)

    def grant(self, claim: Claim, wall: float) -> KeeperRecord:
        """Take the claim and return the record to sync."""
        record = KeeperRecord(
            key=claim.key,
            token=claim.token,
            fingerprint=claim.fingerprint,
            expires_unix_ms=self._expiry(wall),
        )
        self.apply(record)
        return record

    def release(self, release: Release, wall: float) -> KeeperRecord | None:
        """Forget a claim of this token; return the record to sync, ``None`` if none is due."""
        if release.token in self._released:
            return None
        held = self._claims.get(release.key)
        if held is not None and held.record.token == release.token and held.record.completed:
            return None
        record = KeeperRecord(
            key=release.key,
            token=release.token,
            released=True,
            expires_unix_ms=self._expiry(wall),
        )
        self.apply(record)
        return record

    def complete(self, complete: Complete, wall: float) -> KeeperRecord | None:
        """Record the answer of a claim that had its majority; ``None`` if it is recorded.

        A claim of another token under the same key lost its race (two tokens cannot both have
        a majority) and gives way.
        """
        held = self._claims.get(complete.key)
        if held is not None and held.record.completed:
            return None
        record = KeeperRecord(
            key=complete.key,
            token=complete.token,
            fingerprint=complete.fingerprint,
            answer=self._bounded(complete.answer),
            completed=True,
            expires_unix_ms=self._expiry(wall),
        )
        self.apply(record)
        return record

    def apply(self, record: KeeperRecord) -> None:
        """Take one record of the log, or of another keeper's transfer."""
        held = self._claims.get(record.key)
        if record.released:
            self._released[record.token] = record
            if held is not None and held.record.token == record.token:
                self._drop(record.key)
            return
        if held is not None and held.record.completed and not record.completed:
            return
        if held is not None:
            self._drop(record.key)
        size = record.ByteSize()
        self._claims[record.key] = HeldClaim(record, size)
        self._bytes += size

    def merge(self, records: Iterable[KeeperRecord]) -> None:
        """Take another keeper's records after a lost disk.

        Where two keepers hold different tokens, either may have had this one's forgotten
        vote, so the claim is contested: nobody is granted it, and no release of one token
        frees it.
        """
        for record in records:
            if record.released or record.completed:
                self.apply(record)
                continue
            self._copy(record)

    def _copy(self, record: KeeperRecord) -> None:
        held = self._claims.get(record.key)
        if held is not None and held.record.completed:
            return
        if record.token in self._released:
            return
        if held is None or held.record.token == record.token:
            self.apply(record)
            return
        contested = KeeperRecord()
        contested.CopyFrom(record)
        contested.contested = True
        contested.token = b""
        self.apply(contested)

    def expire(self, wall: float) -> None:
        """Forget what has outlived its time."""
        now = wall * _MILLISECONDS
        for key in [k for k, held in self._claims.items() if held.record.expires_unix_ms <= now]:
            self._drop(key)
        for token in [t for t, r in self._released.items() if r.expires_unix_ms <= now]:
            del self._released[token]

    def replay(self, records: Sequence[bytes]) -> int | None:
        """Apply the records of a log; return the place of one that does not parse."""
        for index, data in enumerate(records):
            try:
                self.apply(KeeperRecord.FromString(data))
            except DecodeError:
                return index
        return None

    def serialized(self) -> tuple[bytes, ...]:
        """Return the records of all claims as they go to the log."""
        return tuple(record.SerializeToString() for record in self.records())

    def records(self) -> Iterator[KeeperRecord]:
        """Return everything held, as records."""
        yield from self._released.values()
        for held in self._claims.values():
            yield held.record

    def _drop(self, key: bytes) -> None:
        self._bytes -= self._claims.pop(key).size

    def _expiry(self, wall: float) -> int:
        return int((wall + self._lifetime) * _MILLISECONDS)

    def _bounded(self, answer: RecordedAnswer) -> RecordedAnswer:
        if len(answer.body) <= self._largest_answer:
            return answer
        return RecordedAnswer(status=answer.status, body_kept=False)
