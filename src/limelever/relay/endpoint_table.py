"""The endpoint table of a relay: own agents by lease, other relays' agents by their word.

Soft state: nothing here is on disk, a restarted relay hears it all again. The newer
(incarnation, sequence) always wins, whoever tells of it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container, Iterable

from msgspec import Struct
from msgspec.structs import replace

from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    MachineNotice,
)
from limelever.relay.endpoint_entry import (
    OWN,
    EndpointName,
    Entry,
    Rank,
    as_stored,
    held_back,
    is_visible_change,
)
from limelever.relay.expiry_queue import Expiry


class TableSettings(Struct, frozen=True):
    """Durations in seconds: of tombstones, and of a lost relay's endpoints."""

    tombstone: float = 60.0
    relay_grace: float = 20.0


class EndpointTable:
    """Endpoints by name. Methods return the names whose change others need to hear of."""

    def __init__(self, settings: TableSettings) -> None:
        self._settings = settings
        self._entries: dict[EndpointName, Entry] = {}
        self._by_service: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._by_instance: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._by_origin: defaultdict[str, set[EndpointName]] = defaultdict(set)
        self._notices: dict[str, MachineNotice] = {}
        self._expiry = Expiry()
        self._own_changes = 0
        self._forgotten_changes = 0

    @property
    def own_changes(self) -> int:
        """Number of the last change of an own endpoint."""
        return self._own_changes

    def get(self, name: EndpointName) -> Entry | None:
        """Return an entry, tombstones included."""
        return self._entries.get(name)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not gone, sorted by name."""
        return self._living(self._by_service.get(service, ()))

    def living(self) -> list[Endpoint]:
        """Return every endpoint that is not gone, sorted by name."""
        return self._living(self._entries)

    def own(self) -> list[Endpoint]:
        """Return the endpoints leased here that are not gone, sorted by name."""
        return self._living(self._by_origin.get(OWN, ()))

    @property
    def relay_grace(self) -> float:
        """How long a lost relay's endpoints are kept, in seconds."""
        return self._settings.relay_grace

    def own_since(self, change: int) -> list[Endpoint] | None:
        """Return own endpoints changed after ``change``, or ``None`` when some are forgotten."""
        if change < self._forgotten_changes:
            return None
        entries = [self._entries[name] for name in sorted(self._by_origin.get(OWN, ()))]
        return [entry.endpoint for entry in entries if entry.change > change]

    def offer(
        self, endpoint: Endpoint, origin: str, expires_at: float | None, now: float
    ) -> list[EndpointName]:
        """Take a notion of an endpoint from its agent (``OWN``) or from another relay."""
        name = EndpointName.of(endpoint)
        held = self._entries.get(name)
        if held is not None and Rank.of(endpoint) <= Rank.of(held.endpoint):
            self._refresh(name, held, origin, expires_at)
            return self._drain_late(name, endpoint)
        same_incarnation = held is not None and held.endpoint.incarnation == endpoint.incarnation
        drained = held is not None and same_incarnation and held.drained
        drained = drained or self._noticed(endpoint) or endpoint.state == ENDPOINT_STATE_DRAINING
        stored = as_stored(endpoint, held_back(endpoint.state, drained))
        if stored.state == ENDPOINT_STATE_GONE:
            expires_at = now + self._settings.tombstone
        return self._store(name, Entry(stored, origin, expires_at, drained))

    def expire(self, now: float) -> list[EndpointName]:
        """End the leases and graces that are over; drop tombstones whose time has passed."""
        changed: list[EndpointName] = []
        for name in self._expiry.due(now, self._expires_at):
            entry = self._entries[name]
            if entry.gone:
                self._drop(name, entry)
            else:
                changed.extend(self._bury(name, entry, now))
        return changed

    def confirm_origin(self, origin: str, unlisted: Container[EndpointName]) -> None:
        """Note that what is known from another relay is still so, but for ``unlisted``."""
        for name in tuple(self._by_origin.get(origin, ())):
            entry = self._entries[name]
            if not entry.gone and name not in unlisted:
                self._entries[name] = replace(entry, expires_at=None)

    def doubt_origin(
        self, origin: str, listed: Container[EndpointName], now: float
    ) -> set[EndpointName]:
        """Keep what another relay told of for the grace only, but for what is ``listed``.

        Returns the endpoints in doubt; the grace of those that were so before runs on.
        """
        doubted: set[EndpointName] = set()
        for name in tuple(self._by_origin.get(origin, ())):
            entry = self._entries[name]
            if name in listed or entry.gone:
                continue
            doubted.add(name)
            if entry.expires_at is None:
                self._put(name, replace(entry, expires_at=now + self._settings.relay_grace))
        return doubted

    def take_notices(self, notices: Iterable[MachineNotice], now: float) -> list[EndpointName]:
        """Take the platform list: it may only mark machines as leaving or dead.

        An entry with a higher incarnation than the list had seen wins over it. A machine called
        dead whose lease still stands here is marked as draining: the list lags.
        """
        self._notices = {notice.instance: notice for notice in notices}
        changed: list[EndpointName] = []
        for notice in self._notices.values():
            for name in sorted(self._by_instance.get(notice.instance, ())):
                changed.extend(self._mark(name, notice, now))
        return changed

    def next_deadline(self) -> float | None:
        """Return when ``expire`` is to be called (seconds, monotonic), or ``None``."""
        return self._expiry.next_deadline()

    def _drain_late(self, name: EndpointName, late: Endpoint) -> list[EndpointName]:
        """Heed old news of a drain, which is sticky whatever came before it."""
        held = self._entries[name]
        same_incarnation = held.endpoint.incarnation == late.incarnation
        if held.drained or not same_incarnation or late.state != ENDPOINT_STATE_DRAINING:
            return []
        return self._drain(name, held)

    def _drain(self, name: EndpointName, entry: Entry) -> list[EndpointName]:
        state = held_back(entry.endpoint.state, drained=True)
        endpoint = as_stored(entry.endpoint, state)
        return self._store(name, replace(entry, endpoint=endpoint, drained=True))

    def _mark(self, name: EndpointName, notice: MachineNotice, now: float) -> list[EndpointName]:
        entry = self._entries[name]
        if entry.gone or entry.endpoint.incarnation > notice.observed_incarnation:
            return []
        if notice.state == ENDPOINT_STATE_GONE and entry.origin != OWN:
            return self._bury(name, entry, now)
        if entry.endpoint.state != ENDPOINT_STATE_READY:
            return []
        return self._drain(name, entry)

    def _noticed(self, endpoint: Endpoint) -> bool:
        notice = self._notices.get(endpoint.instance)
        return notice is not None and endpoint.incarnation <= notice.observed_incarnation

    def _living(self, names: Iterable[EndpointName]) -> list[Endpoint]:
        entries = [self._entries[name] for name in sorted(names)]
        return [entry.endpoint for entry in entries if not entry.gone]

    def _bury(self, name: EndpointName, entry: Entry, now: float) -> list[EndpointName]:
        stored = as_stored(entry.endpoint, ENDPOINT_STATE_GONE)
        expires_at = now + self._settings.tombstone
        return self._store(name, replace(entry, endpoint=stored, expires_at=expires_at))

    def _refresh(
        self, name: EndpointName, held: Entry, origin: str, expires_at: float | None
    ) -> None:
        if held.origin == origin and not held.gone:
            self._put(name, replace(held, expires_at=expires_at))

    def _store(self, name: EndpointName, entry: Entry) -> list[EndpointName]:
        held = self._entries.get(name)
        visible = is_visible_change(held.endpoint if held else None, entry.endpoint)
        moved_here = entry.origin == OWN and (held is None or held.origin != OWN)
        if entry.origin == OWN and (visible or moved_here):
            self._own_changes += 1
            entry = replace(entry, change=self._own_changes)
        elif held is not None:
            entry = replace(entry, change=held.change)
        self._put(name, entry)
        return [name] if visible or moved_here else []

    def _put(self, name: EndpointName, entry: Entry) -> None:
        held = self._entries.get(name)
        if held is not None and held.origin != entry.origin:
            self._by_origin[held.origin].discard(name)
        self._entries[name] = entry
        self._by_origin[entry.origin].add(name)
        self._by_service[name.service].add(name)
        self._by_instance[name.instance].add(name)
        if entry.expires_at is not None:
            self._expiry.schedule(name, entry.expires_at)

    def _drop(self, name: EndpointName, entry: Entry) -> None:
        del self._entries[name]
        indexes = (
            (self._by_origin, entry.origin),
            (self._by_service, name.service),
            (self._by_instance, name.instance),
        )
        for index, key in indexes:
            index[key].discard(name)
            if not index[key]:
                del index[key]
        if entry.origin == OWN:
            self._forgotten_changes = max(self._forgotten_changes, entry.change)

    def _expires_at(self, name: EndpointName) -> float | None:
        entry = self._entries.get(name)
        return entry.expires_at if entry is not None else None
