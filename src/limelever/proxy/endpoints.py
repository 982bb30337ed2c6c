"""The proxy's view of the endpoints of the services in its scope.

Relays tell of endpoints with updates that may be late, doubled or incomplete. The newer
(incarnation, sequence) wins; an incarnation that once drained never takes work again, however
old that news is; and the view is kept when no relay answers. That an endpoint is gone is not for
ever: a relay that hears nothing ends leases of agents that live on at another relay, whose newer
news brings them back. An endpoint that a full update no longer names stays usable for a grace
period, because a relay that just restarted knows only the agents that have come back to it so far.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.sansio import Address
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    Endpoint,
    EndpointUpdate,
)

ValueT = TypeVar("ValueT")

UNLISTED_GRACE = 10.0
"""Seconds for which an endpoint missing from a full update is still used."""

RETIRED_LIMIT = 4096
"""Retired incarnations remembered, so that late news cannot revive them; the oldest go first.

As many endpoints that are gone are remembered, with the age of that news.
"""

NEVER = (-1, -1)
"""An age older than all news."""

ALWAYS_WARM = -math.inf
"""``cold_since`` of an endpoint that was there before this proxy knew its table."""


class EndpointKey(NamedTuple):
    """Names one back end instance of a service.

    A named tuple, as its hash is taken several times for each call that is balanced.
    """

    service: str
    instance: str


class EndpointEntry(Struct, frozen=True):
    """What the proxy knows of one endpoint.

    ``version`` is of the back end's software, empty where not known. ``cold_since`` is when this
    incarnation was first seen (seconds), ``reported_load`` the calls a relay told of at
    ``reported_at``, ``unlisted_since`` the time of the full update that first left it out.
    """

    key: EndpointKey
    zone: str
    incarnation: int
    sequence: int
    address: Address
    slots: int
    draining: bool
    cold_since: float
    reported_load: int = 0
    reported_at: float = 0.0
    unlisted_since: float | None = None
    version: str = ""


class _Usable(Struct):
    """Cached usable endpoints of a service, valid until ``until`` (seconds)."""

    entries: tuple[EndpointEntry, ...]
    until: float


class EndpointView:
    """Endpoints by service, merged from relays' updates and the agents' own answers."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, EndpointEntry]] = {}
        self._retired: OrderedDict[EndpointKey, int] = OrderedDict()
        self._gone: OrderedDict[EndpointKey, tuple[int, int]] = OrderedDict()
        self._usable: dict[str, _Usable] = {}
        self._by_hash: dict[int, EndpointKey] = {}
        self._seeded = False

    def apply(self, update: EndpointUpdate, now: float) -> None:
        """Merge an update that arrived at ``now`` (seconds)."""
        for endpoint in update.endpoints:
            self._merge(endpoint, now)
        if update.full:
            self._mark_unlisted(update.endpoints, now)
            self._seeded = self._seeded or bool(update.endpoints)

    def usable(self, service: str, now: float) -> tuple[EndpointEntry, ...]:
        """Return the endpoints of ``service`` that may take new work at ``now``.

        Endpoints left out of a full update come after their grace only if there is no other.
        """
        cached = self._usable.get(service)
        if cached is None or now >= cached.until:
            cached = self._compute_usable(service, now)
            self._usable[service] = cached
        return cached.entries

    def retire(self, key: EndpointKey, incarnation: int) -> bool:
        """Take no more work to this incarnation; return whether that is news."""
        if self._retired.get(key, -1) >= incarnation:
            return False
        _remember(self._retired, key, incarnation)
        entry = self._services.get(key.service, {}).get(key.instance)
        if entry is not None and entry.incarnation <= incarnation:
            self._store(replace(entry, draining=True))
        return True

    def by_hash(self, number: int) -> EndpointKey | None:
        """Return the endpoint whose load is told under this number, if it is known."""
        return self._by_hash.get(number)

    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all known endpoints, leaving ones included."""
        return frozenset(
            entry.address for entries in self._services.values() for entry in entries.values()
        )

    def keys(self) -> frozenset[EndpointKey]:
        """Return the keys of all known endpoints."""
        return frozenset(
            entry.key for entries in self._services.values() for entry in entries.values()
        )

    def _merge(self, endpoint: Endpoint, now: float) -> None:
        key = EndpointKey(endpoint.service, endpoint.instance)
        held = self._services.get(key.service, {}).get(key.instance)
        if endpoint.state == ENDPOINT_STATE_DRAINING:
            self.retire(key, endpoint.incarnation)
        age = (endpoint.incarnation, endpoint.sequence)
        if held is not None and age < (held.incarnation, held.sequence):
            return
        gone_at = self._gone.get(key, NEVER)
        if endpoint.state == ENDPOINT_STATE_GONE:
            _remember(self._gone, key, max(gone_at, age))
            self._remove(key)
            return
        if age <= gone_at:
            return
        self._store(self._entry(endpoint, key, held, now))

    def _entry(
        self, endpoint: Endpoint, key: EndpointKey, held: EndpointEntry | None, now: float
    ) -> EndpointEntry:
        cold_since = now if self._seeded else ALWAYS_WARM
        if held is not None and held.incarnation == endpoint.incarnation:
            cold_since = held.cold_since
        retired = self._retired.get(key, -1) >= endpoint.incarnation
        return EndpointEntry(
            key=key,
            zone=endpoint.zone,
            incarnation=endpoint.incarnation,
            sequence=endpoint.sequence,
            address=Address(endpoint.host, endpoint.port),
            slots=max(1, endpoint.slots),
            draining=retired or endpoint.state == ENDPOINT_STATE_DRAINING,
            cold_since=cold_since,
            reported_load=endpoint.in_flight,
            reported_at=now,
            version=endpoint.version,
        )

    def _mark_unlisted(self, listed: Iterable[Endpoint], now: float) -> None:
        names = {EndpointKey(endpoint.service, endpoint.instance) for endpoint in listed}
        for entries in self._services.values():
            for entry in tuple(entries.values()):
                if entry.key not in names and entry.unlisted_since is None:
                    self._store(replace(entry, unlisted_since=now))

    def _compute_usable(self, service: str, now: float) -> _Usable:
        ready = [e for e in self._services.get(service, {}).values() if not e.draining]
        in_grace = [e for e in ready if _grace_end(e) > now]
        if not in_grace:
            return _Usable(tuple(ready), math.inf)
        return _Usable(tuple(in_grace), min(_grace_end(entry) for entry in in_grace))

    def _store(self, entry: EndpointEntry) -> None:
        key = entry.key
        self._services.setdefault(key.service, {})[key.instance] = entry
        self._by_hash[endpoint_hash(key.service, key.instance)] = key
        self._usable.pop(entry.key.service, None)

    def _remove(self, key: EndpointKey) -> None:
        self._services.get(key.service, {}).pop(key.instance, None)
        self._by_hash.pop(endpoint_hash(key.service, key.instance), None)
        self._usable.pop(key.service, None)


def _remember(memory: OrderedDict[EndpointKey, ValueT], key: EndpointKey, value: ValueT) -> None:
    """Note a value for ``key`` and drop the oldest past the limit."""
    memory[key] = value
    memory.move_to_end(key)
    while len(memory) > RETIRED_LIMIT:
        memory.popitem(last=False)


def _grace_end(entry: EndpointEntry) -> float:
    if entry.unlisted_since is None:
        return math.inf
    return entry.unlisted_since + UNLISTED_GRACE
