"""Proxies and relays that share rate limits, on a simulated network in virtual time.

Links deliver messages in order; a lost message is delivered late, as if it was retransmitted. A
partition drops messages, and both ends reconnect after it. All decisions are made by product code.
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
from limelever.relay.limit_coordinator import LimitCoordinator

STEP_SECONDS = 0.01
"""Time step of the simulation: timers are checked and calls arrive once per step."""

ZONES = "abc"
RELAY_ZONES = "aabbc"


@dataclass
class Relay:
    name: str
    zone: str
    coordinator: LimitCoordinator
    down: bool = False


@dataclass
class Proxy:
    name: str
    zone: str
    limits: TenantLimits
    relay: Relay | None = None
    connects_at: float = 0.0


@dataclass
class Tenant:
    """A tenant and its calls; rates in calls per second, ``weights`` by zone of the callers."""

    entry: TenantEntry
    usual_rate: float
    rate: float
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    only_proxy: Proxy | None = None
    bucket: float = 0.0
    filled_at: float = 0.0
    ideal: list[float] = field(default_factory=list)
    admitted: list[float] = field(default_factory=list)
    recent: deque[float] = field(default_factory=deque)
    refused_at: list[float] = field(default_factory=list)
    refused_below_limit: int = 0

    @property
    def refused(self) -> int:
        return len(self.refused_at)

    def count_ideal(self, now: float) -> None:
        """Record whether one token bucket that sees all calls would admit this one."""
        earned = self.entry.rate * (now - self.filled_at)
        self.bucket = min(self.entry.burst, self.bucket + earned)
        self.filled_at = now
        if self.bucket >= 1:
            self.bucket -= 1
            self.ideal.append(now)

    def reset(self) -> None:
        self.admitted.clear()
        self.refused_at.clear()
        self.refused_below_limit = 0

    def set_limit(self, rate: float, burst: float) -> None:
        self.entry = TenantEntry(self.entry.name, 0, rate, burst)


@dataclass
class Traffic:
    messages: int = 0
    bytes: int = 0
    cross_zone_bytes: int = 0


class RateLimitFleet:
    def __init__(
        self,
        seed: int,
        tenants: Mapping[str, float],
        proxies: int = 60,
        limit_factor: float = 1.6,
        make_limits: Callable[[LimitRules, random.Random], TenantLimits] = TenantLimits,
        make_coordinator: Callable[[LimitRules], LimitCoordinator] = LimitCoordinator,
    ) -> None:
        self.random = random.Random(seed)
        self.rules = LimitRules()
        self.now = 1000.0
        self.delay, self.loss = 0.002, 0.0
        self.partitions: set[frozenset[str]] = set()
        self.traffic = Traffic()
        self.logs: list[int] = []
        self._make_limits, self._make_coordinator = make_limits, make_coordinator
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._last_arrival: dict[tuple[str, str], float] = {}
        self.tenants = {
            name: Tenant(
                TenantEntry(name, 0, usual_rate * limit_factor, usual_rate * limit_factor),
                usual_rate,
                usual_rate,
            )
            for name, usual_rate in tenants.items()
        }
        self.relays = [
            Relay(f"relay-{number}", zone, make_coordinator(self.rules))
            for number, zone in enumerate(RELAY_ZONES)
        ]
        self.proxies = [
            Proxy(f"proxy-{n}", ZONES[n % 3], make_limits(self.rules, self.random))
            for n in range(proxies)
        ]
        self.set_limits()
        for one, other in itertools.permutations(self.relays, 2):
            self._connect_relays(one, other)

    # --- actions --------------------------------------------------------------------------

    def set_limits(self) -> None:
        for relay in self.relays:
            self._configure_relay(relay)
        for proxy in self.proxies:
            self._configure_proxy(proxy)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._deliver()
            for proxy in self.proxies:
                self._run_proxy(proxy)
            for relay in self.relays:
                self._run_relay(relay)
            self._generate_calls()

    def kill_relay(self, relay: Relay) -> None:
        relay.down = True
        relay.coordinator = self._make_coordinator(self.rules)
        for proxy in self.proxies:
            if proxy.relay is relay:
                self._disconnect(proxy, 0.05 + self.random.random())
        for other in self.relays:
            other.coordinator.relay_disconnected(relay.name)
            other.coordinator.remove(self._link(relay, other))

    def start_relay(self, relay: Relay) -> None:
        relay.down = False
        self._configure_relay(relay)
        for other in self.relays:
            if other is not relay and not other.down:
                self._connect_relays(relay, other)
                self._connect_relays(other, relay)

    def restart_proxy(self, proxy: Proxy) -> None:
        self._disconnect(proxy, 0.3)
        proxy.limits = self._make_limits(self.rules, self.random)
        self._configure_proxy(proxy)

    def partition(self, one: str, other: str) -> None:
        """Drop all messages between two machines, without closing their link."""
        self.partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        partitions, self.partitions = self.partitions, set()
        for one, other in itertools.permutations(self.relays, 2):
            if frozenset((one.name, other.name)) in partitions and not (one.down or other.down):
                one.coordinator.relay_disconnected(other.name)
                self._connect_relays(one, other)
        for proxy in self.proxies:
            if proxy.relay is not None and frozenset((proxy.name, proxy.relay.name)) in partitions:
                self._disconnect(proxy, self.random.random())

    # --- results --------------------------------------------------------------------------

    def max_in_window(self, tenant: Tenant, since: float = 0.0) -> int:
        window: deque[float] = deque()
        maximum = 0
        for at in tenant.admitted:
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - self.rules.window:
                window.popleft()
            maximum = max(maximum, len(window))
        return maximum

    def excess_over_limit(self, tenant: Tenant, since: float = 0.0) -> float:
        """Return by how many calls the worst window exceeds the allowed maximum."""
        limit = Limit(tenant.entry.rate, tenant.entry.burst)
        return self.max_in_window(tenant, since) - self.rules.max_calls(limit)

    # --- simulation -----------------------------------------------------------------------

    def _configure_relay(self, relay: Relay) -> None:
        limits = {
            tenant_hash(name): Limit(each.entry.rate, each.entry.burst)
            for name, each in self.tenants.items()
            if each.entry.rate
        }
        relay.coordinator.set_limits(limits, self.now + self.random.random() * 0.1)

    def _configure_proxy(self, proxy: Proxy) -> None:
        proxy.limits.set_tenants({name: each.entry for name, each in self.tenants.items()})
        proxy.limits.set_node_count(len(self.proxies))

    def _link(self, one: Relay | Proxy, other: Relay) -> int:
        return tenant_hash(f"{one.name} {other.name}")

    def _disconnect(self, proxy: Proxy, pause: float) -> None:
        if proxy.relay is not None:
            proxy.relay.coordinator.remove(self._link(proxy, proxy.relay))
        proxy.relay = None
        proxy.connects_at = self.now + pause

    def _connect_relays(self, receiver: Relay, sender: Relay) -> None:
        outputs = sender.coordinator.add_relay(self._link(receiver, sender), self.now)
        self._send_outputs(sender, outputs)

    def _run_proxy(self, proxy: Proxy) -> None:
        if proxy.relay is None and self.now >= proxy.connects_at:
            self._connect(proxy)
        use = proxy.limits.report(self.now)
        if use is not None and proxy.relay is not None:
            self._send_report(proxy, proxy.relay, use)

    def _connect(self, proxy: Proxy) -> None:
        usable = [
            relay
            for relay in self.relays
            if not relay.down and frozenset((proxy.name, relay.name)) not in self.partitions
        ]
        if not usable:
            proxy.connects_at = self.now + 0.4
            return
        relay = proxy.relay = self.random.choice(self._candidates(proxy, usable))
        relay.coordinator.add_proxy(self._link(proxy, relay), proxy.name)
        use = proxy.limits.full_report(self.now)
        if use is not None:
            self._send_report(proxy, relay, use)

    def _candidates(self, proxy: Proxy, usable: list[Relay]) -> list[Relay]:
        return [relay for relay in usable if relay.zone == proxy.zone] or usable

    def _send_report(self, proxy: Proxy, relay: Relay, use: TenantUse) -> None:
        link = self._link(proxy, relay)

        def arrive() -> None:
            if not relay.down:
                relay.coordinator.handle_proxy_report(link, use, self.now)

        self._send(proxy, relay, use.ByteSize(), arrive)

    def _run_relay(self, relay: Relay) -> None:
        if (
            not relay.down
            and relay.coordinator.next_at is not None
            and self.now >= relay.coordinator.next_at
        ):
            self._send_outputs(relay, relay.coordinator.on_deadline(self.now))

    def _send_outputs(self, relay: Relay, outputs: list) -> None:
        self.logs.extend(each.code for each in outputs if isinstance(each, LogEvent))
        sent = [output for output in outputs if isinstance(output, SendMessage)]
        for output in sent:
            if isinstance(output.message, LimitNews):
                self._send_news(relay, output.connection, output.message)
            else:
                self._forward_use(relay, output.connection, output.message)

    def _send_news(self, relay: Relay, link: int, news: LimitNews) -> None:
        for proxy in self.proxies:
            if proxy.relay is relay and self._link(proxy, relay) == link:
                self._send(relay, proxy, news.ByteSize(), self._news_delivery(proxy, relay, news))

    def _news_delivery(self, proxy: Proxy, relay: Relay, news: LimitNews) -> Callable[[], None]:
        def arrive() -> None:
            if proxy.relay is relay:
                proxy.limits.apply_news(news, self.now)

        return arrive

    def _forward_use(self, relay: Relay, link: int, use: TenantUse) -> None:
        for other in self.relays:
            if not other.down and self._link(other, relay) == link:
                self._send(relay, other, use.ByteSize(), self._use_delivery(other, relay, use))

    def _use_delivery(self, other: Relay, relay: Relay, use: TenantUse) -> Callable[[], None]:
        coordinator = other.coordinator

        def arrive() -> None:
            if not relay.down and other.coordinator is coordinator:
                coordinator.handle_relay_report(relay.name, use, self.now)

        return arrive

    def _send(
        self, one: Proxy | Relay, other: Proxy | Relay, size: int, arrive: Callable[[], None]
    ) -> None:
        self.traffic.messages += 1
        self.traffic.bytes += size
        self.traffic.cross_zone_bytes += size if one.zone != other.zone else 0
        if frozenset((one.name, other.name)) in self.partitions:
            return
        direction = (one.name, other.name)
        delay = 0.2 if self.random.random() < self.loss else 0.0
        at = max(
            self._last_arrival.get(direction, 0.0),
            self.now + self.delay * self.random.random() + delay,
        )
        self._last_arrival[direction] = at
        heapq.heappush(self._queue, (at, next(self._order), arrive))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            heapq.heappop(self._queue)[2]()

    def _generate_calls(self) -> None:
        for tenant in self.tenants.values():
            mean = tenant.rate * STEP_SECONDS
            for _ in range(_poisson(mean, self.random)):
                self._send_call(tenant)

    def _send_call(self, tenant: Tenant) -> None:
        proxy = tenant.only_proxy or self._random_proxy(tenant)
        window = self.rules.window
        tenant.count_ideal(self.now)
        tenant.recent.append(self.now)
        while tenant.recent[0] <= self.now - window:
            tenant.recent.popleft()
        refusal = proxy.limits.admit(tenant.entry, self.now)
        if refusal is None:
            tenant.admitted.append(self.now)
            return
        tenant.refused_at.append(self.now)
        if len(tenant.recent) <= tenant.entry.rate * window + tenant.entry.burst:
            tenant.refused_below_limit += 1

    def _random_proxy(self, tenant: Tenant) -> Proxy:
        zone = self.random.choices(ZONES, tenant.weights)[0]
        return self.random.choice([each for each in self.proxies if each.zone == zone])


def _poisson(mean: float, source: random.Random) -> int:
    """Draw the number of calls in a step in which ``mean`` are expected."""
    count, product, threshold = 0, source.random(), math.exp(-mean)
    while product > threshold:
        count += 1
        product *= source.random()
    return count


def power_law(count: int, total: float, skew: float = 1.2) -> dict[str, float]:
    """Return the usual rates of tenants whose sizes follow a power law."""
    sizes = [1 / rank**skew for rank in range(1, count + 1)]
    return {f"tenant-{n}": total * size / sum(sizes) for n, size in enumerate(sizes)}
