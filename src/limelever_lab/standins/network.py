"""All links of a fleet in one process: a TCP link for each pair that dials, broken by name.

The control port takes one command a line and answers ``ok`` or ``error``: ``isolate NAME [PEER]``
(no byte from or to the process), ``deafen NAME [PEER]`` (none reaches it), ``mute NAME [PEER]``
(none that it sends arrives), ``cut NAME [PEER]`` (connections are dropped), ``heal`` (undo all).
But for ``cut``, broken links stay open and are silent, as when a switch fails: the ends are not
told.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path

import trio

from limelever_lab.standins.delay_link import STREAM_ERRORS, DelayLink, Direction

HOST = "127.0.0.1"
HEAL = "heal"
COMMAND_BYTES = 4096

Handler = Callable[[trio.SocketStream], Awaitable[None]]


class NetworkFault(StrEnum):
    """What happens to the links of one process."""

    ISOLATE = "isolate"
    DEAFEN = "deafen"
    MUTE = "mute"
    CUT = "cut"


FAULT_NAMES = frozenset(fault.value for fault in NetworkFault)


@dataclass(frozen=True, slots=True)
class NetworkLink:
    """What ``dialler`` sends to ``listen_port`` reaches ``target`` at ``target_port``."""

    dialler: str
    target: str
    listen_port: int
    target_port: int


@dataclass(frozen=True, slots=True)
class NetworkSettings:
    """The links, the control port, and the one-way delay in seconds."""

    links: tuple[NetworkLink, ...]
    control_port: int
    delay: float = 0.0


def write_links(path: Path, links: Iterable[NetworkLink]) -> None:
    """Write links to a JSON file."""
    path.write_text(json.dumps([asdict(link) for link in links]))


def read_links(path: Path) -> tuple[NetworkLink, ...]:
    """Read links from a JSON file; raises ``ValueError`` or ``TypeError`` for a damaged one."""
    return tuple(NetworkLink(**fields) for fields in json.loads(path.read_text()))


class Network:
    """The links by name, and the commands that break them."""

    def __init__(self, settings: NetworkSettings) -> None:
        self.links = {
            link: DelayLink(HOST, link.target_port, settings.delay) for link in settings.links
        }

    def command(self, line: str) -> bool:
        """Carry out one control command; return whether it was understood."""
        match line.split():
            case [word] if word == HEAL:
                for link in self.links.values():
                    link.heal()
                return True
            case [word, name, *peers] if word in FAULT_NAMES and len(peers) <= 1:
                return self._strike(NetworkFault(word), name, peers)
        return False

    def _strike(self, fault: NetworkFault, name: str, peers: list[str]) -> bool:
        """Break the links of a process; return whether it has any."""
        struck = False
        for place, link in self.links.items():
            ends = (place.dialler, place.target)
            if name in ends and all(peer in ends for peer in peers):
                outward = Direction.FORWARD if place.dialler == name else Direction.BACKWARD
                _break(link, fault, outward)
                struck = True
        return struck


def _break(link: DelayLink, fault: NetworkFault, outward: Direction) -> None:
    """Break a link of a process whose own bytes flow ``outward``."""
    if fault is NetworkFault.CUT:
        link.cut()
    if fault in (NetworkFault.ISOLATE, NetworkFault.MUTE):
        link.silence(outward)
    if fault in (NetworkFault.ISOLATE, NetworkFault.DEAFEN):
        link.silence(outward.opposite)


async def serve_network(settings: NetworkSettings, stop: trio.Event) -> None:
    """Run all links and the control port until ``stop`` is set."""
    network = Network(settings)
    async with trio.open_nursery() as nursery:
        for place, link in network.links.items():
            listeners = await trio.open_tcp_listeners(place.listen_port, host=HOST)
            nursery.start_soon(trio.serve_listeners, _guarded(link.forward), listeners)
        control = await trio.open_tcp_listeners(settings.control_port, host=HOST)
        nursery.start_soon(trio.serve_listeners, _guarded(_control(network)), control)
        await stop.wait()
        nursery.cancel_scope.cancel()


def _guarded(handler: Handler) -> Handler:
    """Return a handler for which a broken connection is the end of that connection only."""

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await handler(stream)
        except* STREAM_ERRORS:
            pass

    return handle


def _control(network: Network) -> Handler:
    """Return the handler of control connections, which takes a command a line."""

    async def handle(stream: trio.SocketStream) -> None:
        pending = b""
        while len(pending) < COMMAND_BYTES:
            data = await stream.receive_some(COMMAND_BYTES)
            if not data:
                return
            pending += data
            *lines, pending = pending.split(b"\n")
            for line in lines:
                understood = network.command(line.decode(errors="replace"))
                await stream.send_all(b"ok\n" if understood else b"error\n")

    return handle


async def send_command(control_port: int, command: str) -> bool:
    """Send one command to a network's control port; return whether it was understood."""
    stream = await trio.open_tcp_stream(HOST, control_port)
    async with stream:
        await stream.send_all(command.encode() + b"\n")
        answer = await stream.receive_some(COMMAND_BYTES)
    return answer == b"ok\n"
