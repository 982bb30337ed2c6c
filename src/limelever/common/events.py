"""Numbered log events: each has a code, a name, a level and a text, and stands in docs/EVENTS.md.

Each room defines its own in its ``events`` module with :func:`define`; the ranges are
1000 common and transport, 2000 source, 3000 relay, publisher and subscriber, 4000 proxy,
5000 agent, 6000 keeper, 7000 command line. Codes are never reused.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class Level(StrEnum):
    """Log level, named as loguru names it."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class EventKind(Struct, frozen=True):
    """One kind of log event; ``fields`` names what each occurrence carries."""

    code: int
    name: str
    level: Level
    text: str
    fields: tuple[str, ...]


CATALOGUE: dict[int, EventKind] = {}


def define(code: int, name: str, level: Level, text: str, *fields: str) -> int:
    """Add an event kind to the catalogue and return its code."""
    if code in CATALOGUE:
        raise ValueError(f"event code {code} is taken by {CATALOGUE[code].name}")
    CATALOGUE[code] = EventKind(code, name, level, text, fields)
    return code


PROCESS_STARTED = define(1000, "process-started", Level.INFO, "process started", "role", "name")
PROCESS_READY = define(1001, "process-ready", Level.INFO, "process is ready", "role", "name")
PROCESS_STOPPING = define(1002, "process-stopping", Level.INFO, "planned stop began", "reason")
PROCESS_STOPPED = define(1003, "process-stopped", Level.INFO, "process stopped", "status")
PROCESS_FAILED = define(1004, "process-failed", Level.ERROR, "process cannot go on", "reason")
STOP_LIMIT_PASSED = define(
    1005, "stop-limit-passed", Level.WARNING, "planned stop took too long", "limit_ms"
)
PROCESS_RELOADED = define(
    1006,
    "process-reloaded",
    Level.INFO,
    "settings were read again",
    "reason",
    "changed",
    "needs_restart",
)
RELOAD_REFUSED = define(
    1007,
    "reload-refused",
    Level.WARNING,
    "settings were read again and refused; those before stay",
    "reason",
    "problem",
)
SETTING_REPLACED = define(
    1008,
    "setting-replaced",
    Level.WARNING,
    "a setting that the process can do without is unusable, its default is in force",
    "problem",
    "used",
)
LINK_OPENED = define(1010, "link-opened", Level.DEBUG, "link opened", "peer", "purpose")
LINK_CLOSED = define(1011, "link-closed", Level.INFO, "link closed", "peer", "purpose", "reason")
LINK_REFUSED = define(
    1012, "link-refused", Level.WARNING, "link refused at hello", "peer", "kind", "reason"
)
DIAL_FAILED = define(1013, "dial-failed", Level.INFO, "dial failed", "address", "reason")
FRAME_REFUSED = define(
    1014, "frame-refused", Level.WARNING, "frame refused", "peer", "kind", "reason"
)
SEND_QUEUE_FULL = define(
    1015, "send-queue-full", Level.WARNING, "peer reads too slowly, link closed", "peer", "limit"
)
DISK_FAILED = define(1020, "disk-failed", Level.ERROR, "disk write failed", "kind", "reason")
DISK_FULL = define(
    1021, "disk-full", Level.ERROR, "the disk is full: what needs a write waits until it has room"
)
DISK_HAS_ROOM = define(1022, "disk-has-room", Level.INFO, "the disk takes writes again")
DATA_FOLDER_OPENED = define(
    1024,
    "data-folder-opened",
    Level.INFO,
    "data folder opened; what was not synced is cut",
    "cut_bytes",
    "records",
    "log_bytes",
    "files",
    "folder",
)
DATA_FOLDER_REFUSED = define(
    1025,
    "data-folder-refused",
    Level.ERROR,
    "data folder can't be used",
    "kind",
    "folder",
    "reason",
)
DECISIONS_NOT_LOGGED = define(
    1023,
    "decisions-not-logged",
    Level.WARNING,
    "lines on failed requests were left out, the rate was too high",
    "lines",
)
