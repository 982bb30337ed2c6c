"""Balances load: of a few random endpoints, picks the one with the lowest expected latency.

The expected latency follows from the proxy's own calls in flight, from the reported load of other
proxies, which loses weight with age, and from the endpoint's capacity, which is reduced during slow
start. Endpoints in the proxy's own zone are preferred until they are full. A minimum fraction of a
service's endpoints stays in use: if too many are ejected, those whose ejection ends soonest are
used as well.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Container, Sequence

from msgspec import Struct

from limelever.proxy.endpoints import EndpointEntry, EndpointKey
from limelever.proxy.health import EndpointHealth, HealthSettings, Verdict
from limelever.proxy.latency_averages import LatencyAverages
from limelever.proxy.limited_endpoints import LimitedEndpoints
from limelever.proxy.region_spill import NO_LIMIT, RegionSpill, RegionSplit, RegionSplitter
from limelever.proxy.region_usage import Place
from limelever.proxy.slowdown_factors import SlowdownFactors
from limelever.proxy.warming_endpoints import WarmingEndpoints
from limelever.proxy.zone_loads import ZoneLoads

FULL_LOAD_SLOWDOWN = 0.3
"""Slowdown of calls at an endpoint with all slots in use, as a fraction of their time."""

SAMPLE_SIZE = 12
"""Endpoints sampled to find ``choices`` eligible ones; with too few, all are considered."""

_NO_EXCLUSIONS: frozenset[EndpointKey] = frozenset()


class BalancerSettings(Struct, frozen=True):
    """How endpoints are compared; times in seconds.

    ``spill_load`` is the load per slot from which a local endpoint counts as full.
    ``ejection_floor`` is the fraction of a service's endpoints that always stays in use.
    ``initial_capacity`` is the fraction of its slots that a cold endpoint starts with.
    ``max_reported_load`` caps reported loads, as a multiple of the slots; with 2, an instance with
    50 calls at 12 slots appeared half as loaded as it was. ``choices`` is how many endpoints are
    compared. ``small_call_slack`` is the fraction of its latency budget by which a small call may
    be slower to stay in its zone.
    """

    zone: str = ""
    region: str = ""
    spill_load: float = 1.0
    ejection_floor: float = 0.5
    slow_start: float = 10.0
    initial_capacity: float = 0.1
    load_half_life: float = 2.0
    max_reported_load: float = 5.0
    choices: int = 3
    small_call_slack: float = 0.15


class _LocalEndpoints(Struct):
    """Cached endpoints of the proxy's own zone, valid for the same ``usable`` sequence."""

    usable: Sequence[EndpointEntry]
    local: tuple[EndpointEntry, ...]


class _PickRequest(Struct, frozen=True):
    """What a call requires of its endpoint; times in seconds, see :meth:`Balancer.pick`.

    ``zone_load`` is the mean reported load of the endpoints in the proxy's own zone.
    ``spans_regions`` tells that endpoints of several regions are compared.
    """

    route: str
    slow_start: float
    now: float
    local_budget: float
    small: bool
    zone_load: float
    spans_regions: bool


