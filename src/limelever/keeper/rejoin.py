"""Start of voting of a keeper with an empty disk: a first start, or the loss of its disk.

At a first start every keeper is empty. EMPTY becomes PREPARED once every other keeper was
seen empty or prepared, and PREPARED becomes FORMED once every other was seen prepared or
formed. A formed keeper therefore proves that each keeper was once prepared, so an empty one
beside a formed one has lost its disk.

A keeper that lost its disk has lost its earlier votes. It first waits until all claims begun before
the loss have timed out (``rejoin_wait`` exceeds every client's claim window), then copies the
records of enough formed keepers, and only then votes.
"""

from __future__ import annotations

from msgspec import Struct, field

from limelever.common.sansio import Address
from limelever.keeper.settings import KeeperSettings
from limelever.protocol.keeper_pb2 import KeeperRecord, KeeperState

EMPTY = KeeperState.KEEPER_STATE_EMPTY
PREPARED = KeeperState.KEEPER_STATE_PREPARED
FORMED = KeeperState.KEEPER_STATE_FORMED


class Copy(Struct):
    """The records received so far from one other keeper."""

    records: list[KeeperRecord] = field(default_factory=list)
    complete: bool = False


class Rejoin:
    """Decides when this keeper may prepare, copy and vote. Times are in seconds."""

    def __init__(self, settings: KeeperSettings, state: KeeperState.ValueType) -> None:
        self.state = state
        self._settings = settings
        self._seen: dict[Address, KeeperState.ValueType] = {}
        self._copies: dict[Address, Copy] = {}
        self._wait_until: float | None = None

    def saw(self, other: Address, state: KeeperState.ValueType, now: float) -> bool:
        """Record another keeper's state; return whether a lost disk was detected by it."""
        self._seen[other] = state
        if self.state == EMPTY and state == FORMED and self._wait_until is None:
            self._wait_until = now + self._settings.rejoin_wait
            return True
        return False

    def next_state(self) -> KeeperState.ValueType:
        """Return the state that this keeper may enter; it must be synced before it is reported."""
        others = [self._seen.get(address) for address in self._settings.others]
        if self.state == EMPTY and all(state in (EMPTY, PREPARED) for state in others):
            return PREPARED
        if self.state == PREPARED and all(state in (PREPARED, FORMED) for state in others):
            return FORMED
        return self.state

    def wants_copy(self, other: Address, now: float) -> bool:
        """Return whether to request the records of another keeper."""
        if self.state != EMPTY or self._wait_until is None or now < self._wait_until:
            return False
        copy = self._copies.get(other)
        return self._seen.get(other) == FORMED and (copy is None or not copy.complete)

    def copied(self, other: Address, records: list[KeeperRecord], last: bool) -> None:
        """Add a part of another keeper's records."""
        copy = self._copies.setdefault(other, Copy())
        copy.records.extend(records)
        copy.complete = last

    def abandon(self, other: Address) -> None:
        """Discard an unfinished copy, as the other keeper's snapshot is dropped with the link."""
        copy = self._copies.get(other)
        if copy is not None and not copy.complete:
            del self._copies[other]

    def finished(self) -> list[KeeperRecord] | None:
        """Return all copied records once enough copies are complete, or ``None``."""
        complete = [copy for copy in self._copies.values() if copy.complete]
        if self.state != EMPTY or len(complete) < self._settings.copies_needed:
            return None
        return [record for copy in complete for record in copy.records]
