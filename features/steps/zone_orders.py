"""An operator who drains one zone after the other, and the checks that its orders are followed."""

from __future__ import annotations

import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from keyed_calls import KeyedSent
from platform_machines import ControlMachine
from platform_tenants import OPEN
from platform_traffic import OK, ORDER_LIMIT_SECONDS, ask_control, send
from warming_instances import WarmingInstance

FOLLOW_SECONDS = 5.0
"""After an acknowledged order, and after a struck node is back, requests may come this long."""

LONGEST_DELAY_SECONDS = 1.5
CALM_SECONDS = 1.5
FEWEST_REQUESTS = 10
"""Fewer requests of a node, during a drain, don't show that it is not served."""

ORDER, WITHDRAWAL = "POST", "DELETE"
FOREVER = float("inf")


@dataclass(slots=True)
class Drain:
    """A drain; times are monotonic seconds."""

    zone: str
    acknowledged: float
    withdrawal_sent: float = FOREVER

    @property
    def followed_from(self) -> float:
        return self.acknowledged + FOLLOW_SECONDS


class Outages:
    """When nodes were struck, and when they were brought back."""

    def __init__(self) -> None:
        self.spans: dict[str, list[list[float]]] = {}

    def begin(self, name: str) -> None:
        self.spans.setdefault(name, []).append([time.monotonic(), FOREVER])

    def end(self, name: str) -> None:
        self.spans[name][-1][1] = time.monotonic()

    def noted(self, name: str, strike: Callable[[], object], back: Callable[[], object]):
        """Return the same actions, which also note when the machine is out."""
        return (
            lambda: (self.begin(name), strike()),
            lambda: (back(), self.end(name)),
        )

    def overlaps(self, name: str, begin: float, end: float) -> bool:
        """Return whether a node was out, or back for a shorter time than it may take to follow."""
        spans = self.spans.get(name, ())
        return any(begin <= until + FOLLOW_SECONDS and since <= end for since, until in spans)


class ZoneOrders:
    """Gives orders at control machines drawn at random, each until it is acknowledged."""

    def __init__(
        self,
        machines: list[ControlMachine],
        instances: list[WarmingInstance],
        outages: Outages,
        seed: int,
    ) -> None:
        self._machines, self._instances, self._outages = machines, instances, outages
        self._draw = random.Random(f"zone-orders-{seed}")
        zones = sorted({each.zone for each in instances})
        self._zones = self._draw.sample(zones, len(zones))
        self._thread: threading.Thread | None = None
        self._sent = itertools.count()
        self.drains: list[Drain] = []
        self.resent = 0
        self.broken: list[str] = []

    @property
    def current(self) -> Drain | None:
        """Return the drain in effect."""
        in_effect = self.drains and self.drains[-1].withdrawal_sent == FOREVER
        return self.drains[-1] if in_effect else None

    def begin_round(self) -> None:
        """Withdraw the drain of the round before, and drain the next zone, amid the strikes."""
        self._thread = threading.Thread(target=self._change_zones)
        self._thread.start()

    def join(self) -> None:
        """Wait until the round's orders are acknowledged, or given up."""
        if self._thread is not None:
            self._thread.join()

    def withdraw(self) -> None:
        """Withdraw the drain in effect."""
        drain = self.current
        if drain is not None:
            drain.withdrawal_sent = time.monotonic()
            for each in self._instances:
                if each.zone == drain.zone:
                    each.cool()
            self._give(WITHDRAWAL, drain.zone)

    def withdraw_last(self) -> None:
        """Withdraw the drain in effect, after it was judged for a while with all machines back."""
        drain = self.current
        if drain is not None:
            time.sleep(max(0.0, drain.followed_from + CALM_SECONDS - time.monotonic()))
            self.withdraw()

    def check(self, sent: list[KeyedSent]) -> list[str]:
        """Return what is broken, as far as the requests ``sent`` and the arrivals show it."""
        found = list(self.broken)
        for drain in self.drains:
            found += not_followed(drain, self._instances, self._outages)
            found += not_served(drain, sent, self._instances, self._outages)
        return found

    def are_used(self) -> bool:
        """Return whether back ends have had requests since the drains of their zones ended.

        Where one hasn't yet, sends some.
        """
        ends = {each.zone: each.withdrawal_sent for each in self.drains}
        unused = [
            each
            for each in self._instances
            if each.arrivals[-1:] < [ends.get(each.zone, FOREVER)] < [FOREVER]
        ]
        for each in unused:
            send(each.machine, f"used-{next(self._sent)}", OPEN, f"/{OPEN}/used")
        return not unused

    def _change_zones(self) -> None:
        self._pause()
        self.withdraw()
        self._pause()
        zone = self._zones[len(self.drains) % len(self._zones)]
        if self._give(ORDER, zone):
            self.drains.append(Drain(zone, time.monotonic()))

    def _pause(self) -> None:
        time.sleep(self._draw.uniform(0.0, LONGEST_DELAY_SECONDS))

    def _give(self, method: str, zone: str) -> bool:
        end = time.monotonic() + ORDER_LIMIT_SECONDS
        while time.monotonic() < end:
            machine = self._draw.choice(self._machines)
            answer = ask_control(machine, method, path=f"/v1/evacuate/{zone}")
            if answer.status == OK:
                print(f"{method} {zone} acknowledged", flush=True)
                return True
            if answer.status // 100 == 4:
                self.broken.append(f"{method} {zone} was refused: {answer}")
                return False
            self.resent += 1
            time.sleep(0.1)
        self.broken.append(f"{method} {zone} was not acknowledged within {ORDER_LIMIT_SECONDS} s")
        return False


def not_followed(drain: Drain, instances: list[WarmingInstance], outages: Outages) -> list[str]:
    """Return the nodes whose back ends got requests that a drain forbids."""
    broken = []
    for each in instances:
        late = [
            f"{at - drain.acknowledged:.2f} s"
            for at in each.arrivals
            if drain.followed_from < at < drain.withdrawal_sent
            and not outages.overlaps(each.name, at, at)
        ]
        if each.zone == drain.zone and late:
            broken.append(f"{each.name} got requests after the drain of its zone: {late[:5]}")
    return broken


def not_served(
    drain: Drain, sent: list[KeyedSent], nodes: list[WarmingInstance], outages: Outages
) -> list[str]:
    """Return the nodes of a drained zone whose callers got no answer from the other zones."""
    end = min(drain.withdrawal_sent, time.monotonic())
    calm = {each.name for each in nodes if not outages.overlaps(each.name, drain.acknowledged, end)}
    if not any(each.name in calm and each.zone != drain.zone for each in nodes):
        return []
    broken = []
    for node in nodes:
        of_node = [
            each.answer.status
            for each in sent
            if each.node == node.name and drain.followed_from < each.sent_at < end
        ]
        judged = node.zone == drain.zone and node.name in calm
        if judged and len(of_node) >= FEWEST_REQUESTS and OK not in of_node:
            broken.append(f"{node.name} of the drained zone served none of {len(of_node)} requests")
    return broken
