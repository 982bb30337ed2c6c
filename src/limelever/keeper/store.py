"""Claims that a keeper holds: state in memory, rebuilt from the records of its log.

A claim is held by one token. It ends when its token is released, when it expires, or when it is
completed with a recorded answer. The tokens of released claims are kept until they expire, so that
a delayed duplicate of a claim is not granted.
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
    """A claim's record and its size in bytes; ``expires`` is Unix time in seconds."""

    record: KeeperRecord
    size: int

    @property
    def expires(self) -> float:
        """Return the time at which the claim expires."""
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
        """Return the number of claims held."""
        return len(self._claims)

    @property
    def size(self) -> int:
        """Return the size of the records of all claims, in bytes."""
        return self._bytes

    def is_full(self) -> bool:
        """Return whether a limit has been reached, so that no new claim is granted."""
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
        """Grant the claim and return the record to sync."""
        record = KeeperRecord(
            key=claim.key,
            token=claim.token,
            fingerprint=claim.fingerprint,
            expires_unix_ms=self._expiry(wall),
        )
        self.apply(record)
        return record

    def release(self, release: Release, wall: float) -> KeeperRecord | None:
        """Release a claim of this token; return the record to sync, ``None`` if there is none."""
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
        """Record the answer of a claim that had a majority; return ``None`` if one is recorded.

        A claim of another token on the same key is replaced, as two tokens can't both have a
        majority.
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
        """Apply one record of the log, or of another keeper's transfer."""
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
        """Merge another keeper's records after the loss of a disk.

        Where two keepers hold different tokens, either may have had the lost vote of this one, so
        the claim is contested: it is granted to no token, and the release of a token does not
        end it.
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
        """Remove expired claims and released tokens."""
        now = wall * _MILLISECONDS
        for key in [k for k, held in self._claims.items() if held.record.expires_unix_ms <= now]:
            self._drop(key)
        for token in [t for t, r in self._released.items() if r.expires_unix_ms <= now]:
            del self._released[token]

    def replay(self, records: Sequence[bytes]) -> int | None:
        """Apply the records of a log; return the index of one that does not parse, or ``None``."""
        for index, data in enumerate(records):
            try:
                self.apply(KeeperRecord.FromString(data))
            except DecodeError:
                return index
        return None

    def serialized(self) -> tuple[bytes, ...]:
        """Return all records in the form in which the log stores them."""
        return tuple(record.SerializeToString() for record in self.records())

    def records(self) -> Iterator[KeeperRecord]:
        """Return the records of released tokens and of all claims."""
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