class Balancer:
    """Chooses endpoints and tracks their health as this proxy observes it."""

    def __init__(
        self,
        settings: BalancerSettings,
        health_settings: HealthSettings,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._health_settings = health_settings
        self._random = random_source
        self._health: dict[EndpointKey, EndpointHealth] = {}
        self._ejected: dict[str, set[EndpointKey]] = {}
        self._local: dict[str, _LocalEndpoints] = {}
        self._averages = LatencyAverages()
        self._zone_loads = ZoneLoads()
        self._slowdowns = SlowdownFactors()
        self._regions = RegionSplitter(settings.region)
        self.warming = WarmingEndpoints()
        self.limited = LimitedEndpoints()

    def pick(
        self,
        usable: Sequence[EndpointEntry],
        now: float,
        excluded: Collection[EndpointKey] = _NO_EXCLUSIONS,
        slow_start: float = 0.0,
        local_budget: float = 0.0,
        route: str = "",
        small: bool = False,
        spill: RegionSpill = NO_LIMIT,
    ) -> EndpointEntry | None:
        """Return the endpoint for a new attempt, or ``None`` if no usable one remains.

        ``route`` selects the service times that are compared. ``slow_start`` is the service's
        ramp-up time in seconds; 0 stands for the default. An endpoint in the proxy's own zone is
        preferred while it has a free slot, or if its answer is expected within ``local_budget``
        seconds, to save traffic between zones. A ``small`` call saves little of it, and stays in
        its zone only if its answer is later by at most ``small_call_slack`` of the budget.
        ``spill`` decides whether the call leaves the proxy's region.
        A warming endpoint, or one whose limit has no room for a call of this proxy, is used only if
        no other one can respond in time.
        """
        if not usable:
            return None
        effective_slow_start = slow_start or self._settings.slow_start
        zone_load = self._mean_zone_load(usable)
        ejected = self._current_ejections(usable[0].key.service, now)
        if len(usable) - len(ejected) < self._floor(usable):
            usable = self._healthy_or_floor(usable, now)
            ejected = set()
        split = self._regions.split(usable)
        if split is not None:
            local_budget = min(local_budget, spill.local_limit)
        request = _PickRequest(
            route, effective_slow_start, now, local_budget, small, zone_load, split is not None
        )
        warming = self.warming.among(usable, now)
        full = self.limited.without_room(usable, now)
        for avoided in _avoided_endpoints(warming, full):
            ready = self._pick(usable, split, {*avoided, *excluded}, ejected, request, spill)
            if ready is not None and self._responds_in_time(ready, request):
                return ready
        return self._pick(usable, split, excluded, ejected, request, spill)

    def _pick(
        self,
        usable: Sequence[EndpointEntry],
        split: RegionSplit | None,
        excluded: Container[EndpointKey],
        ejected: Container[EndpointKey],
        request: _PickRequest,
        spill: RegionSpill,
    ) -> EndpointEntry | None:
        """Return one of the usable endpoints, in the proxy's own region unless the call leaves."""
        if split is None:
            return self._pick_by_zone(usable, usable, excluded, ejected, request)
        near = self._pick_by_zone(split.near, usable, excluded, ejected, request)
        far = self._fastest(self._sample(split.far, excluded, ejected), request)
        if near is None or far is None:
            return near or far
        return far if self._leaves_region(near, far, request, spill) else near

    def _pick_by_zone(
        self,
        entries: Sequence[EndpointEntry],
        usable: Sequence[EndpointEntry],
        excluded: Container[EndpointKey],
        ejected: Container[EndpointKey],
        request: _PickRequest,
    ) -> EndpointEntry | None:
        """Return one of ``entries``, which hold the own zone's endpoints of ``usable``."""
        fastest = self._fastest(self._sample(entries, excluded, ejected), request)
        if fastest is None or self.is_local(fastest):
            return fastest
        local = self._fastest(self._sample(self._local_of(usable), excluded, ejected), request)
        if local is None:
            return fastest
        return local if self._prefers_local(local, fastest, request) else fastest

    def is_local(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is in the proxy's own zone."""
        return entry.zone == self._settings.zone

    def spans_regions(self, usable: Sequence[EndpointEntry]) -> bool:
        """Return whether the endpoints are in the proxy's region and in others."""
        return bool(usable) and self._regions.split(usable) is not None

    def place_of(self, entry: EndpointEntry) -> Place:
        """Return where an endpoint is; ``UNKNOWN`` if the proxy or the endpoint has no region."""
        if not (self._settings.region and entry.region):
            return Place.UNKNOWN
        if self._regions.is_far(entry):
            return Place.OTHER_REGION
        return Place.OWN_ZONE if self.is_local(entry) else Place.OWN_REGION

    def attempt_started(self, key: EndpointKey) -> None:
        """Count one more call of this proxy at the endpoint."""
        self._health_of(key).in_flight += 1

    def attempt_ended(
        self,
        key: EndpointKey,
        verdict: Verdict,
        latency: float,
        now: float,
    ) -> float:
        """Record the end of an attempt; return the seconds of the ejection it caused, or 0.

        An attempt counts as slow compared with the average latency of the endpoint's service.
        """
        health = self._health_of(key)
        health.in_flight -= 1
        baseline = self._averages.latency(key.service)
        if verdict is Verdict.SUCCEEDED:
            self._averages.observe_latency(key.service, latency)
        ejected = health.record(verdict, latency, baseline, now, self._health_settings)
        if ejected:
            self._ejected.setdefault(key.service, set()).add(key)
        return ejected

    def observe_load(
        self, key: EndpointKey, reported: int, now: float, service_time: float = 0.0
    ) -> None:
        """Record the load reported with an answer at ``now``, less this proxy's own calls."""
        health = self._health_of(key)
        if service_time:
            health.service_time = service_time
            self._averages.observe_service_time(service_time)
        health.other_load = max(0, reported - health.in_flight)
        health.load_reported_at = now

    def observe_slowdown(self, key: EndpointKey, permille: int, now: float) -> None:
        """Record how much slower than usual an endpoint works: 1000 is normal, 0 is unknown."""
        self._slowdowns.record(key, permille, now)

    def observe_zone_load(self, key: EndpointKey, load: int, now: float) -> None:
        """Record the load that a relay reported for an endpoint in the proxy's own zone."""
        self._zone_loads.record(key, load)
        self.observe_load(key, load, now)

    def observe_route(self, key: EndpointKey, route: str, seconds: float) -> None:
        """Record how long a call of a route takes at an endpoint, without queueing."""
        self._health_of(key).service_time_by_route[route] = seconds
        self._averages.observe_route(route, seconds)

    def keep_only_routes(self, routes: frozenset[str]) -> None:
        """Drop the service times of all routes but these."""
        self._averages.keep_only_routes(routes)
        for health in self._health.values():
            for name in health.service_time_by_route.keys() - routes:
                del health.service_time_by_route[name]

    def in_flight(self, key: EndpointKey) -> int:
        """Return this proxy's calls in flight at the endpoint."""
        health = self._health.get(key)
        return health.in_flight if health else 0

    def keep_only(self, keys: frozenset[EndpointKey], now: float) -> None:
        """Drop the state of all endpoints but these and those with calls in flight."""
        self.limited.drop_unused(now)
        self._zone_loads.keep_only(keys)
        self.warming.keep_only(keys)
        self._slowdowns.keep_only(keys)
        for key in self._health.keys() - keys:
            if not self._health[key].in_flight:
                del self._health[key]

    def _health_of(self, key: EndpointKey) -> EndpointHealth:
        health = self._health.get(key)
        if health is None:
            health = self._health[key] = EndpointHealth()
        return health

    def _current_ejections(self, service: str, now: float) -> set[EndpointKey]:
        """Return the endpoints of a service that are currently ejected."""
        ejected = self._ejected.get(service)
        if not ejected:
            return set()
        expired = [key for key in ejected if not self._health_of(key).is_ejected(now)]
        ejected.difference_update(expired)
        return ejected

    def _floor(self, usable: Sequence[EndpointEntry]) -> int:
        return math.ceil(len(usable) * self._settings.ejection_floor)

    def _local_of(self, usable: Sequence[EndpointEntry]) -> tuple[EndpointEntry, ...]:
        service = usable[0].key.service
        cached = self._local.get(service)
        if cached is None or cached.usable is not usable:
            local = tuple(entry for entry in usable if self.is_local(entry))
            cached = self._local[service] = _LocalEndpoints(usable, local)
        return cached.local

    def _sample(
        self,
        entries: Sequence[EndpointEntry],
        excluded: Container[EndpointKey],
        ejected: Container[EndpointKey],
    ) -> Sequence[EndpointEntry]:
        """Return a few random endpoints that are neither excluded nor ejected.

        Sampling keeps proxies with the same outdated loads from all choosing one endpoint, and its
        cost does not grow with the number of endpoints.
        """
        choices = self._settings.choices
        sampled: list[EndpointEntry] = []
        if len(entries) > SAMPLE_SIZE:
            for entry in self._random.sample(entries, SAMPLE_SIZE):
                if entry.key not in excluded and entry.key not in ejected:
                    sampled.append(entry)
                    if len(sampled) == choices:
                        return sampled
        remaining = [e for e in entries if e.key not in excluded and e.key not in ejected]
        return self._random.sample(remaining, min(choices, len(remaining)))

    def _healthy_or_floor(self, usable: Sequence[EndpointEntry], now: float) -> list[EndpointEntry]:
        health = self._health
        healthy = [
            e for e in usable if (record := health.get(e.key)) is None or not record.is_ejected(now)
        ]
        floor = self._floor(usable)
        if len(healthy) >= floor:
            return healthy
        ejected = [e for e in usable if self._health_of(e.key).is_ejected(now)]
        ejected.sort(key=lambda entry: self._health_of(entry.key).ejected_until)
        return healthy + ejected[: floor - len(healthy)]

    def _prefers_local(
        self, local: EndpointEntry, fastest: EndpointEntry, request: _PickRequest
    ) -> bool:
        """Return whether the local endpoint is fast enough to be preferred."""
        health = self._health_of(local.key)
        if request.small and health.service_time:
            slack = max(0.0, request.local_budget) * self._settings.small_call_slack
            delay = self._expected_latency(local, request) - self._expected_latency(
                fastest, request
            )
            return delay <= slack
        return self._responds_in_time(local, request)

    def _responds_in_time(self, entry: EndpointEntry, request: _PickRequest) -> bool:
        """Return whether an endpoint has a free slot or is expected to respond in the budget."""
        health = self._health_of(entry.key)
        if self._load(entry, health, request) < self._settings.spill_load:
            return True
        return (
            bool(health.service_time)
            and self._expected_latency(entry, request) <= request.local_budget
        )

    def _leaves_region(
        self, near: EndpointEntry, far: EndpointEntry, request: _PickRequest, spill: RegionSpill
    ) -> bool:
        near_load = self._load(near, self._health_of(near.key), request)
        return spill.leaves(
            self._expected_latency(near, request),
            near_load >= self._settings.spill_load,
            self._expected_latency(far, request),
        )

    def _fastest(
        self, sampled: Sequence[EndpointEntry], request: _PickRequest
    ) -> EndpointEntry | None:
        return min(sampled, key=lambda entry: self._expected_latency(entry, request), default=None)

    def _expected_latency(self, entry: EndpointEntry, request: _PickRequest) -> float:
        """Return the expected latency in seconds of one more call there, including queueing.

        The call queues behind calls of all routes and then takes the service time of its own route.
        Endpoints without a reported service time get the average.
        """
        health = self._health_of(entry.key)
        service_time = health.service_time or self._averages.service_time
        route_time = health.service_time_by_route.get(request.route) or self._averages.route_time(
            request.route
        )
        load = self._load(entry, health, request, 1)
        execution_time = (route_time or service_time) * (1.0 + FULL_LOAD_SLOWDOWN * load)
        baseline = execution_time + service_time * max(0.0, load - 1.0)
        limit_wait = self.limited.wait(entry.run, request.now)
        return baseline * self._slowdowns.factor(entry.key, request.now) + limit_wait

    def _load(
        self, entry: EndpointEntry, health: EndpointHealth, request: _PickRequest, added: int = 0
    ) -> float:
        own = health.in_flight + added
        other = self._other_load(entry, health, request)
        return (own + other) / self._capacity(entry, request.slow_start, request.now)

    def _other_load(
        self, entry: EndpointEntry, health: EndpointHealth, request: _PickRequest
    ) -> float:
        """Return the estimated number of calls of other proxies at the endpoint.

        A reported load loses weight with age. In the proxy's own zone, where loads are reported
        frequently, it decays to zero; elsewhere to the mean load of the proxy's own zone, so that
        an endpoint without recent reports does not count as idle. If there are several regions, it
        counts as full at most: otherwise no zone or region would be tried from an overloaded zone.
        """
        reported, at = health.other_load, health.load_reported_at
        if entry.reported_at > at:
            reported, at = max(0, entry.reported_load - health.in_flight), entry.reported_at
        baseline = 0.0 if self.is_local(entry) else request.zone_load
        if request.spans_regions:
            baseline = min(baseline, entry.slots)
        if not reported and not baseline:
            return 0.0
        capped = min(reported, entry.slots * self._settings.max_reported_load)
        age = max(0.0, request.now - at)
        weight = 0.5 ** (age / self._settings.load_half_life)
        return float(capped * weight + baseline * (1.0 - weight))

    def _mean_zone_load(self, usable: Sequence[EndpointEntry]) -> float:
        local = self._local_of(usable)
        return self._zone_loads.mean(usable[0].key.service, len(local))

    def _capacity(self, entry: EndpointEntry, slow_start: float, now: float) -> float:
        if self.warming.limits(entry.key.service):
            service_time = self._health_of(entry.key).service_time or self._averages.service_time
            return self.warming.capacity(entry, service_time, now)
        age = now - entry.cold_since
        if age >= slow_start:
            return float(entry.slots)
        return entry.slots * max(self._settings.initial_capacity, age / slow_start)


def _avoided_endpoints(
    warming: frozenset[EndpointKey], full: frozenset[EndpointKey]
) -> list[frozenset[EndpointKey]]:
    """Return what to avoid, in turn, as long as another endpoint responds in time.

    A warming endpoint is preferred to one whose limit has no room.
    """
    candidates = (warming | full, full) if full else (warming,)
    return [avoided for avoided in dict.fromkeys(candidates) if avoided]
