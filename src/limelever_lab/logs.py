"""Reads the log lines of processes, also where a tool has put a prefix before each."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class Line:
    """One log line: ``at`` in seconds since the epoch."""

    at: float
    process: str
    role: str
    event: str
    fields: dict[str, Any]


def read_lines(text: Iterable[str]) -> Iterator[Line]:
    """Return the log lines within a text; what stands before a line's JSON is passed over."""
    for each in text:
        line = _parsed(each)
        if line is not None:
            yield line


def _parsed(text: str) -> Line | None:
    start = text.find('{"time"')
    if start < 0:
        return None
    try:
        held = json.loads(text[start:])
        at = datetime.fromisoformat(held["time"]).timestamp()
        return Line(at, held["process"], held["role"], held["event"], held.get("fields", {}))
    except (ValueError, KeyError):
        return None
