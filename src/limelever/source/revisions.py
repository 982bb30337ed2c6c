"""Numbered revisions of the configuration: each number is taken once, on top of the current one.

A resend of a revision that was taken is told apart from another operator's change under the same
number by its fingerprint, however many revisions have followed since.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch, Revision
from limelever.protocol.replication_pb2 import RevisionRecord
from limelever.source.request_answers import fingerprint

RECORD_LIMIT = 100_000
"""Taken numbers that are remembered; the oldest are forgotten first, alike on all replicas."""


class Revisions:
    """The current revision, and the numbers taken so far with the fingerprints of their batches."""

    def __init__(self) -> None:
        self._current = Revision()
        self._taken: dict[int, RevisionRecord] = {}

    @property
    def current(self) -> Revision:
        """Return the newest revision; its number is 0 when none was taken."""
        return self._current

    def judge(self, batch: Batch) -> RevisionRecord | Failure | None:
        """Return the record of a resend, why the batch is refused, or ``None`` when it is new."""
        wanted = batch.revision
        record = self._taken.get(wanted.number)
        if record is not None and record.fingerprint == fingerprint(batch):
            return record
        if record is not None:
            return self._conflict(f"revision {wanted.number} was taken with other content")
        if wanted.base != self._current.number:
            return self._conflict(f"revision {wanted.number} was made from {wanted.base}")
        if wanted.number <= self._current.number:
            return self._conflict(f"revision {wanted.number} does not follow the current one")
        return None

    def take(self, batch: Batch, version: int) -> None:
        """Make the batch's revision the current one, in force as configuration ``version``."""
        number = batch.revision.number
        self._current = Revision()
        self._current.CopyFrom(batch.revision)
        record = RevisionRecord(number=number, fingerprint=fingerprint(batch), version=version)
        self._taken[number] = record
        while len(self._taken) > RECORD_LIMIT:
            del self._taken[next(iter(self._taken))]

    def oldest_first(self) -> list[RevisionRecord]:
        """Return the records of the taken numbers."""
        return list(self._taken.values())

    def restore(self, current: Revision, records: Iterable[RevisionRecord]) -> None:
        """Replace all by what a snapshot holds."""
        self._current = current
        self._taken = {record.number: record for record in records}

    def _conflict(self, reason: str) -> Failure:
        text = f"{reason}; the current revision is {self._current.number}"
        return Failure(ErrorKind.CONFLICT, text)
