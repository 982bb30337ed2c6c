"""The contract between sans-io cores and the shells that run them.

A core takes one event with the time and returns outputs. It never reads a clock, a socket,
a file or a global random number, so that the simulator runs the shipped code under virtual
time. The trio shell in ``limelever.transport.runner`` and the simulator's host both carry
out the outputs defined here.

Times are seconds of a monotonic clock, as ``float``. Connection identifiers are unique
within a core: those of accepted connections are odd and drawn by the shell, those of dialled
connections are even and drawn by the core (see :class:`DialledConnections`).
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol, runtime_checkable

from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.errors import Failure

ConnectionId = int


class Role(StrEnum):
    """Role of a process, or of one of the cores that it hosts.

    A node hosts a proxy and an agent, a control process a source and a relay.
    """

    SOURCE = "source"
    RELAY = "relay"
    PROXY = "proxy"
    AGENT = "agent"
    OPERATOR = "operator"
    NODE = "node"
    CONTROL = "control"


class Purpose(StrEnum):
    """What a link between two processes carries; named in the dialling side's hello."""

    REPLICATION = "replication"
    SUBSCRIPTION = "subscription"
    ENDPOINTS = "endpoints"
    REGISTRATION = "registration"
    CALLS = "calls"
    KEEPER = "keeper"


class Address(Struct, frozen=True):
    """A TCP address: IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, an IPv6 host in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Peer(Struct, frozen=True):
    """The other end of a link, as its hello (or answer to ours) states it.

    ``feature_level`` is a level of :mod:`limelever.protocol.feature_level`, 0 for a build that
    states none.
    """

    role: Role
    name: str
    zone: str
    purpose: Purpose
    identity: str = ""
    incarnation: int = 0
    feature_level: int = 0


# --- events: what a core is told -----------------------------------------------------------


class Event(Struct, frozen=True):
    """Base of everything a core is told."""


class Started(Event, frozen=True):
    """First event of every core; dials and timers begin here."""


class ConnectionOpened(Event, frozen=True):
    """A link is up and its credentials were accepted."""

    connection: ConnectionId
    peer: Peer


class ConnectionFailed(Event, frozen=True):
    """A dial failed; the identifier is spent."""

    connection: ConnectionId
    failure: Failure


class ConnectionClosed(Event, frozen=True):
    """A link that was open is gone; also follows the core's own ``CloseConnection``.

    ``unsent`` are messages that the peer can't have received, as part of their frame never left.
    """

    connection: ConnectionId
    reason: str
    unsent: tuple[Message, ...] = ()


class MessageReceived(Event, frozen=True):
    """A message (the body of one frame) arrived on a link."""

    connection: ConnectionId
    message: Message


class WriteCompleted(Event, frozen=True):
    """The disk write with this token is synced, and so are all earlier ones."""

    token: int


class DeadlineReached(Event, frozen=True):
    """The time returned by ``next_deadline`` has come."""


# --- outputs: what a core asks for ----------------------------------------------------------


class Output(Struct, frozen=True):
    """Base of everything a core asks its shell to do."""


class OpenConnection(Output, frozen=True):
    """Dial an address; answered by ``ConnectionOpened`` or ``ConnectionFailed``."""

    connection: ConnectionId
    address: Address
    purpose: Purpose


class SendMessage(Output, frozen=True):
    """Send a message on a link; dropped silently when the link is already gone."""

    connection: ConnectionId
    message: Message


class CloseConnection(Output, frozen=True):
    """Close a link after what was sent on it before; answered by ``ConnectionClosed``."""

    connection: ConnectionId
    reason: str


class AppendLog(Output, frozen=True):
    """Append records to the core's log and sync; answered by ``WriteCompleted``."""

    token: int
    records: tuple[bytes, ...]


class TruncateLog(Output, frozen=True):
    """Keep only the first ``keep_records`` records of the log; answered by ``WriteCompleted``."""

    token: int
    keep_records: int


class ResetLog(Output, frozen=True):
    """Replace the whole log by these records, atomically; answered by ``WriteCompleted``."""

    token: int
    records: tuple[bytes, ...]


class ReplaceFile(Output, frozen=True):
    """Replace a named file atomically and sync; answered by ``WriteCompleted``."""

    token: int
    name: str
    content: bytes


class LogEvent(Output, frozen=True):
    """Write a numbered event of ``limelever.common.events`` to the log."""

    code: int
    fields: dict[str, object] = field(default_factory=dict)


class StopProcess(Output, frozen=True):
    """The core cannot go on safely: stop the process with this failure."""

    failure: Failure


class Recovered(Struct, frozen=True):
    """What a disk gave back at start: the log's records in order, and the named files."""

    records: tuple[bytes, ...] = ()
    files: dict[str, bytes] = field(default_factory=dict)


@runtime_checkable
class Core(Protocol):
    """A sans-io protocol core."""

    def handle(self, event: Event, now: float) -> Sequence[Output]:
        """Take one event at time ``now`` (seconds, monotonic) and return what is to be done."""

    def next_deadline(self) -> float | None:
        """Return the time at which ``DeadlineReached`` is wanted, or ``None``."""


class DialledConnections:
    """Draws identifiers for dialled connections: even, never reused."""

    def __init__(self) -> None:
        self._last = 0

    def draw(self) -> ConnectionId:
        """Return a fresh identifier."""
        self._last += 2
        return self._last
