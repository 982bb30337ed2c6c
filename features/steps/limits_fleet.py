"""Proxies and relays that keep limits together, in a small network under virtual time.

Links carry messages in order; a lost one comes later, by its being sent again. A cut swallows
messages, and both ends begin anew after it. Nothing but the shipped decisions is run.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from limelever.common.sansio import LogEvent, SendMessage
from limelever.limits.rules import Limit, LimitRules
from limelever.limits.tenant_hash import tenant_hash
from limelever.protocol.limits_pb2 import LimitNews, TenantUse
from limelever.proxy.tenant_limits import TenantLimits
from limelever.proxy.tenants import TenantEntry
from limelever.relay.limit_board import LimitBoard

STEP = 0.01
"""Seconds between two looks at timers; calls come at any time in between."""

ZONES = "abc"
RELAY_ZONES = "aabbc"


@dataclass
class Relay:
    name: str
    zone: str
    board: LimitBoard
    down: bool = False


@dataclass
class Proxy:
    name: str
    zone: str
    limits: TenantLimits
    relay: Relay | None = None
    joins_at: float = 0.0


@dataclass
class Tenant:
    """``usual`` and what it sends now in calls a second; weights are of the zones."""

    entry: TenantEntry
    usual: float
    sends: float
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    by: Proxy | None = None
    bucket: float = 0.0
    filled_at: float = 0.0
    owed: list[float] = field(default_factory=list)
    admitted: list[float] = field(default_factory=list)
    asked: deque[float] = field(default_factory=deque)
    refused_at: list[float] = field(default_factory=list)
    wronged: int = 0

    @property
    def refused(self) -> int:
        return len(self.refused_at)

    def ask(self, now: float) -> None:
        """Note whether a call is owed: one bucket that knew of all calls would let it in."""
        earned = self.entry.rate * (now - self.filled_at)
        self.bucket = min(self.entry.burst, self.bucket + earned)
        self.filled_at = now
        if self.bucket >= 1:
            self.bucket -= 1
            self.owed.append(now)

    def forget(self) -> None:
        self.admitted.clear()
        self.refused_at.clear()
        self.wronged = 0

    def limit_to(self, rate: float, burst: float) -> None:
        self.entry = TenantEntry(self.entry.name, 0, rate, burst)


@dataclass
class Traffic:
    messages: int = 0
    bytes: int = 0
    zone_bytes: int = 0


class LimitsFleet:
    def __init__(
        self,
        seed: int,
        tenants: Mapping[str, float],
        proxies: int = 60,
        over_usual: float = 1.6,
        make: Callable[[LimitRules, random.Random], TenantLimits] = TenantLimits,
        make_board: Callable[[LimitRules], LimitBoard] = LimitBoard,
    ) -> None:
        self.random = random.Random(seed)
        self.rules = LimitRules()
        self.now = 1000.0
        self.delay, self.loss = 0.002, 0.0
        self.cuts: set[frozenset[str]] = set()
        self.traffic = Traffic()
        self.logs: list[int] = []
        self._make, self._make_board = make, make_board
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._arrives: dict[tuple[str, str], float] = {}
        self.tenants = {
            name: Tenant(TenantEntry(name, 0, usual * over_usual, usual * over_usual), usual, usual)
            for name, usual in tenants.items()
        }
        self.relays = [
            Relay(f"relay-{number}", zone, make_board(self.rules))
            for number, zone in enumerate(RELAY_ZONES)
        ]
        self.proxies = [
            Proxy(f"proxy-{n}", ZONES[n % 3], make(self.rules, self.random)) for n in range(proxies)
        ]
        self.set_limits()
        for one, other in itertools.permutations(self.relays, 2):
            self._relays_join(one, other)

    # --- what happens ----------------------------------------------------------------------

    def set_limits(self) -> None:
        for relay in self.relays:
            self._configure_relay(relay)
        for proxy in self.proxies:
            self._configure_proxy(proxy)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._deliver()
            for proxy in self.proxies:
                self._proxy_turn(proxy)
            for relay in self.relays:
                self._relay_turn(relay)
            self._calls()

    def kill_relay(self, relay: Relay) -> None:
        relay.down = True
        relay.board = self._make_board(self.rules)
        for proxy in self.proxies:
            if proxy.relay is relay:
                self._leave(proxy, 0.05 + self.random.random())
        for other in self.relays:
            other.board.relay_lost(relay.name)
            other.board.leave(self._link(relay, other))

    def start_relay(self, relay: Relay) -> None:
        relay.down = False
        self._configure_relay(relay)
        for other in self.relays:
            if other is not relay and not other.down:
                self._relays_join(relay, other)
                self._relays_join(other, relay)

    def restart_proxy(self, proxy: Proxy) -> None:
        self._leave(proxy, 0.3)
        proxy.limits = self._make(self.rules, self.random)
        self._configure_proxy(proxy)

    def cut(self, one: str, other: str) -> None:
        """Let nothing more through between two machines, without a word."""
        self.cuts.add(frozenset((one, other)))

    def mend(self) -> None:
        cuts, self.cuts = self.cuts, set()
        for one, other in itertools.permutations(self.relays, 2):
            if frozenset((one.name, other.name)) in cuts and not (one.down or other.down):
                one.board.relay_lost(other.name)
                self._relays_join(one, other)
        for proxy in self.proxies:
            if proxy.relay is not None and frozenset((proxy.name, proxy.relay.name)) in cuts:
                self._leave(proxy, self.random.random())

    # --- what is found ---------------------------------------------------------------------

    def most_in_a_window(self, tenant: Tenant, since: float = 0.0) -> int:
        window: deque[float] = deque()
        most = 0
        for at in tenant.admitted:
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - self.rules.window:
                window.popleft()
            most = max(most, len(window))
        return most

    def over_the_bound(self, tenant: Tenant, since: float = 0.0) -> float:
        """Return by how many calls the bound was passed at the worst; under 0 if it was kept."""
        limit = Limit(tenant.entry.rate, tenant.entry.burst)
        return self.most_in_a_window(tenant, since) - self.rules.most(limit)

    # --- how it goes on --------------------------------------------------------------------

    def _configure_relay(self, relay: Relay) -> None:
        limits = {
            tenant_hash(name): Limit(each.entry.rate, each.entry.burst)
            for name, each in self.tenants.items()
            if each.entry.rate
        }
        relay.board.set_limits(limits, self.now + self.random.random() * 0.1)

    def _configure_proxy(self, proxy: Proxy) -> None:
        proxy.limits.set_tenants({name: each.entry for name, each in self.tenants.items()})
        proxy.limits.set_node_count(len(self.proxies))

    def _link(self, one: Relay | Proxy, other: Relay) -> int:
        return tenant_hash(f"{one.name} {other.name}")

    def _leave(self, proxy: Proxy, pause: float) -> None:
        if proxy.relay is not None:
            proxy.relay.board.leave(self._link(proxy, proxy.relay))
        proxy.relay = None
        proxy.joins_at = self.now + pause

    def _relays_join(self, listener: Relay, teller: Relay) -> None:
        outputs = teller.board.join_relay(self._link(listener, teller), self.now)
        self._carry(teller, outputs)

    def _proxy_turn(self, proxy: Proxy) -> None:
        if proxy.relay is None and self.now >= proxy.joins_at:
            self._join(proxy)
        use = proxy.limits.report(self.now)
        if use is not None and proxy.relay is not None:
            self._send_up(proxy, proxy.relay, use)

    def _join(self, proxy: Proxy) -> None:
        usable = [
            relay
            for relay in self.relays
            if not relay.down and frozenset((proxy.name, relay.name)) not in self.cuts
        ]
        if not usable:
            proxy.joins_at = self.now + 0.4
            return
        relay = proxy.relay = self.random.choice(self._near(proxy, usable))
        relay.board.join(self._link(proxy, relay), proxy.name)
        use = proxy.limits.full_report(self.now)
        if use is not None:
            self._send_up(proxy, relay, use)

    def _near(self, proxy: Proxy, usable: list[Relay]) -> list[Relay]:
        return [relay for relay in usable if relay.zone == proxy.zone] or usable

    def _send_up(self, proxy: Proxy, relay: Relay, use: TenantUse) -> None:
        link = self._link(proxy, relay)

        def arrive() -> None:
            if not relay.down:
                relay.board.from_proxy(link, use, self.now)

        self._send(proxy, relay, use.ByteSize(), arrive)

    def _relay_turn(self, relay: Relay) -> None:
        if not relay.down and relay.board.next_at is not None and self.now >= relay.board.next_at:
            self._carry(relay, relay.board.on_deadline(self.now))

    def _carry(self, relay: Relay, outputs: list) -> None:
        self.logs.extend(each.code for each in outputs if isinstance(each, LogEvent))
        sent = [output for output in outputs if isinstance(output, SendMessage)]
        for output in sent:
            if isinstance(output.message, LimitNews):
                self._news(relay, output.connection, output.message)
            else:
                self._sums(relay, output.connection, output.message)

    def _news(self, relay: Relay, link: int, news: LimitNews) -> None:
        for proxy in self.proxies:
            if proxy.relay is relay and self._link(proxy, relay) == link:
                self._send(relay, proxy, news.ByteSize(), self._take(proxy, relay, news))

    def _take(self, proxy: Proxy, relay: Relay, news: LimitNews) -> Callable[[], None]:
        def arrive() -> None:
            if proxy.relay is relay:
                proxy.limits.apply_news(news, self.now)

        return arrive

    def _sums(self, relay: Relay, link: int, use: TenantUse) -> None:
        for other in self.relays:
            if not other.down and self._link(other, relay) == link:
                self._send(relay, other, use.ByteSize(), self._hear(other, relay, use))

    def _hear(self, other: Relay, relay: Relay, use: TenantUse) -> Callable[[], None]:
        board = other.board

        def arrive() -> None:
            if not relay.down and other.board is board:
                board.from_relay(relay.name, use, self.now)

        return arrive

    def _send(
        self, one: Proxy | Relay, other: Proxy | Relay, size: int, arrive: Callable[[], None]
    ) -> None:
        self.traffic.messages += 1
        self.traffic.bytes += size
        self.traffic.zone_bytes += size if one.zone != other.zone else 0
        if frozenset((one.name, other.name)) in self.cuts:
            return
        way = (one.name, other.name)
        late = 0.2 if self.random.random() < self.loss else 0.0
        at = max(self._arrives.get(way, 0.0), self.now + self.delay * self.random.random() + late)
        self._arrives[way] = at
        heapq.heappush(self._queue, (at, next(self._order), arrive))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            heapq.heappop(self._queue)[2]()

    def _calls(self) -> None:
        for tenant in self.tenants.values():
            mean = tenant.sends * STEP
            for _ in range(_poisson(mean, self.random)):
                self._call(tenant)

    def _call(self, tenant: Tenant) -> None:
        proxy = tenant.by or self._drawn(tenant)
        window = self.rules.window
        tenant.ask(self.now)
        tenant.asked.append(self.now)
        while tenant.asked[0] <= self.now - window:
            tenant.asked.popleft()
        refusal = proxy.limits.admit(tenant.entry, self.now)
        if refusal is None:
            tenant.admitted.append(self.now)
            return
        tenant.refused_at.append(self.now)
        if len(tenant.asked) <= tenant.entry.rate * window + tenant.entry.burst:
            tenant.wronged += 1

    def _drawn(self, tenant: Tenant) -> Proxy:
        zone = self.random.choices(ZONES, tenant.weights)[0]
        return self.random.choice([each for each in self.proxies if each.zone == zone])


def _poisson(mean: float, source: random.Random) -> int:
    """Draw how many calls come in a step in which ``mean`` are expected."""
    count, product, least = 0, source.random(), math.exp(-mean)
    while product > least:
        count += 1
        product *= source.random()
    return count


def power_law(count: int, total: float, skew: float = 1.2) -> dict[str, float]:
    """Return the usual rates of tenants whose sizes follow a power law."""
    sizes = [1 / rank**skew for rank in range(1, count + 1)]
    return {f"tenant-{n}": total * size / sum(sizes) for n, size in enumerate(sizes)}
