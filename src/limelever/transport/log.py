"""Structured logs: loguru sinks, and the writer of numbered events."""

from __future__ import annotations

import json
import os
import sys
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from limelever.common.events import CATALOGUE
from limelever.transport.events import LOG_LINES_DROPPED
from limelever.transport.log_stream import LogStream
from limelever.transport.metrics import EVENTS

if TYPE_CHECKING:
    from loguru import Message

    from limelever.common.settings import LogSettings

STANDARD_OUTPUT = 1
"""Descriptor of the standard output."""

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {extra[code]} {message} {extra[text]}"


def configure_logging(settings: LogSettings, role: str, name: str) -> None:
    """Send log events where the settings say, stamped with the process's role and name."""
    logger.remove()
    logger.configure(extra={"role": role, "process": name, "code": 0, "fields": {}, "text": ""})
    target = settings.file or sys.stdout
    if settings.format == "text":
        logger.add(target, level=settings.level, format=_TEXT_FORMAT)
        return
    descriptor = STANDARD_OUTPUT
    if settings.file:
        descriptor = os.open(settings.file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    stream = LogStream(descriptor, partial(_dropped_line, role, name))

    def write_line(message: Message) -> None:
        stream.write(_json_line(message))

    logger.add(write_line, level=settings.level)


def write_event(code: int, fields: dict[str, object]) -> None:
    """Write one numbered event and count it; ``code`` stands in the catalogue."""
    kind = CATALOGUE[code]
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    bound = logger.bind(code=code, event=kind.name, fields=fields, text=text)
    bound.log(kind.level.value, kind.text)
    EVENTS.labels(str(code)).inc()


def _dropped_line(role: str, name: str, count: int) -> str:
    """Return the line that tells of lines dropped while the log's reader did not read."""
    kind = CATALOGUE[LOG_LINES_DROPPED]
    line: dict[str, object] = {
        "time": datetime.now().astimezone().isoformat(timespec="milliseconds"),
        "level": kind.level.value,
        "role": role,
        "process": name,
        "code": kind.code,
        "event": kind.name,
        "message": kind.text,
        "fields": {"lines": count},
    }
    return json.dumps(line) + "\n"


def _json_line(message: Message) -> str:
    record = message.record
    extra = record["extra"]
    line: dict[str, object] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "role": extra.get("role", ""),
        "process": extra.get("process", ""),
        "code": extra.get("code", 0),
        "event": extra.get("event", "message"),
        "message": record["message"],
    }
    fields = extra.get("fields")
    if fields:
        line["fields"] = fields
    if record["exception"] is not None:
        line["exception"] = str(record["exception"].value)
    return json.dumps(line, default=str) + "\n"
