"""The parts of the network in memory: who is linked, the two ends of a link, and delays."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from google.protobuf.message import Message

from limelever.common.sansio import ConnectionId, Event, Peer, Purpose


class Host(Protocol):
    """One life of a core: what the network needs of it."""

    @property
    def process(self) -> str:
        """Name of the process, which cuts refer to."""

    @property
    def zone(self) -> str:
        """Zone, which the delays depend on."""

    @property
    def alive(self) -> bool:
        """Whether this life goes on."""

    @property
    def frozen(self) -> bool:
        """Whether the process is stopped by the scheduler: it answers no hello."""

    def deliver(self, event: Event) -> None:
        """Hand an event to the core."""

    def draw_accepted(self) -> ConnectionId:
        """Return a fresh odd connection identifier."""

    def introduce(self, purpose: Purpose) -> Peer:
        """Return how the hello names this side."""


class Listener(Protocol):
    """A node that takes links, through all its lives."""

    @property
    def process(self) -> str:
        """Name of the process, which cuts refer to."""

    @property
    def zone(self) -> str:
        """Zone, which the delays depend on."""

    def accepts(self, purpose: Purpose) -> bool:
        """Return whether the node takes links of this purpose."""

    def current_life(self) -> Host | None:
        """Return the running life, or ``None``."""


@dataclass(slots=True)
class Side:
    """One end of a link; ``outbox`` holds what a cut keeps back."""

    host: Host
    connection: ConnectionId
    open: bool = True
    last_arrival: float = 0.0
    outbox: deque[Message | str] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class Link:
    """A link between two nodes."""

    dialler: Side
    acceptor: Side

    def other(self, side: Side) -> Side:
        """Return the opposite end."""
        return self.acceptor if side is self.dialler else self.dialler

    @property
    def sides(self) -> tuple[Side, Side]:
        """Return both ends."""
        return (self.dialler, self.acceptor)


@dataclass(frozen=True, slots=True)
class Delays:
    """One-way delays in seconds, with the relative jitter drawn on each message."""

    within_zone: float = 0.0002
    between_zones: float = 0.0005
    jitter: float = 0.5
