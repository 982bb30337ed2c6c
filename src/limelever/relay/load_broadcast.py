"""Broadcasts the loads of endpoints to the proxies of their zone.

In a large fleet a proxy calls each endpoint too rarely to know its load from responses. Agents
therefore report loads to their relay, which sends them to proxies in one message per zone. Proxies
of other zones send few calls there, and are left out to save traffic between zones.

A proxy that finds an agent silent reports this as well, and the relay tells the proxies of its zone
that are connected here. An agent's own report is newer knowledge and takes the place of it.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoint_news import EndpointNews, news_of, pack, unpack
from limelever.protocol.endpoints_pb2 import Endpoint, LoadReport, LoadUpdate
from limelever.publisher.batching import BatchTimer

MAX_SUSPECTS = 256
"""Limit on the endpoints of a zone that are reported as silent in one batch."""


class LoadBroadcaster:
    """Loads by zone that were reported since the last batch; times in seconds, monotonic."""

    def __init__(self, interval: float) -> None:
        self._local: dict[str, dict[int, EndpointNews]] = {}
        self._remote: dict[str, dict[int, EndpointNews]] = {}
        self._suspects: dict[str, dict[int, None]] = {}
        self._zone_by_proxy: dict[ConnectionId, str] = {}
        self._proxies_by_zone: dict[str, dict[ConnectionId, None]] = {}
        self._interest_by_relay: dict[ConnectionId, frozenset[str]] = {}
        self._batch = BatchTimer(interval)

    @property
    def zones(self) -> frozenset[str]:
        """The zones of the proxies that are connected here."""
        return frozenset(self._proxies_by_zone)

    def set_interest(self, relay: ConnectionId, zones: Iterable[str]) -> None:
        """Set the zones whose loads another relay wants."""
        self._interest_by_relay[relay] = frozenset(zones)

    def add_proxy(self, proxy: ConnectionId, zone: str) -> None:
        """Send a proxy the loads of its zone from now on."""
        self._zone_by_proxy[proxy] = zone
        self._proxies_by_zone.setdefault(zone, {})[proxy] = None

    def remove(self, connection: ConnectionId) -> None:
        """Remove a proxy or relay whose link was closed."""
        self._interest_by_relay.pop(connection, None)
        zone = self._zone_by_proxy.pop(connection, None)
        if zone is None:
            return
        del self._proxies_by_zone[zone][connection]
        if not self._proxies_by_zone[zone]:
            del self._proxies_by_zone[zone]

    def merge_report(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        """Merge the report of an agent that is registered here."""
        endpoint_number = endpoint_hash(endpoint.service, endpoint.instance)
        self._local.setdefault(endpoint.zone, {})[endpoint_number] = news_of(report)
        self._drop_suspects((endpoint_number,))
        self._batch.note(now)

    def merge_update(self, update: LoadUpdate, now: float) -> None:
        """Merge the loads from another relay."""
        loads = {each.number: each.news for each in unpack(update)}
        self._remote.setdefault(update.zone, {}).update(loads)
        self._drop_suspects(loads)
        self._batch.note(now)

    def merge_suspects(self, proxy: ConnectionId, numbers: Iterable[int], now: float) -> None:
        """Merge the endpoints that a proxy finds silent, unless too many are waiting."""
        zone = self._zone_by_proxy.get(proxy)
        if zone is None:
            return
        suspects = self._suspects.setdefault(zone, {})
        for number in numbers:
            if len(suspects) < MAX_SUSPECTS:
                suspects[number] = None
        self._batch.note(now)

    def due(self, now: float) -> bool:
        """Return whether a batch of loads is due."""
        return self._batch.due(now)

    def next_deadline(self) -> float | None:
        """Return when the next batch is due, or ``None``."""
        return self._batch.due_at

    def flush(self, now: float) -> list[Output]:
        """Return the batch for the proxies of each zone, and for the relays interested in it."""
        local, self._local = self._local, {}
        remote, self._remote = self._remote, {}
        suspects = {zone: numbers for zone, numbers in self._suspects.items() if numbers}
        self._suspects = {}
        self._batch.taken()
        self._batch.sent(now)
        outputs: list[Output] = []
        for zone, loads in local.items():
            update = pack(zone, loads)
            interested = [
                relay for relay, zones in self._interest_by_relay.items() if zone in zones
            ]
            outputs.extend(SendMessage(relay, update) for relay in interested)
        for zone in local.keys() | remote.keys() | suspects.keys():
            if zone in self._proxies_by_zone:
                update = pack(zone, {**remote.get(zone, {}), **local.get(zone, {})})
                update.suspects.extend(suspects.get(zone, ()))
                outputs.extend(SendMessage(proxy, update) for proxy in self._proxies_by_zone[zone])
        return outputs

    def _drop_suspects(self, numbers: Iterable[int]) -> None:
        """Drop the reports on endpoints whose agents have reported themselves."""
        for suspects in self._suspects.values():
            for number in numbers:
                suspects.pop(number, None)
