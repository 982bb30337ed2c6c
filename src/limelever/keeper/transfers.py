"""Snapshots of a keeper's records, sent in parts to keepers that lost their disk."""

from __future__ import annotations

from limelever.common.sansio import ConnectionId
from limelever.keeper.store import ClaimStore
from limelever.protocol.keeper_pb2 import (
    KeeperRecord,
    KeeperState,
    TransferAnswer,
    TransferRequest,
)

TRANSFER_PART = 500


class Transfers:
    """Answers transfer requests; all parts are of the snapshot taken for the first part."""

    def __init__(self, store: ClaimStore) -> None:
        self._store = store
        self._pictures: dict[ConnectionId, list[KeeperRecord]] = {}

    def forget(self, connection: ConnectionId) -> None:
        """Remove the snapshot of a closed link."""
        self._pictures.pop(connection, None)

    def answer(
        self, connection: ConnectionId, request: TransferRequest, state: KeeperState.ValueType
    ) -> TransferAnswer:
        """Return the requested part, with this keeper's state."""
        if request.after == 0:
            self._pictures[connection] = list(self._store.records())
        picture = self._pictures.get(connection, [])
        part = picture[request.after : request.after + TRANSFER_PART]
        following = request.after + len(part)
        answer = TransferAnswer(
            state=state,
            picture=True,
            records=part,
            next=following,
            last=following >= len(picture),
        )
        if answer.last:
            self.forget(connection)
        return answer
