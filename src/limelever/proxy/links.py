"""One multiplexed link to each agent, dialled when first needed and kept.

A failed dial blocks the address for a full-jitter backoff, and one that is overdue is left to the
calls that wait for it already, so that a dead agent costs a call no waiting while others are
there. A machine that is gone without a word answers no dial: each would hang to its timeout.
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
    Purpose,
)

DIAL_BACKOFF = BackoffSettings(base=0.1, maximum=2.0)
LARGEST_STREAM = 2**32 - 1
OVERDUE_SECONDS = 0.05
"""How long a dial usually takes at most, a busy agent's time to answer included."""


class LinkStage(Enum):
    """How far a link has come."""

    IDLE = auto()
    DIALLING = auto()
    UP = auto()


class AgentLink(Struct):
    """The link to one agent; ``incarnation`` is what the agent named when it accepted."""

    address: Address
    backoff: Backoff
    stage: LinkStage = LinkStage.IDLE
    connection: ConnectionId = 0
    incarnation: int = 0
    blocked_until: float = 0.0
    dialled_at: float = 0.0
    last_stream: int = 0
    waiting: list[int] = field(default_factory=list)

    def draw_stream(self) -> int:
        """Return a stream number never used on this connection."""
        self.last_stream += 1
        return self.last_stream

    def take_waiting(self) -> list[int]:
        """Return the calls that wait for the dial, and clear the list."""
        waiting, self.waiting = self.waiting, []
        return waiting


class AgentLinks:
    """Links by address and by connection."""

    def __init__(self, connections: DialledConnections, random_source: random.Random) -> None:
        self._connections = connections
        self._random = random_source
        self._by_address: dict[Address, AgentLink] = {}
        self._by_connection: dict[ConnectionId, AgentLink] = {}

    def is_blocked(self, address: Address, now: float) -> bool:
        """Return whether a dial failed so lately that the address is left alone."""
        link = self._by_address.get(address)
        return link is not None and link.stage is LinkStage.IDLE and now < link.blocked_until

    def is_overdue(self, address: Address, now: float) -> bool:
        """Return whether a dial to an agent takes longer than dials do."""
        link = self._by_address.get(address)
        if link is None or link.stage is not LinkStage.DIALLING:
            return False
        return now - link.dialled_at > OVERDUE_SECONDS

    def acquire(self, address: Address, outputs: list[Output], now: float) -> AgentLink:
        """Return the link to an agent, dialling it when there is none."""
        link = self._by_address.get(address)
        if link is None:
            link = AgentLink(address, Backoff(DIAL_BACKOFF, self._random))
            self._by_address[address] = link
        if link.stage is LinkStage.UP and link.last_stream >= LARGEST_STREAM:
            link.stage = LinkStage.IDLE
        if link.stage is LinkStage.IDLE:
            link.stage = LinkStage.DIALLING
            link.dialled_at = now
            link.connection = self._connections.draw()
            self._by_connection[link.connection] = link
            outputs.append(OpenConnection(link.connection, address, Purpose.CALLS))
        return link

    def owns(self, connection: ConnectionId) -> bool:
        """Return whether a connection is a link to an agent."""
        return connection in self._by_connection

    def opened(self, connection: ConnectionId, incarnation: int) -> AgentLink:
        """Take note that a dial succeeded."""
        link = self._by_connection[connection]
        link.stage = LinkStage.UP
        link.incarnation = incarnation
        link.last_stream = 0
        link.blocked_until = 0.0
        link.backoff.reset()
        return link

    def lost(self, connection: ConnectionId, now: float) -> list[int]:
        """Take note that a dial failed or a link closed; return the calls that waited for it."""
        link = self._by_connection.pop(connection)
        if link.connection != connection:
            return []
        if link.stage is LinkStage.DIALLING:
            link.blocked_until = now + link.backoff.next_delay()
        link.stage = LinkStage.IDLE
        return link.take_waiting()

    def close_unused(
        self, listed: frozenset[Address], busy: frozenset[ConnectionId], outputs: list[Output]
    ) -> None:
        """Close the links to agents not ``listed`` and retired ones, once they carry no call."""
        for connection, link in tuple(self._by_connection.items()):
            current = link.connection == connection
            if connection in busy or (current and link.stage is LinkStage.DIALLING):
                continue
            if not current or link.address not in listed:
                outputs.append(CloseConnection(connection, "no longer used"))
        for address in self._by_address.keys() - listed:
            if self._by_address[address].stage is LinkStage.IDLE:
                del self._by_address[address]
