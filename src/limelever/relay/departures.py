"""Keeps the runs that have left beyond the life of the processes that learned it.

A node reports a leave before it acknowledges it. The relay confirms once its disk has the run, and
forwards it to the other relays. A relay without a disk confirms what it has in memory.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.departures import departures_message, stored_message
from limelever.relay import events
from limelever.relay.interface import WriteDepartures


class _Confirmation(Struct, frozen=True):
    """Confirms runs to a node once the write ``token`` is on disk."""

    token: int
    node: ConnectionId
    runs: tuple[DepartedRun, ...]


class DepartureStore:
    """Stores departed runs on disk, replicates them to other relays and confirms them to nodes.

    While a write is under way, further runs wait for one write after it.
    """

    def __init__(self) -> None:
        self._relays: dict[ConnectionId, None] = {}
        self._confirmations: list[_Confirmation] = []
        self._last_token = 0
        self._can_write = False
        self._needs_write = False

    def recovered(self) -> None:
        """Allow writes, as the table holds what the disk held, which they replace."""
        self._can_write = True

    def add_relay(self, relay: ConnectionId, runs: Iterable[DepartedRun]) -> list[Output]:
        """Send another relay all departed runs, and new ones from now on."""
        self._relays[relay] = None
        message = departures_message(runs)
        return [SendMessage(relay, message)] if message.runs else []

    def connection_closed(self, connection: ConnectionId) -> None:
        """Release the state of a closed link."""
        self._relays.pop(connection, None)
        self._confirmations = [each for each in self._confirmations if each.node != connection]

    def learned(self, runs: Iterable[DepartedRun], *, forward: bool) -> list[Output]:
        """Log newly departed runs, have them written, and forward them to the other relays."""
        runs = tuple(runs)
        if not runs:
            return []
        self._needs_write = True
        message = departures_message(runs)
        logs = [LogEvent(events.RUN_DEPARTED, _fields(run)) for run in runs]
        relays = self._relays if forward else ()
        return [*logs, *(SendMessage(relay, message) for relay in relays)]

    def confirm(self, node: ConnectionId, runs: Iterable[DepartedRun]) -> None:
        """Confirm runs to a node with the next write, which holds them also if they were known."""
        self._needs_write = True
        self._confirmations.append(_Confirmation(self._last_token + 1, node, tuple(runs)))

    def write(self, runs: Iterable[DepartedRun]) -> list[Output]:
        """Return the write of all departed runs that is due, if any."""
        if not self._can_write or not self._needs_write:
            return []
        self._can_write = self._needs_write = False
        self._last_token += 1
        return [WriteDepartures(self._last_token, departures_message(runs).SerializeToString())]

    def written(self, token: int) -> list[Output]:
        """Return the confirmations of the runs that are on disk now."""
        self._can_write = True
        done = [each for each in self._confirmations if each.token <= token]
        self._confirmations = [each for each in self._confirmations if each.token > token]
        return [SendMessage(each.node, stored_message(each.runs)) for each in done]


def _fields(run: DepartedRun) -> dict[str, object]:
    return {"instance": run.instance, "started_at_ms": run.started_at_ms}
