"""Answers to past requests, kept so that a resend gets the first answer and never runs again.

A request id is ``UNIQUE@POSITION``, where POSITION is a log index that was committed when the
id was drawn. The records are bounded, oldest dropped first. An id by itself says nothing about
its age, so the position does: an unknown id at or below the highest position of a dropped
record may be a dropped one and is refused as expired. An id drawn afresh always lies above,
because its position is read after the dropped requests were committed.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

from limelever.protocol.replication_pb2 import RequestRecord

DEFAULT_RECORD_LIMIT = 10_000
POSITION_SEPARATOR = "@"
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{8,96}@(0|[1-9][0-9]{0,17})")


class RecordMiss(Enum):
    """Why there is no record to answer a request with."""

    NEW = "new"
    MALFORMED = "malformed"
    FROM_THE_FUTURE = "from-the-future"
    MAYBE_DROPPED = "maybe-dropped"


def make_request_id(unique: str, position: int) -> str:
    """Return the request id for a unique part and a committed log index."""
    return f"{unique}{POSITION_SEPARATOR}{position}"


def position_of(request_id: str) -> int | None:
    """Return the log index within a request id, or ``None`` when the id is malformed."""
    match = _REQUEST_ID.fullmatch(request_id)
    return None if match is None else int(match.group(1))


class RequestRecords:
    """The bounded set of answers; part of the replicated state, so free of clocks and chance."""

    def __init__(self, limit: int = DEFAULT_RECORD_LIMIT) -> None:
        """``limit`` is the number of records kept; every replica must use the same."""
        self._limit = limit
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._removed_through = 0

    @property
    def removed_through(self) -> int:
        """Return the highest position in the ids of dropped records; 0 = none dropped."""
        return self._removed_through

    def oldest_first(self) -> Iterable[RequestRecord]:
        """Return the records, oldest first."""
        return self._records.values()

    def find(self, request_id: str, log_index: int) -> RequestRecord | RecordMiss:
        """Return the record of ``request_id`` as met at ``log_index``, or why there is none."""
        record = self._records.get(request_id)
        if record is not None:
            return record
        position = position_of(request_id)
        if position is None:
            return RecordMiss.MALFORMED
        if position >= log_index:
            return RecordMiss.FROM_THE_FUTURE
        if self._removed_through and position <= self._removed_through:
            return RecordMiss.MAYBE_DROPPED
        return RecordMiss.NEW

    def add(self, record: RequestRecord) -> None:
        """Keep ``record`` and drop the oldest past the limit."""
        self._records[record.request_id] = record
        while len(self._records) > self._limit:
            dropped, _ = self._records.popitem(last=False)
            self._removed_through = max(self._removed_through, position_of(dropped) or 0, 1)

    def restore(self, records: Iterable[RequestRecord], removed_through: int) -> None:
        """Replace everything by ``records``, oldest first."""
        self._records = OrderedDict((record.request_id, record) for record in records)
        self._removed_through = removed_through
