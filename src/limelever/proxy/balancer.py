"""Picks the endpoint for an attempt: a few random choices, the earliest expected answer wins.

Own calls in flight count in full, the reported load of others fades with its age, and a cold
endpoint counts with a part of its slots. The proxy's own zone comes first and spills over when
it is short. Ejection leaves a floor: when too few would be left, the ejected endpoints that
return soonest are used all the same.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container, Sequence

from msgspec import Struct

from limelever.proxy.endpoints import EndpointEntry, EndpointKey
from limelever.proxy.health import EndpointHealth, HealthSettings, Verdict
from limelever.proxy.paces import Paces
from limelever.proxy.usual_times import UsualTimes
from limelever.proxy.zone_loads import ZoneLoads

NEAR_FULL_SLOWDOWN = 0.3
"""Part by which a call takes longer at a full endpoint than at an idle one."""

DRAWS = 12
"""Draws for the few that are compared; where more are left out, all endpoints are looked at."""

_NOTHING_EXCLUDED: frozenset[EndpointKey] = frozenset()


class BalancerSettings(Struct, frozen=True):
    """How endpoints are compared; times in seconds.

    ``spill_load`` is the load per slot from which a local endpoint counts as full,
    ``ejection_floor`` the part of a set that is never ejected, ``cold_part`` the part of its
    slots with which a cold endpoint begins, and ``foreign_load_limit`` the most that a report
    may claim, in times of the slots (5: at 2, an instance with 50 calls at 12 slots looked half as
    loaded as it was). ``choices`` is how many endpoints are compared. ``light_part``
    is the part of its spare time by which a light call may be later for its zone's sake.
    """

    zone: str = ""
    spill_load: float = 1.0
    ejection_floor: float = 0.5
    slow_start: float = 10.0
    cold_part: float = 0.1
    load_half_life: float = 2.0
    foreign_load_limit: float = 5.0
    choices: int = 3
    light_part: float = 0.15


class _LocalEndpoints(Struct):
    """The usable endpoints of a service that are in the own zone, kept while ``of`` stands."""

    of: Sequence[EndpointEntry]
    local: tuple[EndpointEntry, ...]


class _Asked(Struct, frozen=True):
    """What a call asks of an endpoint; times in seconds, see :meth:`Balancer.pick`."""

    route: str
    ramp: float
    now: float
    local_within: float
    light: bool
    usual_load: float


class Balancer:
    """Chooses endpoints and keeps the proxy's own health view of them."""

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
        self._usual = UsualTimes()
        self._zone_loads = ZoneLoads()
        self._paces = Paces()

    def pick(
        self,
        usable: Sequence[EndpointEntry],
        now: float,
        excluded: Container[EndpointKey] = _NOTHING_EXCLUDED,
        slow_start: float = 0.0,
        local_within: float = 0.0,
        route: str = "",
        light: bool = False,
    ) -> EndpointEntry | None:
        """Return the endpoint for a new attempt, or ``None`` when no usable one is left.

        ``route`` is the call's: its calls may take another time than those of other routes.
        ``slow_start`` is the service's ramp in seconds; 0 stands for the default. An endpoint of
        the own zone is preferred while it has a slot free, and a full one if its answer is expected
        within ``local_within`` seconds: time that the call can spare costs less than bytes between
        zones. A ``light`` call moves so few that it is kept in its zone only by an answer that is
        hardly later than elsewhere.
        """
        if not usable:
            return None
        ramp = slow_start or self._settings.slow_start
        usual_load = self._usual_load(usable)
        asked = _Asked(route, ramp, now, local_within, light, usual_load)
        ejected = self._ejected_now(usable[0].key.service, now)
        if len(usable) - len(ejected) < self._floor(usable):
            usable = self._healthy(usable, now)
            ejected = set()
        earliest = self._earliest(self._draw(usable, excluded, ejected), asked)
        if earliest is None or self.is_local(earliest):
            return earliest
        own = self._earliest(self._draw(self._local_of(usable), excluded, ejected), asked)
        if own is None:
            return earliest
        return own if self._keeps_up(own, earliest, asked) else earliest

    def is_local(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is in the proxy's own zone."""
        return entry.zone == self._settings.zone

    def attempt_started(self, key: EndpointKey) -> None:
        """Count one more own call at the endpoint."""
        self._health_of(key).in_flight += 1

    def attempt_ended(
        self,
        key: EndpointKey,
        verdict: Verdict,
        latency: float,
        now: float,
    ) -> float:
        """Take the end of an attempt; return the seconds of an ejection it caused, or 0.

        Slowness is measured against what is usual for the endpoint's service.
        """
        health = self._health_of(key)
        health.in_flight -= 1
        usual = self._usual.latency(key.service)
        if verdict is Verdict.SUCCEEDED:
            self._usual.observe_latency(key.service, latency)
        ejected = health.record(verdict, latency, usual, now, self._health_settings)
        if ejected:
            self._ejected.setdefault(key.service, set()).add(key)
        return ejected

    def observe_load(
        self, key: EndpointKey, reported: int, now: float, service_time: float = 0.0
    ) -> None:
        """Take the load that came with an answer at ``now``; own calls are not counted twice."""
        health = self._health_of(key)
        if service_time:
            health.service_time = service_time
            self._usual.observe_service_time(service_time)
        health.foreign_load = max(0, reported - health.in_flight)
        health.load_at = now

    def observe_pace(self, key: EndpointKey, permille: int, now: float) -> None:
        """Take how long work takes at the endpoint now, 1000 as usual; 0 is no news."""
        self._paces.told(key, permille, now)

    def observe_zone_load(self, key: EndpointKey, load: int, now: float) -> None:
        """Take a load that a relay told of an endpoint in the own zone."""
        self._zone_loads.told(key, load)
        self.observe_load(key, load, now)

    def observe_route(self, key: EndpointKey, route: str, seconds: float) -> None:
        """Take how long a call of a route takes at an endpoint, without waiting."""
        self._health_of(key).time_by_route[route] = seconds
        self._usual.observe_route(route, seconds)

    def keep_routes(self, routes: frozenset[str]) -> None:
        """Forget what is known of routes that are gone."""
        self._usual.keep_routes(routes)
        for health in self._health.values():
            for name in health.time_by_route.keys() - routes:
                del health.time_by_route[name]

    def in_flight(self, key: EndpointKey) -> int:
        """Return own calls in flight at the endpoint."""
        health = self._health.get(key)
        return health.in_flight if health else 0

    def keep_only(self, keys: frozenset[EndpointKey]) -> None:
        """Forget endpoints that are gone and have no call in flight."""
        self._zone_loads.keep_only(keys)
        self._paces.keep_only(keys)
        for key in self._health.keys() - keys:
            if not self._health[key].in_flight:
                del self._health[key]

    def _health_of(self, key: EndpointKey) -> EndpointHealth:
        health = self._health.get(key)
        if health is None:
            health = self._health[key] = EndpointHealth()
        return health

    def _ejected_now(self, service: str, now: float) -> set[EndpointKey]:
        """Return the endpoints of a service that are left out now; few, as a rule."""
        ejected = self._ejected.get(service)
        if not ejected:
            return set()
        over = [key for key in ejected if not self._health_of(key).is_ejected(now)]
        ejected.difference_update(over)
        return ejected

    def _floor(self, usable: Sequence[EndpointEntry]) -> int:
        return math.ceil(len(usable) * self._settings.ejection_floor)

    def _local_of(self, usable: Sequence[EndpointEntry]) -> tuple[EndpointEntry, ...]:
        service = usable[0].key.service
        known = self._local.get(service)
        if known is None or known.of is not usable:
            local = tuple(entry for entry in usable if self.is_local(entry))
            known = self._local[service] = _LocalEndpoints(usable, local)
        return known.local

    def _draw(
        self,
        entries: Sequence[EndpointEntry],
        excluded: Container[EndpointKey],
        ejected: Container[EndpointKey],
    ) -> Sequence[EndpointEntry]:
        """Draw a few, so that proxies with the same old news do not all choose one endpoint.

        All that are left, where they are few; the time doesn't grow with their number otherwise
        (12 us from 75 to 1,000 endpoints; a look at all took 121 us at 120, in one process).
        """
        choices = self._settings.choices
        drawn: list[EndpointEntry] = []
        if len(entries) > DRAWS:
            for entry in self._random.sample(entries, DRAWS):
                if entry.key not in excluded and entry.key not in ejected:
                    drawn.append(entry)
                    if len(drawn) == choices:
                        return drawn
        left = [e for e in entries if e.key not in excluded and e.key not in ejected]
        return self._random.sample(left, min(choices, len(left)))

    def _healthy(self, usable: Sequence[EndpointEntry], now: float) -> list[EndpointEntry]:
        health = self._health
        healthy = [
            e for e in usable if (known := health.get(e.key)) is None or not known.is_ejected(now)
        ]
        floor = self._floor(usable)
        if len(healthy) >= floor:
            return healthy
        ejected = [e for e in usable if self._health_of(e.key).is_ejected(now)]
        ejected.sort(key=lambda entry: self._health_of(entry.key).ejected_until)
        return healthy + ejected[: floor - len(healthy)]

    def _keeps_up(self, own: EndpointEntry, earliest: EndpointEntry, asked: _Asked) -> bool:
        """Return whether the own zone's endpoint answers soon enough to be preferred."""
        health = self._health_of(own.key)
        if asked.light and health.service_time:
            spare = max(0.0, asked.local_within) * self._settings.light_part
            later = self._expected_time(own, asked) - self._expected_time(earliest, asked)
            return later <= spare
        if self._load(own, health, asked) < self._settings.spill_load:
            return True
        return bool(health.service_time) and self._expected_time(own, asked) <= asked.local_within

    def _earliest(self, drawn: Sequence[EndpointEntry], asked: _Asked) -> EndpointEntry | None:
        return min(drawn, key=lambda entry: self._expected_time(entry, asked), default=None)

    def _expected_time(self, entry: EndpointEntry, asked: _Asked) -> float:
        """Return how long a further call would take there, waiting included, in seconds.

        It waits for calls of all routes, and then takes the time of its own. Where no endpoint has
        told how long its calls take, all count alike.
        """
        health = self._health_of(entry.key)
        service_time = health.service_time or self._usual.service_time
        own_time = health.time_by_route.get(asked.route) or self._usual.of_route(asked.route)
        used = self._load(entry, health, asked, 1)
        running = (own_time or service_time) * (1.0 + NEAR_FULL_SLOWDOWN * used)
        usual = running + service_time * max(0.0, used - 1.0)
        return usual * self._paces.factor(entry.key, asked.now)

    def _load(
        self, entry: EndpointEntry, health: EndpointHealth, asked: _Asked, added: int = 0
    ) -> float:
        own = health.in_flight + added
        foreign = self._foreign_load(entry, health, asked)
        return (own + foreign) / self._capacity(entry, asked.ramp, asked.now)

    def _foreign_load(self, entry: EndpointEntry, health: EndpointHealth, asked: _Asked) -> float:
        """Return the calls of other proxies there, as far as they are known.

        News fades with its age. What takes its place is nothing in the own zone, whose loads are
        told anew while there are any, and elsewhere the mean of the own zone: an endpoint of which
        nothing is known isn't idle for that.
        """
        claimed, at = health.foreign_load, health.load_at
        if entry.reported_at > at:
            claimed, at = max(0, entry.reported_load - health.in_flight), entry.reported_at
        usual = 0.0 if self.is_local(entry) else asked.usual_load
        if not claimed and not usual:
            return 0.0
        believed = min(claimed, entry.slots * self._settings.foreign_load_limit)
        age = max(0.0, asked.now - at)
        news = 0.5 ** (age / self._settings.load_half_life)
        return float(believed * news + usual * (1.0 - news))

    def _usual_load(self, usable: Sequence[EndpointEntry]) -> float:
        local = self._local_of(usable)
        return self._zone_loads.mean(usable[0].key.service, len(local))

    def _capacity(self, entry: EndpointEntry, ramp: float, now: float) -> float:
        age = now - entry.cold_since
        if age >= ramp:
            return float(entry.slots)
        return entry.slots * max(self._settings.cold_part, age / ramp)
