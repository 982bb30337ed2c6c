"""Collects the log lines of one request from many processes, and finds the deciding one."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from msgspec import Struct

from limelever.agent import events as agent_events
from limelever.agent.events import CALL_NOT_SERVED, CALL_RAN
from limelever.proxy import events as proxy_events
from limelever.proxy.events import (
    ATTEMPT_FAILED,
    ATTEMPT_SENT,
    CALL_ANSWERED,
    CALL_FAILED,
    CALLER_GONE,
)

_ORDER = (ATTEMPT_SENT, CALL_NOT_SERVED, CALL_RAN, ATTEMPT_FAILED, CALLER_GONE)
"""Order of lines with the same time; the caller's answer comes last."""

_DECIDING = (CALL_NOT_SERVED, ATTEMPT_FAILED, CALLER_GONE, CALL_FAILED, CALL_ANSWERED)
"""Codes of lines that may state why a request ended, the closest to the cause first."""

_LIMIT_CHANGED = "instance-limit-changed"
_BELIEFS = frozenset(
    {"configuration-installed", "routes-in-force", "endpoint-ejected", _LIMIT_CHANGED}
)
_DRAIN_BEGAN = frozenset({proxy_events.ZONE_DRAIN_BEGAN, agent_events.ZONE_DRAIN_BEGAN})
_INSTANCE_LEAVING = frozenset(
    {
        proxy_events.INSTANCE_LEAVING,
        agent_events.INSTANCE_LEAVING,
        agent_events.LEAVE_LEARNED,
        agent_events.LEAVE_ACKNOWLEDGED,
    }
)
_DRAIN_ENDED = frozenset({proxy_events.ZONE_DRAIN_ENDED, agent_events.ZONE_DRAIN_ENDED})


class LogLine(Struct, frozen=True):
    """A line of a process's log."""

    time: str
    process: str
    code: int
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as displayed."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time} {self.process} {self.code} {self.event} {shown}"


class Explanation(Struct, frozen=True):
    """A request's lines in order, the deciding one, and what its processes knew at that time."""

    lines: tuple[LogLine, ...]
    deciding: LogLine | None
    beliefs: tuple[LogLine, ...]


def explain(request_id: str, files: Iterable[Path], since: str = "") -> Explanation:
    """Return the explanation of ``request_id``; lines before the time ``since`` are ignored."""
    lines: list[LogLine] = []
    beliefs: dict[tuple[str, str], LogLine] = {}
    for line in sorted(_read_all(files), key=_position):
        if line.time < since:
            continue
        if line.fields.get("request_id") == request_id:
            lines.append(line)
        elif not lines:
            _note_belief(beliefs, line)
    deciding = _deciding(lines)
    processes = {line.process for line in lines}
    held = tuple(line for (process, _), line in beliefs.items() if process in processes)
    return Explanation(tuple(lines), deciding, held)


def _note_belief(beliefs: dict[tuple[str, str], LogLine], line: LogLine) -> None:
    """Keep the last line of a process on each matter; drains and limits only until they end."""
    zone = f"zone-drain {line.fields.get('zone')}"
    if line.event in _BELIEFS:
        beliefs[line.process, line.event] = line
    elif line.code == agent_events.INSTANCE_LIMIT_ENDED:
        beliefs.pop((line.process, _LIMIT_CHANGED), None)
    elif line.code in _INSTANCE_LEAVING:
        beliefs[line.process, f"{line.event} {line.fields.get('instance', '')}"] = line
    elif line.code in _DRAIN_BEGAN:
        beliefs[line.process, zone] = line
    elif line.code in _DRAIN_ENDED:
        beliefs.pop((line.process, zone), None)


def _deciding(lines: list[LogLine]) -> LogLine | None:
    """Return the last line of the kind closest to the cause of the end that the caller saw."""
    ended = next(
        (line for line in reversed(lines) if line.code in (CALL_FAILED, CALL_ANSWERED)), None
    )
    if ended is not None and ended.code == CALL_ANSWERED:
        return ended
    for code in _DECIDING:
        for line in reversed(lines):
            if line.code == code:
                return line
    return lines[-1] if lines else None


def _position(line: LogLine) -> tuple[str, int]:
    return line.time, _ORDER.index(line.code) if line.code in _ORDER else len(_ORDER)


def _read_all(files: Iterable[Path]) -> Iterator[LogLine]:
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as text:
            yield from _read(text)


def _read(text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines; text before a line's JSON is skipped."""
    for raw in text:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(raw[start:])
            yield LogLine(
                record["time"],
                record["process"],
                record["code"],
                record["event"],
                record.get("fields", {}),
            )
        except (ValueError, KeyError, TypeError):
            continue
