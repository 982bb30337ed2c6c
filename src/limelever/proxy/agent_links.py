"""Manages one multiplexed link to each agent, dialled on first use and kept open.

A failed dial puts the address into a full-jitter backoff. While a dial is overdue, new calls prefer
other endpoints, so that an unreachable host, which never answers a dial, delays only the calls that
already wait for it.
"""

from __future__ import annotations

import random
from enum import Enum, auto

from msgspec import Struct, field

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import (
    Address,
    CloseConnection,
    ConnectionId,
    DialledConnections,
    OpenConnection,
    Output,
    Peer,
    Purpose,
)
from limelever.protocol.feature_level import LINK_PROBE_LEVEL

DIAL_BACKOFF = BackoffSettings(base=0.1, maximum=2.0)
MAX_STREAM = 2**32 - 1
DIAL_OVERDUE_SECONDS = 0.05
"""Time after which a dial counts as overdue; allows for a busy agent."""


class LinkState(Enum):
    """The connection state of a link."""

    IDLE = auto()
    DIALLING = auto()
    UP = auto()


class AgentLink(Struct):
    """The link to one agent.

    ``incarnation`` is what the agent reported when it accepted, and ``answers_probes`` whether its
    feature level says that it answers link probes; ``waiting_calls`` holds the numbers
    of the calls that wait for the dial.
    """

    address: Address
    backoff: Backoff
    state: LinkState = LinkState.IDLE
    connection: ConnectionId = 0
    incarnation: int = 0
    answers_probes: bool = False
    backoff_until: float = 0.0
    dialled_at: float = 0.0
    last_stream: int = 0
    waiting_calls: list[int] = field(default_factory=list)

    def next_stream(self) -> int:
        """Return a stream number not yet used on this connection."""
        self.last_stream += 1
        return self.last_stream

    def take_waiting_calls(self) -> list[int]:
        """Return and clear the calls that wait for the dial."""
        waiting, self.waiting_calls = self.waiting_calls, []
        return waiting


class AgentLinks:
    """The links to all agents, by address and by connection."""

    def __init__(self, connections: DialledConnections, random_source: random.Random) -> None:
        self._connections = connections
        self._random = random_source
        self._by_address: dict[Address, AgentLink] = {}
        self._by_connection: dict[ConnectionId, AgentLink] = {}

    def is_backing_off(self, address: Address, now: float) -> bool:
        """Return whether the address is in backoff after a failed dial."""
        link = self._by_address.get(address)
        return link is not None and link.state is LinkState.IDLE and now < link.backoff_until

    def is_dial_overdue(self, address: Address, now: float) -> bool:
        """Return whether the dial to an address has taken longer than ``DIAL_OVERDUE_SECONDS``."""
        link = self._by_address.get(address)
        if link is None or link.state is not LinkState.DIALLING:
            return False
        return now - link.dialled_at > DIAL_OVERDUE_SECONDS

    def acquire(self, address: Address, outputs: list[Output], now: float) -> AgentLink:
        """Return the link to an agent, dialling it if it is not connected."""
        link = self._by_address.get(address)
        if link is None:
            link = AgentLink(address, Backoff(DIAL_BACKOFF, self._random))
            self._by_address[address] = link
        if link.state is LinkState.UP and link.last_stream >= MAX_STREAM:
            link.state = LinkState.IDLE
        if link.state is LinkState.IDLE:
            link.state = LinkState.DIALLING
            link.dialled_at = now
            link.connection = self._connections.draw()
            self._by_connection[link.connection] = link
            outputs.append(OpenConnection(link.connection, address, Purpose.CALLS))
        return link

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a connection is a link to an agent."""
        return connection in self._by_connection

    def connection_of(self, address: Address) -> ConnectionId | None:
        """Return the connection to an address if it is up."""
        link = self._by_address.get(address)
        return link.connection if link is not None and link.state is LinkState.UP else None

    def address_of(self, connection: ConnectionId) -> Address:
        """Return the address of the agent that a link leads to."""
        return self._by_connection[connection].address

    def opened(self, connection: ConnectionId, peer: Peer) -> AgentLink:
        """Mark a link as up after its dial succeeded."""
        link = self._by_connection[connection]
        link.state = LinkState.UP
        link.incarnation = peer.incarnation
        link.answers_probes = peer.feature_level >= LINK_PROBE_LEVEL
        link.last_stream = 0
        link.backoff_until = 0.0
        link.backoff.reset()
        return link

    def lost(self, connection: ConnectionId, now: float) -> list[int]:
        """Mark a link as down after a failed dial or a close; return the calls waiting for it."""
        link = self._by_connection.pop(connection)
        if link.connection != connection:
            return []
        if link.state is LinkState.DIALLING:
            link.backoff_until = now + link.backoff.next_delay()
        link.state = LinkState.IDLE
        return link.take_waiting_calls()

    def close_unused(
        self, listed: frozenset[Address], busy: frozenset[ConnectionId], outputs: list[Output]
    ) -> None:
        """Close idle connections that were replaced or whose agent is not ``listed``."""
        for connection, link in tuple(self._by_connection.items()):
            current = link.connection == connection
            if connection in busy or (current and link.state is LinkState.DIALLING):
                continue
            if not current or link.address not in listed:
                outputs.append(CloseConnection(connection, "no longer used"))
        for address in self._by_address.keys() - listed:
            if self._by_address[address].state is LinkState.IDLE:
                del self._by_address[address]
