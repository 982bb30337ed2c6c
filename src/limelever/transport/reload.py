"""Settings that are read again: at SIGHUP, and when their file changes without one.

What can be changed in a running process is registered by the part that it belongs to. All else is
named in the log as waiting for a restart; settings that don't check out change nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import trio
from msgspec import Struct

from limelever.common import events
from limelever.common.errors import Failure
from limelever.common.settings import ProcessSettings
from limelever.transport.log import write_event

LOOK_SECONDS = 1.0
"""Between looks at the settings file."""

FILE_CHANGED = "the file changed"


class FileStamp(Struct, frozen=True):
    """Tells one state of a file from another."""

    modified_ns: int
    size: int

    @classmethod
    def of(cls, path: Path) -> FileStamp | None:
        """Return the state that the file is in, ``None`` while it can't be read."""
        try:
            status = path.stat()
        except OSError:
            return None
        return cls(status.st_mtime_ns, status.st_size)


class SettingsFile(Struct, frozen=True):
    """Where a process's settings come from; ``read`` returns them anew, or why it can't.

    ``first_read`` is the file's state before the settings that the process starts with were read:
    a change that comes while it starts must not pass unseen.
    """

    path: Path
    read: Callable[[], ProcessSettings | Failure]
    first_read: FileStamp | None

    @classmethod
    def before_reading(
        cls, path: Path, read: Callable[[], ProcessSettings | Failure]
    ) -> SettingsFile:
        """Return the file in its present state; to be called before the first reading."""
        return cls(path, read, FileStamp.of(path))


class Reloading:
    """Reads a process's settings again and hands on what has changed."""

    def __init__(self, settings: ProcessSettings, source: SettingsFile | None) -> None:
        self._settings = settings
        self._source = source
        self._handlers: dict[str, list[Callable[[Any], None]]] = {}

    def handle(self, name: str, handler: Callable[[Any], None]) -> None:
        """Have ``handler`` take new values of the setting ``name``, besides others."""
        self._handlers.setdefault(name, []).append(handler)

    def reload(self, reason: str) -> None:
        """Read the settings now."""
        if self._source is None:
            fields: dict[str, object] = {"reason": reason, "problem": "no settings file is known"}
            write_event(events.RELOAD_REFUSED, fields)
            return
        read = self._source.read()
        if isinstance(read, Failure):
            write_event(events.RELOAD_REFUSED, {"reason": reason, "problem": str(read)})
            return
        self._take(read, reason)

    async def watch(self) -> None:
        """Reload whenever the file changes, until cancelled."""
        if self._source is None:
            return
        seen = self._source.first_read
        while True:
            await trio.sleep(LOOK_SECONDS)
            stamp = FileStamp.of(self._source.path)
            if stamp not in (seen, None):
                seen = stamp
                self.reload(FILE_CHANGED)

    def _take(self, read: ProcessSettings, reason: str) -> None:
        before, self._settings = self._settings, read
        changed = changed_names(before, read)
        for name in changed:
            for handler in self._handlers.get(name, ()):
                handler(getattr(read, name))
        fields: dict[str, object] = {
            "reason": reason,
            "changed": changed,
            "needs_restart": [name for name in changed if name not in self._handlers],
        }
        write_event(events.PROCESS_RELOADED, fields)


def changed_names(before: ProcessSettings, after: ProcessSettings) -> list[str]:
    """Return the names of the settings that differ."""
    names = [attribute.name for attribute in attrs.fields(type(before))]
    return [name for name in names if getattr(before, name) != getattr(after, name)]
