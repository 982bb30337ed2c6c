"""Loads of endpoints, gathered and told to the proxies of the endpoints' own zone.

A proxy of a large fleet sends one endpoint a call in many seconds, so that what answers tell of its
load is old. Agents tell their relay instead, and each proxy hears of its whole zone in one message.
Other zones' proxies don't: they send few calls there, and bytes between zones are dear.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoint_news import EndpointNews, news_of, pack, unpack
from limelever.protocol.endpoints_pb2 import Endpoint, LoadReport, LoadUpdate
from limelever.publisher.batching import BatchTimer


class LoadBoard:
    """Loads by zone that were reported since they were last told; times in seconds."""

    def __init__(self, interval: float) -> None:
        self._own: dict[str, dict[int, EndpointNews]] = {}
        self._foreign: dict[str, dict[int, EndpointNews]] = {}
        self._zone_of: dict[ConnectionId, str] = {}
        self._proxies: dict[str, dict[ConnectionId, None]] = {}
        self._wanted_by: dict[ConnectionId, frozenset[str]] = {}
        self._batch = BatchTimer(interval)

    @property
    def zones(self) -> frozenset[str]:
        """The zones of the proxies here."""
        return frozenset(self._proxies)

    def wanted(self, relay: ConnectionId, zones: Iterable[str]) -> None:
        """Take the zones whose loads another relay wants."""
        self._wanted_by[relay] = frozenset(zones)

    def join(self, proxy: ConnectionId, zone: str) -> None:
        """Tell a proxy the loads of its zone from now on."""
        self._zone_of[proxy] = zone
        self._proxies.setdefault(zone, {})[proxy] = None

    def leave(self, proxy: ConnectionId) -> None:
        """Forget a proxy or a relay whose link is gone."""
        self._wanted_by.pop(proxy, None)
        zone = self._zone_of.pop(proxy, None)
        if zone is None:
            return
        del self._proxies[zone][proxy]
        if not self._proxies[zone]:
            del self._proxies[zone]

    def reported(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        """Take what an agent told this relay."""
        number = endpoint_hash(endpoint.service, endpoint.instance)
        self._own.setdefault(endpoint.zone, {})[number] = news_of(report)
        self._batch.note(now)

    def heard(self, update: LoadUpdate, now: float) -> None:
        """Take the loads that another relay told."""
        told = {each.number: each.news for each in unpack(update)}
        self._foreign.setdefault(update.zone, {}).update(told)
        self._batch.note(now)

    def due(self, now: float) -> bool:
        """Return whether there are loads to be told now."""
        return self._batch.due(now)

    def next_deadline(self) -> float | None:
        """Return when loads are to be told."""
        return self._batch.due_at

    def take(self, now: float) -> list[Output]:
        """Return the messages to the proxies, and to the relays that have some of a zone."""
        own, self._own = self._own, {}
        foreign, self._foreign = self._foreign, {}
        self._batch.taken()
        self._batch.sent(now)
        outputs: list[Output] = []
        for zone, loads in own.items():
            update = pack(zone, loads)
            wanting = [relay for relay, zones in self._wanted_by.items() if zone in zones]
            outputs.extend(SendMessage(relay, update) for relay in wanting)
        for zone in own.keys() | foreign.keys():
            if zone in self._proxies:
                update = pack(zone, {**foreign.get(zone, {}), **own.get(zone, {})})
                outputs.extend(SendMessage(proxy, update) for proxy in self._proxies[zone])
        return outputs
