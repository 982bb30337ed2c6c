"""Writes the set in force to disk as an encrypted snapshot."""

from __future__ import annotations

from collections.abc import Iterator

from limelever.common.sansio import Output, ReplaceFile
from limelever.subscriber.held import HeldSet
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.snapshot_file import SNAPSHOT_FILE, encode_snapshot
from limelever.subscriber.timers import reached


class SnapshotWriter:
    """Writes at most one snapshot per ``delay`` seconds, and none without a sealer."""

    def __init__(self, delay: float, sealer: Sealer | None, tokens: Iterator[int]) -> None:
        self._delay = delay
        self._sealer = sealer
        self._tokens = tokens
        self.due_at: float | None = None

    def plan(self, now: float) -> None:
        """Schedule a snapshot, unless one is scheduled."""
        if self._sealer is not None and self.due_at is None:
            self.due_at = now + self._delay

    def on_deadline(self, held: HeldSet | None, now: float) -> list[Output]:
        """Write the set in force if a snapshot is due."""
        if not reached(self.due_at, now):
            return []
        self.due_at = None
        if held is None or self._sealer is None:
            return []
        content = encode_snapshot(held, self._sealer)
        return [ReplaceFile(next(self._tokens), SNAPSHOT_FILE, content)]
