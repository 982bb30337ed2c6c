"""Links of a client to the keepers: one to each, redialled when lost."""

from __future__ import annotations

import random
from collections.abc import Iterable

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.backoff import Backoff
from limelever.common.sansio import (
    Address,
    ConnectionId,
    DialledConnections,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.keeper.settings import KeeperClientSettings


class KeeperLink(Struct):
    """The link to one keeper."""

    address: Address
    backoff: Backoff
    connection: ConnectionId | None = None
    open: bool = False
    dial_at: float = 0.0


class KeeperLinks:
    """Keeps a link to each keeper; times are in seconds."""

    def __init__(
        self,
        settings: KeeperClientSettings,
        connections: DialledConnections,
        random_source: random.Random,
    ) -> None:
        self._connections = connections
        self._links = {
            address: KeeperLink(address, Backoff(settings.backoff, random_source))
            for address in settings.keepers
        }
        self._by_connection: dict[ConnectionId, KeeperLink] = {}

    def __len__(self) -> int:
        return len(self._links)

    @property
    def addresses(self) -> frozenset[Address]:
        """The keepers' addresses."""
        return frozenset(self._links)

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a connection is a link to a keeper."""
        return connection in self._by_connection

    def address_of(self, connection: ConnectionId) -> Address:
        """Return the address of the keeper at the other end of a link."""
        return self._by_connection[connection].address

    def dial_due(self, now: float) -> list[Output]:
        """Dial the keepers that are due."""
        outputs: list[Output] = []
        for link in self._links.values():
            if link.connection is None and now >= link.dial_at:
                link.connection = self._connections.draw()
                self._by_connection[link.connection] = link
                outputs.append(OpenConnection(link.connection, link.address, Purpose.KEEPER))
        return outputs

    def dial_times(self) -> list[float]:
        """Return when keepers without a link are to be dialled."""
        return [link.dial_at for link in self._links.values() if link.connection is None]

    def opened(self, connection: ConnectionId, waiting: Iterable[Message]) -> list[Output]:
        """Record that a link has opened, and send its keeper the ``waiting`` messages."""
        link = self._by_connection[connection]
        link.open = True
        link.backoff.reset()
        return [SendMessage(connection, message) for message in waiting]

    def lost(self, connection: ConnectionId, now: float) -> None:
        """Record that a link is lost; it is redialled after a delay."""
        link = self._by_connection.pop(connection)
        link.connection = None
        link.open = False
        link.dial_at = now + link.backoff.next_delay()

    def broadcast(
        self, message: Message, besides: frozenset[Address] = frozenset()
    ) -> list[Output]:
        """Send a message to every keeper with an open link, except those in ``besides``."""
        return [
            SendMessage(link.connection, message)
            for link in self._links.values()
            if link.open and link.connection is not None and link.address not in besides
        ]
