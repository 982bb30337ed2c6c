"""The endpoint table of a relay: endpoints leased here, and those replicated from other relays.

All of it is soft state: it is not stored on disk, and a restarted relay receives it again. Of two
states the one with the higher (incarnation, sequence) wins, whatever its source.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container, Iterable

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.departed_runs import DepartedRun, DepartedRuns
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    MachineNotice,
)
from limelever.relay.endpoint_entry import (
    LOCAL_ORIGIN,
    EndpointEntry,
    EndpointName,
    Precedence,
    effective_state,
    is_visible_change,
    run_of,
    stored_copy,
)
from limelever.relay.expiry_queue import ExpiryQueue


class TableSettings(Struct, frozen=True):
    """How long tombstones and the endpoints of a disconnected relay are kept, in seconds."""

    tombstone: float = 60.0
    relay_grace: float = 20.0


class EndpointTable:
    """Endpoints by name. Methods that change it return the names that must be published."""

    def __init__(self, settings: TableSettings) -> None:
        self._settings = settings
        self._entries: dict[EndpointName, EndpointEntry] = {}
        self._names_by_service: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._names_by_instance: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._names_by_origin: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._notice_by_instance: dict[str, MachineNotice] = {}
        self._names_by_run: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._departed = DepartedRuns()
        self._new_departures: list[DepartedRun] = []
        self._expiry_queue = ExpiryQueue()
        self._last_local_change = 0
        self._last_removed_change = 0

    @property
    def last_local_change(self) -> int:
        """The sequence number of the last change of an endpoint leased here."""
        return self._last_local_change

    def get(self, name: EndpointName) -> EndpointEntry | None:
        """Return an entry, which may be a tombstone, or ``None``."""
        return self._entries.get(name)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not gone, sorted by name."""
        return self._live_endpoints(self._names_by_service.get(service, ()))

    def live_endpoints(self) -> list[Endpoint]:
        """Return every endpoint that is not gone, sorted by name."""
        return self._live_endpoints(self._entries)

    def local_endpoints(self) -> list[Endpoint]:
        """Return the endpoints leased here that are not gone, sorted by name."""
        return self._live_endpoints(self._names_by_origin.get(LOCAL_ORIGIN, ()))

    @property
    def relay_grace(self) -> float:
        """How long a disconnected relay's endpoints are kept, in seconds."""
        return self._settings.relay_grace

    def local_changes_since(self, local_change: int) -> list[Endpoint] | None:
        """Return the endpoints leased here that changed after ``local_change``, sorted by name.

        Returns ``None`` if a tombstone of a later change was removed.
        """
        if local_change < self._last_removed_change:
            return None
        entries = [
            self._entries[name] for name in sorted(self._names_by_origin.get(LOCAL_ORIGIN, ()))
        ]
        return [entry.endpoint for entry in entries if entry.local_change > local_change]

    def merge(
        self, endpoint: Endpoint, origin: str, expires_at: float | None, now: float
    ) -> list[EndpointName]:
        """Merge the state of an endpoint from its agent (``LOCAL_ORIGIN``) or another relay."""
        name = EndpointName.of(endpoint)
        changed = self.run_departed(run_of(endpoint), now) if endpoint.leaving else []
        current = self._entries.get(name)
        if current is not None and Precedence.of(endpoint) <= Precedence.of(current.endpoint):
            self._renew(name, current, origin, expires_at)
            return [*changed, *self._apply_outdated_drain(name, endpoint)]
        same_incarnation = (
            current is not None and current.endpoint.incarnation == endpoint.incarnation
        )
        departed = self.has_departed(endpoint)
        drained = current is not None and same_incarnation and current.drained
        drained = drained or self._has_notice(endpoint) or endpoint.state == ENDPOINT_STATE_DRAINING
        drained = drained or departed
        stored = stored_copy(endpoint, effective_state(endpoint.state, drained))
        stored.leaving = departed
        if stored.state == ENDPOINT_STATE_GONE:
            expires_at = now + self._settings.tombstone
        entry = EndpointEntry(stored, origin, expires_at, drained)
        return [*changed, *self._store(name, entry)]

    @property
    def departed_runs(self) -> tuple[DepartedRun, ...]:
        """The runs that have left and are remembered."""
        return tuple(self._departed)

    def has_departed(self, endpoint: Endpoint) -> bool:
        """Return whether the run beside an endpoint has left."""
        run = run_of(endpoint)
        return self._departed.has(run.instance, run.started_at_ms)

    def run_departed(self, run: DepartedRun, now: float) -> list[EndpointName]:
        """Drain all endpoints of a run that has left, and those that register from now on."""
        if not self._departed.add(run, now):
            return []
        self._new_departures.append(run)
        changed: list[EndpointName] = []
        for name in sorted(self._names_by_run.get(run.instance, ())):
            entry = self._entries[name]
            if not entry.is_tombstone and self.has_departed(entry.endpoint):
                endpoint = stored_copy(entry.endpoint, ENDPOINT_STATE_DRAINING)
                endpoint.leaving = True
                changed.extend(self._store(name, replace(entry, endpoint=endpoint, drained=True)))
        return changed

    def take_new_departures(self) -> list[DepartedRun]:
        """Return the runs whose leave was learned since the last call."""
        departures, self._new_departures = self._new_departures, []
        return departures

    def expire(self, now: float) -> list[EndpointName]:
        """End expired leases and grace periods, and remove expired tombstones."""
        self._departed.expire(now)
        changed: list[EndpointName] = []
        for name in self._expiry_queue.pop_due(now, self._expires_at):
            entry = self._entries[name]
            if entry.is_tombstone:
                self._remove(name, entry)
            else:
                changed.extend(self._replace_by_tombstone(name, entry, now))
        return changed

    def cancel_grace(self, origin: str, unlisted: Container[EndpointName]) -> None:
        """End the grace period of a reconnected relay's endpoints, except ``unlisted``.

        Those were missing from its last full message, and it has not sent them since.
        """
        for name in tuple(self._names_by_origin.get(origin, ())):
            entry = self._entries[name]
            if not entry.is_tombstone and name not in unlisted:
                self._entries[name] = replace(entry, expires_at=None)

    def start_grace(
        self, origin: str, listed: Container[EndpointName], now: float
    ) -> set[EndpointName]:
        """Let the endpoints of another relay, except ``listed``, expire after the grace period.

        ``listed`` are those in a full message of the relay; none if its link was lost.
        Returns the endpoints that will expire. Grace periods that run already are not extended.
        """
        expiring: set[EndpointName] = set()
        for name in tuple(self._names_by_origin.get(origin, ())):
            entry = self._entries[name]
            if name in listed or entry.is_tombstone:
                continue
            expiring.add(name)
            if entry.expires_at is None:
                self._put(name, replace(entry, expires_at=now + self._settings.relay_grace))
        return expiring

    def apply_machine_notices(
        self, notices: Iterable[MachineNotice], now: float
    ) -> list[EndpointName]:
        """Apply the platform's list of leaving and dead machines.

        The list lags behind: it does not apply to incarnations that are newer than the one it
        names, and a dead machine that holds a lease here is only marked as draining.
        """
        self._notice_by_instance = {notice.instance: notice for notice in notices}
        changed: list[EndpointName] = []
        for notice in self._notice_by_instance.values():
            for name in sorted(self._names_by_instance.get(notice.instance, ())):
                changed.extend(self._apply_notice(name, notice, now))
        return changed

    def next_deadline(self) -> float | None:
        """Return when ``expire`` is to be called (seconds, monotonic), or ``None``."""
        return self._expiry_queue.next_deadline()

    def _apply_outdated_drain(self, name: EndpointName, outdated: Endpoint) -> list[EndpointName]:
        """Apply a drain from an outdated state, as an incarnation that drained stays drained."""
        current = self._entries[name]
        same_incarnation = current.endpoint.incarnation == outdated.incarnation
        if current.drained or not same_incarnation or outdated.state != ENDPOINT_STATE_DRAINING:
            return []
        return self._drain(name, current)

    def _drain(self, name: EndpointName, entry: EndpointEntry) -> list[EndpointName]:
        state = effective_state(entry.endpoint.state, drained=True)
        endpoint = stored_copy(entry.endpoint, state)
        return self._store(name, replace(entry, endpoint=endpoint, drained=True))

    def _apply_notice(
        self, name: EndpointName, notice: MachineNotice, now: float
    ) -> list[EndpointName]:
        entry = self._entries[name]
        if entry.is_tombstone or entry.endpoint.incarnation > notice.observed_incarnation:
            return []
        if notice.state == ENDPOINT_STATE_GONE and entry.origin != LOCAL_ORIGIN:
            return self._replace_by_tombstone(name, entry, now)
        if entry.endpoint.state != ENDPOINT_STATE_READY:
            return []
        return self._drain(name, entry)

    def _has_notice(self, endpoint: Endpoint) -> bool:
        notice = self._notice_by_instance.get(endpoint.instance)
        return notice is not None and endpoint.incarnation <= notice.observed_incarnation

    def _live_endpoints(self, names: Iterable[EndpointName]) -> list[Endpoint]:
        entries = [self._entries[name] for name in sorted(names)]
        return [entry.endpoint for entry in entries if not entry.is_tombstone]

    def _replace_by_tombstone(
        self, name: EndpointName, entry: EndpointEntry, now: float
    ) -> list[EndpointName]:
        stored = stored_copy(entry.endpoint, ENDPOINT_STATE_GONE)
        expires_at = now + self._settings.tombstone
        return self._store(name, replace(entry, endpoint=stored, expires_at=expires_at))

    def _renew(
        self, name: EndpointName, current: EndpointEntry, origin: str, expires_at: float | None
    ) -> None:
        if current.origin == origin and not current.is_tombstone:
            self._put(name, replace(current, expires_at=expires_at))

    def _store(self, name: EndpointName, entry: EndpointEntry) -> list[EndpointName]:
        current = self._entries.get(name)
        visible = is_visible_change(current.endpoint if current else None, entry.endpoint)
        newly_local = entry.origin == LOCAL_ORIGIN and (
            current is None or current.origin != LOCAL_ORIGIN
        )
        if entry.origin == LOCAL_ORIGIN and (visible or newly_local):
            self._last_local_change += 1
            entry = replace(entry, local_change=self._last_local_change)
        elif current is not None:
            entry = replace(entry, local_change=current.local_change)
        self._put(name, entry)
        return [name] if visible or newly_local else []

    def _put(self, name: EndpointName, entry: EndpointEntry) -> None:
        current = self._entries.get(name)
        if current is not None and current.origin != entry.origin:
            self._names_by_origin[current.origin].discard(name)
        self._entries[name] = entry
        self._names_by_origin[entry.origin].add(name)
        self._names_by_service[name.service].add(name)
        self._names_by_instance[name.instance].add(name)
        self._names_by_run[run_of(entry.endpoint).instance].add(name)
        if entry.expires_at is not None:
            self._expiry_queue.schedule(name, entry.expires_at)

    def _remove(self, name: EndpointName, entry: EndpointEntry) -> None:
        del self._entries[name]
        indexes = (
            (self._names_by_origin, entry.origin),
            (self._names_by_service, name.service),
            (self._names_by_instance, name.instance),
            (self._names_by_run, run_of(entry.endpoint).instance),
        )
        for index, key in indexes:
            index[key].discard(name)
            if not index[key]:
                del index[key]
        if entry.origin == LOCAL_ORIGIN:
            self._last_removed_change = max(self._last_removed_change, entry.local_change)

    def _expires_at(self, name: EndpointName) -> float | None:
        entry = self._entries.get(name)
        return entry.expires_at if entry is not None else None
