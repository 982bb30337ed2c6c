"""Keeps the runs that have left beyond the life of the processes that learned it.

A node reports a leave before it acknowledges it. Its relay has the run written to its own disk,
forwards it to the other relays, and confirms it once any of them has it on disk: a slow or full
disk holds up no acknowledgement where another relay is connected.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from limelever.common.departed_runs import DepartedRun, DepartedRuns
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.departures import departures_message, stored_message
from limelever.relay import events
from limelever.relay.interface import WriteDepartures

MAX_STORED_RUNS = 256
"""Runs remembered as stored by another relay; a leave is repeated within seconds or not at all."""

MAX_CONFIRMATIONS = 4096
"""Confirmations that wait for a disk; the oldest are dropped where it fails for good."""


class _Confirmation(Struct, frozen=True):
    """Runs to be confirmed on a link once they are stored, by the write ``token`` at the latest."""

    token: int
    link: ConnectionId
    runs: tuple[DepartedRun, ...]
    by_any_relay: bool


class DepartureStore:
    """Stores departed runs on disk, replicates them to other relays and confirms them.

    While a write is under way, further runs wait for one write after it.
    """

    def __init__(self) -> None:
        self._stored_by_relay: dict[ConnectionId, DepartedRuns] = {}
        self._confirmations: list[_Confirmation] = []
        self._last_token = 0
        self._has_disk = True
        self._can_write = False
        self._needs_write = False

    def recovered(self, *, has_disk: bool) -> None:
        """Allow writes, as the table holds what the disk held, which they replace."""
        self._has_disk = has_disk
        self._can_write = True

    def add_relay(self, relay: ConnectionId, runs: Iterable[DepartedRun]) -> list[Output]:
        """Send another relay all departed runs, and new ones from now on."""
        self._stored_by_relay[relay] = DepartedRuns(MAX_STORED_RUNS)
        message = departures_message(runs)
        return [SendMessage(relay, message)] if message.runs else []

    def connection_closed(self, connection: ConnectionId) -> None:
        """Release the state of a closed link: a relay may come back with an empty disk."""
        self._stored_by_relay.pop(connection, None)
        self._confirmations = [each for each in self._confirmations if each.link != connection]

    def learned(self, runs: Iterable[DepartedRun], *, forward: bool) -> list[Output]:
        """Log newly departed runs, have them written, and forward them to the other relays."""
        runs = tuple(runs)
        if not runs:
            return []
        self._needs_write = True
        message = departures_message(runs)
        logs = [LogEvent(events.RUN_DEPARTED, _fields(run)) for run in runs]
        relays = self._stored_by_relay if forward else ()
        return [*logs, *(SendMessage(relay, message) for relay in relays)]

    def confirm_to_node(self, node: ConnectionId, runs: Iterable[DepartedRun]) -> list[Output]:
        """Confirm runs to a node once this relay or another has them on disk."""
        confirmation = self._confirm(node, runs, by_any_relay=True)
        return self._confirm_stored([confirmation])

    def confirm_to_relay(self, relay: ConnectionId, runs: Iterable[DepartedRun]) -> None:
        """Confirm runs to the relay that has forwarded them once this relay has them on disk."""
        self._confirm(relay, runs, by_any_relay=False)

    def _confirm(
        self, link: ConnectionId, runs: Iterable[DepartedRun], *, by_any_relay: bool
    ) -> _Confirmation:
        """Confirm runs with the next write, which holds them also if they were known."""
        self._needs_write = True
        confirmation = _Confirmation(self._last_token + 1, link, tuple(runs), by_any_relay)
        self._confirmations = [*self._confirmations[1 - MAX_CONFIRMATIONS :], confirmation]
        return confirmation

    def stored_by_relay(self, relay: ConnectionId, runs: Iterable[DepartedRun]) -> list[Output]:
        """Return the confirmations of the runs that another relay has on disk now."""
        known = self._stored_by_relay.get(relay)
        if known is None:
            return []
        for run in runs:
            known.add(run)
        return self._confirm_stored(self._confirmations)

    def _confirm_stored(self, candidates: Iterable[_Confirmation]) -> list[Output]:
        """Confirm what another relay has on disk."""
        return self._send(
            each
            for each in candidates
            if each.by_any_relay and all(self._is_stored_elsewhere(run) for run in each.runs)
        )

    def _is_stored_elsewhere(self, run: DepartedRun) -> bool:
        stored = self._stored_by_relay.values()
        return any(runs.has(run.instance, run.started_at_ms) for runs in stored)

    def write(self, runs: Iterable[DepartedRun]) -> list[Output]:
        """Return the write of all departed runs that is due, if any."""
        if not self._can_write or not self._needs_write:
            return []
        self._can_write = self._needs_write = False
        self._last_token += 1
        return [WriteDepartures(self._last_token, departures_message(runs).SerializeToString())]

    def written(self, token: int) -> list[Output]:
        """Return the confirmations of the runs that are on disk now.

        A relay that is to keep them in memory confirms them to nodes all the same.
        """
        self._can_write = True
        written = [each for each in self._confirmations if each.token <= token]
        return self._send(each for each in written if self._has_disk or each.by_any_relay)

    def _send(self, confirmations: Iterable[_Confirmation]) -> list[Output]:
        done = list(confirmations)
        self._confirmations = [each for each in self._confirmations if each not in done]
        return [SendMessage(each.link, stored_message(each.runs)) for each in done]


def _fields(run: DepartedRun) -> dict[str, object]:
    return {"instance": run.instance, "started_at_ms": run.started_at_ms}
