"""The proxy's view of the endpoints of the services in its scope.

It is merged from relays' updates, which may be late, duplicated or incomplete. While no relay
answers, the last view stays in use. The highest (incarnation, sequence) wins. An incarnation that
was reported as draining never takes work again, however old that report is. A removed endpoint
returns with a higher revision, because a relay may end the lease of an agent that is still
registered at another relay. An endpoint missing from a full update stays usable for a grace period,
because a relay that has just restarted knows only the agents that have reconnected so far.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container, Iterable
from typing import NamedTuple, TypeVar

from msgspec import Struct
from msgspec.structs import replace

from limelever.common.departed_runs import DepartedRun, DepartedRuns
from limelever.common.instance_runs import InstanceRun
from limelever.common.regions import NO_REGION, NO_REGIONS, Regions
from limelever.common.sansio import Address
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    Endpoint,
    EndpointUpdate,
)

ValueT = TypeVar("ValueT")

UNLISTED_GRACE_SECONDS = 10.0
"""How long an endpoint that is missing from a full update is still used."""

REMEMBERED_ENDPOINTS_LIMIT = 4096
"""Retired incarnations, and removed endpoints, that are remembered so that late updates do not
revive them; the oldest are dropped first."""

_MILLISECONDS = 1000

BEFORE_ANY_REVISION = (-1, -1)
"""A revision lower than any reported one."""

ALREADY_WARM = -math.inf
"""``cold_since`` of endpoints that existed before this proxy started."""


class EndpointKey(NamedTuple):
    """Identifies one back end instance of a service.

    A named tuple, because its hash is computed several times for each call.
    """

    service: str
    instance: str


class EndpointEntry(Struct, frozen=True):
    """State of one endpoint; times in seconds.

    ``version`` is the version of the back end's software, empty if unknown. ``cold_since`` is when
    this incarnation was first seen, or when the drain of its zone ended. ``reported_load`` is the
    number of calls that a relay reported at ``reported_at``. ``unlisted_since`` is when a full
    update first omitted the endpoint. ``region`` is the one that the agent stated, or else the one
    of the zone. ``warm_at`` is when its warm-up ends, as last reported. ``run`` is the run of the
    instance.
    """

    key: EndpointKey
    zone: str
    incarnation: int
    sequence: int
    address: Address
    slots: int
    draining: bool
    cold_since: float
    run: InstanceRun
    reported_load: int = 0
    reported_at: float = 0.0
    unlisted_since: float | None = None
    version: str = ""
    region: str = NO_REGION
    warm_at: float = -math.inf


class _Usable(Struct):
    """Cached usable endpoints of a service; ``valid_until`` in seconds."""

    entries: tuple[EndpointEntry, ...]
    valid_until: float


class EndpointView:
    """Endpoints by service, merged from relays' updates and agents' answers.

    ``regions`` gives the regions of the endpoints whose agents state none.
    """

    def __init__(self, regions: Regions = NO_REGIONS) -> None:
        self._regions = regions
        self._services: dict[str, dict[str, EndpointEntry]] = {}
        self._retired: OrderedDict[EndpointKey, int] = OrderedDict()
        self._removed: OrderedDict[EndpointKey, tuple[int, int]] = OrderedDict()
        self._usable: dict[str, _Usable] = {}
        self._by_hash: dict[int, EndpointKey] = {}
        self._departed = DepartedRuns()
        self._is_seeded = False

    def apply(self, update: EndpointUpdate, now: float) -> None:
        """Merge an update that arrived at ``now`` (seconds)."""
        for endpoint in update.endpoints:
            self._merge(endpoint, now)
        if update.full:
            self._mark_unlisted(update.endpoints, now)
            self._is_seeded = self._is_seeded or bool(update.endpoints)

    def usable(self, service: str, now: float) -> tuple[EndpointEntry, ...]:
        """Return the endpoints of ``service`` that may take new work at ``now``.

        Endpoints missing from a full update for longer than the grace period are returned only if
        there are no others.
        """
        cached = self._usable.get(service)
        if cached is None or now >= cached.valid_until:
            cached = self._compute_usable(service, now)
            self._usable[service] = cached
        return cached.entries

    def retire(self, key: EndpointKey, incarnation: int) -> bool:
        """Send no more work to this incarnation; return ``False`` if it was retired before."""
        if self._retired.get(key, -1) >= incarnation:
            return False
        _remember(self._retired, key, incarnation)
        entry = self._services.get(key.service, {}).get(key.instance)
        if entry is not None and entry.incarnation <= incarnation:
            self._store(replace(entry, draining=True))
        return True

    def retire_run(self, run: InstanceRun) -> bool:
        """Send no more work to a run that is leaving, by whichever agent.

        Return ``False`` if it was retired before.
        """
        if not self._departed.add(DepartedRun(run.instance, run.started_at_ms)):
            return False
        for entry in tuple(self._services.get(run.service, {}).values()):
            if entry.run.is_same(run):
                self._store(replace(entry, draining=True))
        return True

    def restart_ramps(self, zones: Container[str], now: float) -> None:
        """Treat the endpoints of ``zones`` as new: they may have turned cold without calls."""
        for entries in self._services.values():
            for entry in tuple(entries.values()):
                if entry.zone in zones:
                    self._store(replace(entry, cold_since=now))

    def by_hash(self, hash_value: int) -> EndpointKey | None:
        """Return the endpoint with this hash, if it is known."""
        return self._by_hash.get(hash_value)

    def hashes_at(self, addresses: Container[Address]) -> list[int]:
        """Return the hashes of the endpoints at any of these addresses."""
        entries = (e for instances in self._services.values() for e in instances.values())
        return [endpoint_hash(*entry.key) for entry in entries if entry.address in addresses]

    def addresses(self) -> frozenset[Address]:
        """Return the addresses of all known endpoints, including draining ones."""
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
        known = self._services.get(key.service, {}).get(key.instance)
        if endpoint.state == ENDPOINT_STATE_DRAINING:
            self.retire(key, endpoint.incarnation)
        if endpoint.leaving:
            self.retire_run(InstanceRun.of(endpoint))
        revision = (endpoint.incarnation, endpoint.sequence)
        if known is not None and revision < (known.incarnation, known.sequence):
            return
        removed_revision = self._removed.get(key, BEFORE_ANY_REVISION)
        if endpoint.state == ENDPOINT_STATE_GONE:
            _remember(self._removed, key, max(removed_revision, revision))
            self._remove(key)
            return
        if revision <= removed_revision:
            return
        self._store(self._entry(endpoint, key, known, now))

    def _entry(
        self, endpoint: Endpoint, key: EndpointKey, known: EndpointEntry | None, now: float
    ) -> EndpointEntry:
        cold_since = now if self._is_seeded else ALREADY_WARM
        if known is not None and known.incarnation == endpoint.incarnation:
            cold_since = known.cold_since
        run = InstanceRun.of(endpoint)
        leaving = self._departed.has(run.instance, run.started_at_ms)
        retired = leaving or self._retired.get(key, -1) >= endpoint.incarnation
        return EndpointEntry(
            key=key,
            zone=endpoint.zone,
            incarnation=endpoint.incarnation,
            sequence=endpoint.sequence,
            address=Address(endpoint.host, endpoint.port),
            slots=max(1, endpoint.slots),
            draining=retired or endpoint.state == ENDPOINT_STATE_DRAINING,
            cold_since=cold_since,
            run=run,
            reported_load=endpoint.in_flight,
            reported_at=now,
            version=endpoint.version,
            region=self._regions.of_endpoint(endpoint.region, endpoint.zone),
            warm_at=_warm_at(endpoint.warm_up_left_ms, now),
        )

    def _mark_unlisted(self, listed: Iterable[Endpoint], now: float) -> None:
        names = {EndpointKey(endpoint.service, endpoint.instance) for endpoint in listed}
        for entries in self._services.values():
            for entry in tuple(entries.values()):
                if entry.key not in names and entry.unlisted_since is None:
                    self._store(replace(entry, unlisted_since=now))

    def _compute_usable(self, service: str, now: float) -> _Usable:
        accepting = [e for e in self._services.get(service, {}).values() if not e.draining]
        preferred = [e for e in accepting if _grace_end(e) > now]
        if not preferred:
            return _Usable(tuple(accepting), math.inf)
        return _Usable(tuple(preferred), min(_grace_end(entry) for entry in preferred))

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
    """Store a value for ``key`` and drop the oldest entries beyond the limit."""
    memory[key] = value
    memory.move_to_end(key)
    while len(memory) > REMEMBERED_ENDPOINTS_LIMIT:
        memory.popitem(last=False)


def _grace_end(entry: EndpointEntry) -> float:
    if entry.unlisted_since is None:
        return math.inf
    return entry.unlisted_since + UNLISTED_GRACE_SECONDS


def _warm_at(left_ms: int, now: float) -> float:
    return now + left_ms / _MILLISECONDS if left_ms else -math.inf
