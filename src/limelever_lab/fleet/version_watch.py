"""Watches the versions in force over a run: none may ever go back, also over restarts."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from limelever_lab.fleet.member import Member

WATCH_PERIOD_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Reversion:
    """A process was seen with a version lower than one it had held."""

    name: str
    held: int
    seen: int


class VersionWatch:
    """Polls members in a thread of its own until it is stopped."""

    def __init__(self, members: Sequence[Member]) -> None:
        self._members = members
        self._highest: dict[str, int] = {}
        self._found: list[Reversion] = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="version-watch", daemon=True)

    def start(self) -> None:
        """Begin to watch."""
        self._thread.start()

    def stop(self) -> list[Reversion]:
        """Stop watching and return the reversions seen."""
        self._stopping.set()
        self._thread.join()
        return list(self._found)

    def _run(self) -> None:
        while not self._stopping.wait(WATCH_PERIOD_SECONDS):
            for member in self._members:
                if member.process.running:
                    self._see(member)

    def _see(self, member: Member) -> None:
        version = member.version()
        held = self._highest.get(member.name, 0)
        if version == 0:
            return
        if version < held:
            self._found.append(Reversion(member.name, held, version))
        self._highest[member.name] = max(held, version)
