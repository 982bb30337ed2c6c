"""Operators that wait for an entry of the log to be committed and applied."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from limelever.protocol.config_pb2 import Batch
from limelever.protocol.replication_pb2 import LogEntry
from limelever.source.request_answers import fingerprint


class WriteWaiters:
    """Tokens of operators' requests by the log index that they wait for."""

    def __init__(self) -> None:
        self._tokens: defaultdict[int, list[int]] = defaultdict(list)

    def add(self, index: int, token: int) -> None:
        """Let ``token`` wait for the entry at ``index``."""
        self._tokens[index].append(token)

    def take(self, index: int) -> list[int]:
        """Return and forget the tokens that waited for ``index``."""
        return self._tokens.pop(index, [])

    def take_all(self) -> list[int]:
        """Return and forget all tokens."""
        tokens = [token for waiting in self._tokens.values() for token in waiting]
        self._tokens.clear()
        return tokens


def index_of_same(batch: Batch, uncommitted: Iterable[LogEntry]) -> int | None:
    """Return the index of an entry that is this very request, sent before.

    A request id reused with other content does not count: it gets an entry of its own, and the
    state machine refuses it there. So does a revision, whose number tells a resend there.
    """
    if batch.HasField("revision"):
        return None
    for entry in uncommitted:
        if entry.batch.request_id == batch.request_id:
            return entry.index if fingerprint(entry.batch) == fingerprint(batch) else None
    return None
