"""Structured logs: the sink of a process, and the writer of numbered events.

By the standard library's logging: loguru brings asyncio and multiprocessing, 3.4 MB of a node's
40.6 MB and 14 ms of the 160 ms of processor time of its imports (14 runs of compiled files each).
"""

from __future__ import annotations

import json
import logging
import os
import sys
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from limelever.common.events import CATALOGUE, EventKind
from limelever.transport.events import LOG_LINES_DROPPED
from limelever.transport.log_stream import LogStream
from limelever.transport.metrics import EVENTS

if TYPE_CHECKING:
    from limelever.common.settings import LogSettings

STANDARD_OUTPUT = 1
"""Descriptor of the standard output."""

LOGGER = logging.getLogger("limelever")
"""Gets each event as a record whose ``args`` are its kind and its fields."""

LOGGER.propagate = False
_TEXT_WIDTH = 7
"""Width of the level's name in lines of text."""


def configure_logging(settings: LogSettings, role: str, name: str) -> None:
    """Send log events where the settings say, stamped with the process's role and name."""
    for handler in tuple(LOGGER.handlers):
        LOGGER.removeHandler(handler)
    LOGGER.setLevel(settings.level)
    LOGGER.addHandler(
        _text_handler(settings)
        if settings.format == "text"
        else _json_handler(settings, role, name)
    )


def write_event(code: int, fields: dict[str, object]) -> None:
    """Write one numbered event and count it; ``code`` stands in the catalogue."""
    kind = CATALOGUE[code]
    level = _LEVELS[kind.level.value]
    if LOGGER.isEnabledFor(level):
        # Not by ``log``, which looks for the caller's line through the stack: no line names it.
        extra = {"kind": kind, "fields": fields}
        LOGGER.handle(
            LOGGER.makeRecord(LOGGER.name, level, "", 0, kind.text, (), None, None, extra)
        )
    count_event(code)


def count_event(code: int) -> None:
    """Count a numbered event without a line of its own."""
    EVENTS.labels(str(code)).inc()


_LEVELS = logging.getLevelNamesMapping()
_ENCODER = json.JSONEncoder(default=str)


class _JsonLines(logging.Handler):
    """Writes each event as one JSON object."""

    def __init__(self, stream: LogStream, role: str, name: str) -> None:
        super().__init__()
        self._stream = stream
        self._role = role
        self._name = name

    def emit(self, record: logging.LogRecord) -> None:
        at = datetime.fromtimestamp(record.created).astimezone()
        line = _line(record.kind, at, self._role, self._name, record.fields)  # type: ignore[attr-defined]
        self._stream.write(line)


class _TextLines(logging.Formatter):
    """One line of text an event, for people."""

    def format(self, record: logging.LogRecord) -> str:
        at = datetime.fromtimestamp(record.created).astimezone().isoformat(timespec="milliseconds")
        kind: EventKind = record.kind  # type: ignore[attr-defined]
        fields: dict[str, object] = record.fields  # type: ignore[attr-defined]
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"{at} {kind.level.value:<{_TEXT_WIDTH}} {kind.code} {kind.text} {text}"


def _text_handler(settings: LogSettings) -> logging.Handler:
    handler = (
        logging.FileHandler(settings.file) if settings.file else logging.StreamHandler(sys.stdout)
    )
    handler.setFormatter(_TextLines())
    return handler


def _json_handler(settings: LogSettings, role: str, name: str) -> logging.Handler:
    descriptor = STANDARD_OUTPUT
    if settings.file:
        descriptor = os.open(settings.file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    return _JsonLines(LogStream(descriptor, partial(_dropped_line, role, name)), role, name)


def _dropped_line(role: str, name: str, count: int) -> str:
    """Return the line that tells of lines dropped while the log's reader did not read."""
    kind = CATALOGUE[LOG_LINES_DROPPED]
    return _line(kind, datetime.now().astimezone(), role, name, {"lines": count})


def _line(kind: EventKind, at: datetime, role: str, name: str, fields: dict[str, object]) -> str:
    line: dict[str, object] = {
        "time": at.isoformat(timespec="milliseconds"),
        "level": kind.level.value,
        "role": role,
        "process": name,
        "code": kind.code,
        "event": kind.name,
        "message": kind.text,
    }
    if fields:
        line["fields"] = fields
    return _ENCODER.encode(line) + "\n"
