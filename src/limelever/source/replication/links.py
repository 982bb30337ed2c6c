"""Links to the other replicas: one dialled to each, redialled with jitter.

The peers are those of the settings, or in a group that discovers its members, those named last.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from limelever.common.backoff import Backoff
from limelever.common.sansio import (
    Address,
    ConnectionId,
    DialledConnections,
    OpenConnection,
    Purpose,
)
from limelever.protocol.feature_level import UNSTATED_LEVEL
from limelever.source.replication.settings import ReplicationSettings


class _Dialled:
    """State of the dialled link to one peer."""

    __slots__ = ("address", "backoff", "connection", "due", "feature_level", "open")

    def __init__(self, address: Address, backoff: Backoff, due: float) -> None:
        self.address = address
        self.backoff = backoff
        self.connection: ConnectionId | None = None
        self.open = False
        self.feature_level = UNSTATED_LEVEL
        self.due = due


class PeerLinks:
    """Keeps one dialled link to every peer, by name."""

    def __init__(self, settings: ReplicationSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._ids = DialledConnections()
        self._dialled: dict[str, _Dialled] = {}

    def start(self, now: float) -> None:
        """Make every peer due for a dial."""
        self.keep(self._settings.peers, now)

    def keep(self, peers: Mapping[str, Address], now: float) -> list[ConnectionId]:
        """Have links to just these peers; return those to be closed."""
        for name, address in peers.items():
            if name not in self._dialled:
                backoff = Backoff(self._settings.backoff, self._random)
                self._dialled[name] = _Dialled(address, backoff, now)
        dropped = [self._dialled.pop(name) for name in self._dialled.keys() - peers.keys()]
        return [link.connection for link in dropped if link.connection is not None]

    def dial_due(self, now: float) -> Iterable[OpenConnection]:
        """Yield the dials whose time has come."""
        for link in self._dialled.values():
            if link.connection is None and link.due <= now:
                link.connection = self._ids.draw()
                yield OpenConnection(link.connection, link.address, Purpose.REPLICATION)

    def opened(self, connection: ConnectionId, feature_level: int) -> str | None:
        """Note that a dialled link is up, and its peer's level; return the peer's name."""
        for name, link in self._dialled.items():
            if link.connection == connection:
                link.open = True
                link.feature_level = feature_level
                link.backoff.reset()
                return name
        return None

    def closed(self, connection: ConnectionId, now: float) -> None:
        """Note that a link is gone or a dial failed; a dialled one is dialled again."""
        for link in self._dialled.values():
            if link.connection == connection:
                link.connection = None
                link.open = False
                link.due = now + link.backoff.next_delay()

    def connection_to(self, name: str) -> ConnectionId | None:
        """Return the open dialled link to ``name``, or ``None``."""
        link = self._dialled.get(name)
        return link.connection if link is not None and link.open else None

    def stated_level(self, name: str) -> int | None:
        """Return the feature level that ``name`` states on its open link; ``None`` without one."""
        link = self._dialled.get(name)
        return link.feature_level if link is not None and link.open else None

    def open_connections(self) -> list[ConnectionId]:
        """Return all open dialled links."""
        links = self._dialled.values()
        return [link.connection for link in links if link.open and link.connection is not None]

    def next_deadline(self) -> float | None:
        """Return when the next dial is due."""
        links = self._dialled.values()
        return min((link.due for link in links if link.connection is None), default=None)
