"""Counts of what a back end ran, by call and by idempotency key.

The counts survive a killed back end: each run is appended to a journal before it is served, in
one unbuffered write, which outlives the process (though not the machine).
"""

from __future__ import annotations

import json
import os
from collections import Counter
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class RunCounts:
    """How often each call identifier and each idempotency key was run."""

    by_call: dict[str, int]
    by_key: dict[str, int]


class RunJournal:
    """Counts runs; with a path, keeps them over a restart."""

    def __init__(self, path: Path | None = None) -> None:
        self._by_call: Counter[str] = Counter()
        self._by_key: Counter[str] = Counter()
        self._descriptor: int | None = None
        if path is not None:
            self.load(path)
            self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def record(self, call_id: str, key: str) -> None:
        """Count one run, before any work for it is done."""
        if self._descriptor is not None:
            os.write(self._descriptor, (json.dumps([call_id, key]) + "\n").encode())
        self._count(call_id, key)

    def counts(self) -> RunCounts:
        """Return the counts so far."""
        return RunCounts(dict(self._by_call), dict(self._by_key))

    def load(self, path: Path) -> None:
        """Add the runs kept in a journal file; a missing one holds none."""
        if not path.exists():
            return
        for line in path.read_text().splitlines():
            call_id, key = json.loads(line)
            self._count(call_id, key)

    def _count(self, call_id: str, key: str) -> None:
        if call_id:
            self._by_call[call_id] += 1
        if key:
            self._by_key[key] += 1


def read_journal(path: Path) -> RunCounts:
    """Return the counts kept in a journal file, also of a back end that is down."""
    journal = RunJournal()
    journal.load(path)
    return journal.counts()
