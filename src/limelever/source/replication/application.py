"""What replication asks of the state machine and services around it."""

from __future__ import annotations

from typing import Protocol

from limelever.protocol.replication_pb2 import LogEntry, SourceSnapshot


class Application(Protocol):
    """The host of a replica; called from within ``Replica.handle``."""

    def apply(self, entry: LogEntry) -> None:
        """Take a committed entry; each index comes once, in order."""

    def snapshot(self) -> SourceSnapshot:
        """Return the state after the last applied entry; position and members are filled in."""

    def restore(self, snapshot: SourceSnapshot) -> None:
        """Replace the state by that of ``snapshot``."""

    def leadership_lost(self) -> None:
        """Learn that entries proposed here and not yet applied have an unknown fate."""

    def read_proved(self, token: int, proved: bool) -> None:
        """Learn that all committed before the read began is applied, or that it failed."""
