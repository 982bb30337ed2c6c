"""Links of a keeper to the other keepers, used only until it votes."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from limelever.common.sansio import (
    Address,
    ConnectionId,
    DialledConnections,
    LogEvent,
    OpenConnection,
    Output,
    Purpose,
    SendMessage,
)
from limelever.keeper import events
from limelever.keeper.rejoin import Rejoin
from limelever.protocol.keeper_pb2 import TransferAnswer, TransferRequest


class OtherKeeper(Struct):
    """The link to another keeper."""

    connection: ConnectionId | None = None
    open: bool = False
    copying: bool = False


class OtherKeepers:
    """Requests the states of the other keepers and, after the loss of a disk, their claims."""

    def __init__(self, addresses: Iterable[Address], rejoin: Rejoin, rejoin_wait: float) -> None:
        self._rejoin = rejoin
        self._rejoin_wait = rejoin_wait
        self._connections = DialledConnections()
        self._others = {address: OtherKeeper() for address in addresses}

    def poll(self, now: float) -> list[Output]:
        """Dial the other keepers, or send requests on the open links."""
        outputs: list[Output] = []
        for address, other in self._others.items():
            if other.connection is None:
                other.connection = self._connections.draw()
                outputs.append(OpenConnection(other.connection, address, Purpose.KEEPER))
            elif other.open and not other.copying:
                other.copying = self._rejoin.wants_copy(address, now)
                request = TransferRequest(state_only=not other.copying)
                outputs.append(SendMessage(other.connection, request))
        return outputs

    def opened(self, connection: ConnectionId) -> list[Output]:
        """Request the state of the keeper at the other end, if the link is one of these."""
        for other in self._others.values():
            if other.connection == connection:
                other.open = True
                return [SendMessage(connection, TransferRequest(state_only=True))]
        return []

    def lost(self, connection: ConnectionId) -> None:
        """Reset a lost link, and discard an unfinished copy."""
        for address, other in self._others.items():
            if other.connection == connection:
                other.connection = None
                other.open = False
                other.copying = False
                self._rejoin.abandon(address)

    def answered(
        self, connection: ConnectionId, answer: TransferAnswer, now: float
    ) -> list[Output]:
        """Handle a state or a part of a copy, and request the next part."""
        outputs: list[Output] = []
        for address, other in self._others.items():
            if other.connection != connection:
                continue
            if self._rejoin.saw(address, answer.state, now):
                fields: dict[str, object] = {"wait_seconds": self._rejoin_wait}
                outputs.append(LogEvent(events.KEEPER_REJOINING, fields))
            if other.copying and answer.picture:
                self._rejoin.copied(address, list(answer.records), answer.last)
                other.copying = not answer.last
                if not answer.last:
                    outputs.append(SendMessage(connection, TransferRequest(after=answer.next)))
        return outputs
