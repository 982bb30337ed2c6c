"""Links in memory: ordered delivery after a delay, cuts in one direction, half-open ends.

A cut holds back what is sent across it, as TCP does, and lets it through in order when it
heals, unless the link was closed meanwhile. A process that dies says so to its peers; a
machine that dies says nothing until it is back.
"""

from __future__ import annotations

from collections import deque

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionId,
    ConnectionOpened,
    MessageReceived,
    Purpose,
)
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.network_parts import Delays, Host, Link, Listener, Side

DIAL_TIMEOUT = 2.0
"""Seconds after which a dial that meets silence fails."""
ACCEPT_TRIPS = 3
"""One-way trips until the accepting side has the hello: TCP's handshake and the hello."""


SideKey = tuple[int, ConnectionId]


class Network:
    """All links of a run, the cuts between processes, and the bytes that crossed."""

    def __init__(self, environment: Environment, delays: Delays) -> None:
        self._environment = environment
        self._delays = delays
        self._listeners: dict[Address, list[Listener]] = {}
        self._links: dict[Link, None] = {}
        self._sides: dict[SideKey, tuple[Link, Side]] = {}
        self._dialling: set[SideKey] = set()
        self._cuts: dict[tuple[str, str], int] = {}
        self.bytes_sent: dict[str, int] = {}

    def listen(self, address: Address, listener: Listener) -> None:
        """Let ``listener`` take links dialled to ``address``; several share an address."""
        self._listeners.setdefault(address, []).append(listener)

    def cut(self, origin: str, target: str) -> None:
        """Hold back everything from process ``origin`` to process ``target``."""
        key = (origin, target)
        self._cuts[key] = self._cuts.get(key, 0) + 1

    def heal(self, origin: str, target: str) -> None:
        """Undo one :meth:`cut` and let through what it held back."""
        key = (origin, target)
        left = self._cuts.pop(key) - 1
        if left:
            self._cuts[key] = left
            return
        for link in list(self._links):
            for side in link.sides:
                if (side.host.process, link.other(side).host.process) == key:
                    self._flush(link, side)

    def dial(
        self, host: Host, connection: ConnectionId, address: Address, purpose: Purpose
    ) -> None:
        """Open a link for ``host``; answered by ``ConnectionOpened`` or ``ConnectionFailed``."""
        key = (id(host), connection)
        self._dialling.add(key)
        listeners = self._listeners.get(address, [])
        listener = next((item for item in listeners if item.accepts(purpose)), None)
        if listener is None:
            self._fail_dial(host, connection, 0.0, f"nothing listens on {address}")
        elif self._is_cut(host, listener) or self._is_cut(listener, host):
            self._fail_dial(host, connection, DIAL_TIMEOUT, "dial timed out")
        else:
            taker = listener
            delay = self._delay(host, listener) * ACCEPT_TRIPS
            self._environment.after(delay, lambda: self._accept(host, connection, taker, purpose))

    def send(self, host: Host, connection: ConnectionId, message: Message) -> None:
        """Send a message; dropped silently when the link is gone at this end."""
        found = self._sides.get((id(host), connection))
        if found is None:
            return
        payload = message.SerializeToString(deterministic=True)
        copy = type(message)()
        copy.ParseFromString(payload)
        name = message.DESCRIPTOR.name
        self.bytes_sent[name] = self.bytes_sent.get(name, 0) + len(payload)
        self._push(found[0], found[1], copy)

    def close(self, host: Host, connection: ConnectionId, reason: str) -> None:
        """Close this end after what was sent on it; the other end learns when it can."""
        key = (id(host), connection)
        if key in self._dialling:
            self._dialling.discard(key)
            self._report_closed(host, connection, "dial given up")
            return
        found = self._sides.get(key)
        if found is None:
            return
        link, side = found
        self._end_side(link, side)
        self._push(link, side, reason)
        self._report_closed(host, connection, reason)

    def drop_host(self, host: Host, silent: bool) -> None:
        """End all links of a dead process; a silent death leaves the other ends half open."""
        for link in list(self._links):
            for side in link.sides:
                if side.host is not host or not side.open:
                    continue
                self._end_side(link, side)
                if not silent:
                    self._push(link, side, "peer died")

    def reset_half_open(self, host: Host) -> None:
        """Tell the peers of a life that ended silently that its links are gone."""
        for link in list(self._links):
            for side in link.sides:
                if side.host is host and link.other(side).open:
                    self._push(link, side, "connection reset")

    def _report_closed(self, host: Host, connection: ConnectionId, reason: str) -> None:
        self._environment.after(0.0, lambda: host.deliver(ConnectionClosed(connection, reason)))

    def _fail_dial(self, host: Host, connection: ConnectionId, delay: float, reason: str) -> None:
        self._environment.after(delay, lambda: self._report_failure(host, connection, reason))

    def _report_failure(self, host: Host, connection: ConnectionId, reason: str) -> None:
        key = (id(host), connection)
        if key not in self._dialling:
            return
        self._dialling.discard(key)
        failure = Failure(ErrorKind.CONNECTION_FAILED, reason)
        host.deliver(ConnectionFailed(connection, failure))

    def _accept(
        self, host: Host, connection: ConnectionId, listener: Listener, purpose: Purpose
    ) -> None:
        if not host.alive or (id(host), connection) not in self._dialling:
            return
        acceptor = listener.current_life()
        if self._is_cut(host, listener):
            self._fail_dial(host, connection, DIAL_TIMEOUT, "dial timed out")
        elif acceptor is None:
            self._fail_dial(host, connection, self._delay(listener, host), "connection refused")
        else:
            self._open(host, connection, acceptor, purpose)

    def _open(self, host: Host, connection: ConnectionId, acceptor: Host, purpose: Purpose) -> None:
        link = Link(Side(host, connection), Side(acceptor, acceptor.draw_accepted()))
        self._links[link] = None
        self._register(link, link.acceptor)
        answer = ConnectionOpened(connection, acceptor.introduce(purpose))
        if acceptor.frozen or self._is_cut(acceptor, host):
            self._environment.after(DIAL_TIMEOUT, lambda: self._abandon(link))
        else:
            delay = self._delay(acceptor, host)
            link.acceptor.last_arrival = self._environment.now + delay
            self._environment.after(delay, lambda: self._confirm(link, answer))
        acceptor.deliver(ConnectionOpened(link.acceptor.connection, host.introduce(purpose)))

    def _confirm(self, link: Link, answer: ConnectionOpened) -> None:
        side = link.dialler
        key = (id(side.host), side.connection)
        if key not in self._dialling or not side.host.alive:
            self._abandon(link)
            return
        self._dialling.discard(key)
        if side.open:
            self._register(link, side)
            side.host.deliver(answer)

    def _abandon(self, link: Link) -> None:
        side = link.dialler
        self._report_failure(side.host, side.connection, "dial timed out")
        if side.open:
            self._end_side(link, side)
            self._push(link, side, "dialler gave up")

    def _register(self, link: Link, side: Side) -> None:
        self._sides[(id(side.host), side.connection)] = (link, side)

    def _end_side(self, link: Link, side: Side) -> None:
        side.open = False
        self._sides.pop((id(side.host), side.connection), None)
        if not link.other(side).open:
            self._links.pop(link, None)

    def _push(self, link: Link, side: Side, item: Message | str) -> None:
        receiver = link.other(side)
        if side.outbox or self._is_cut(side.host, receiver.host):
            side.outbox.append(item)
            return
        arrival = self._environment.now + self._delay(side.host, receiver.host)
        side.last_arrival = max(arrival, side.last_arrival)
        self._environment.at(side.last_arrival, lambda: self._arrive(link, receiver, item))

    def _flush(self, link: Link, side: Side) -> None:
        held, side.outbox = side.outbox, deque()
        for item in held:
            self._push(link, side, item)

    def _arrive(self, link: Link, receiver: Side, item: Message | str) -> None:
        if not receiver.open:
            return
        if isinstance(item, str):
            self._end_side(link, receiver)
            receiver.host.deliver(ConnectionClosed(receiver.connection, item))
        else:
            receiver.host.deliver(MessageReceived(receiver.connection, item))

    def _is_cut(self, origin: Host | Listener, target: Host | Listener) -> bool:
        return (origin.process, target.process) in self._cuts

    def _delay(self, origin: Host | Listener, target: Host | Listener) -> float:
        same = origin.zone == target.zone
        base = self._delays.within_zone if same else self._delays.between_zones
        return base * (1.0 + self._delays.jitter * self._environment.random.random())
