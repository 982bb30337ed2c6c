"""A hollow proxy: the shipped subscriber, route table and endpoint view, without callers."""

from __future__ import annotations

import itertools
import random

from limelever.common.sansio import DialledConnections, Event, Output, Recovered, Started
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.route_table_builder import build_route_table
from limelever.proxy.router import RouteTable
from limelever.subscriber.core import SubscriberCore
from limelever.subscriber.notices import (
    ConfigurationInstalled,
    EndpointsReceived,
    FreshnessProved,
    VersionConfirmed,
)
from limelever.subscriber.settings import SubscriberSettings


class VersionInForce(Output, frozen=True):
    """From now on this version is in force at the node."""

    version: int


class Detach(Event, frozen=True):
    """Close the link and dial no more; what is held stays in force."""


class Attach(Event, frozen=True):
    """Dial again, as a process does that comes back with what it held."""


class HollowProxyCore:
    """Holds a proxy's configuration and endpoints; a ``Core`` of the sans-io contract.

    Versions count as in force where a real proxy would route by them: after the set was checked,
    the route table built and swapped in.
    """

    def __init__(self, settings: SubscriberSettings, generator: random.Random) -> None:
        connections = DialledConnections()
        self._subscriber = SubscriberCore(
            settings, connections, itertools.count(1), generator, Recovered()
        )
        self._view = EndpointView()
        self._reported = 0
        self.routes: RouteTable | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return self._subscriber.version

    @property
    def subscribed(self) -> bool:
        """Whether a link is up and the subscription has been sent."""
        return self._subscriber.subscribed

    @property
    def endpoints(self) -> int:
        """How many endpoints the view knows."""
        return len(self._view.addresses())

    def handle(self, event: Event, now: float) -> list[Output]:
        """Take one event at ``now`` (seconds, monotonic)."""
        match event:
            case Detach():
                outputs = self._subscriber.stop(now)
            case Attach():
                outputs = self._subscriber.handle(Started(), now)
            case _:
                outputs = self._subscriber.handle(event, now)
        return self._carried_out(outputs, now)

    def next_deadline(self) -> float | None:
        """Return when ``DeadlineReached`` is wanted."""
        return self._subscriber.next_deadline()

    def _carried_out(self, outputs: list[Output], now: float) -> list[Output]:
        for_shell: list[Output] = []
        for output in outputs:
            match output:
                case ConfigurationInstalled(version, configuration):
                    table = build_route_table(configuration, version)
                    self.routes = table if isinstance(table, RouteTable) else self.routes
                case EndpointsReceived(update):
                    self._view.apply(update, now)
                case VersionConfirmed() | FreshnessProved():
                    pass
                case _:
                    for_shell.append(output)
        if self.version > self._reported:
            self._reported = self.version
            for_shell.append(VersionInForce(self._reported))
        return for_shell
