"""State that the publisher keeps of one subscriber."""

from __future__ import annotations

from collections import deque
from enum import Enum, auto

from msgspec import Struct, field

from limelever.common.sansio import ConnectionId, Peer, Role
from limelever.publisher.rollout import VersionHolders
from limelever.publisher.scope import Scope


class SessionState(Enum):
    """Phase of a subscription."""

    OPENED = auto()
    COMPARING = auto()
    FOLLOWING = auto()


class Session(Struct):
    """One subscriber.

    ``sent_version`` is the version of the closure sent last, ``told_version`` the last one that
    any message announced, ``in_force`` the last one known to be in force at the subscriber.
    ``unacknowledged`` are the versions sent and not yet acknowledged.
    """

    connection: ConnectionId
    peer: Peer
    state: SessionState = SessionState.OPENED
    scope: Scope = Scope()
    held_version: int = 0
    sent_version: int = 0
    told_version: int = 0
    in_force: int = 0
    rejections: int = 0
    unacknowledged: deque[int] = field(default_factory=deque)
    reported: tuple[VersionHolders, ...] = ()

    @property
    def counts_in_rollout(self) -> bool:
        """Whether the subscriber is a proxy or an agent, not a publisher itself."""
        return self.peer.role in (Role.PROXY, Role.AGENT)

    def sent(self, version: int) -> None:
        """Record that a delta or snapshot to ``version`` was sent."""
        self.state = SessionState.FOLLOWING
        self.sent_version = version
        self.told_version = version
        self.unacknowledged.append(version)

    def acknowledge(self, version: int) -> None:
        """Record that ``version`` is in force at the subscriber."""
        while self.unacknowledged and self.unacknowledged[0] <= version:
            self.unacknowledged.popleft()
        self.in_force = max(self.in_force, min(version, self.sent_version))
        self.rejections = 0
