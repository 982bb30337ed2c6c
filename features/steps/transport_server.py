"""A link server over loopback in a thread, with a core that records, and a plain client."""

from __future__ import annotations

import logging
import resource
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio
from google.protobuf.message import Message

from limelever.common.errors import Failure
from limelever.common.framing import FrameReader, decode_payload, encode_frame
from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    ConnectionOpened,
    MessageReceived,
    Purpose,
    Role,
    SendMessage,
)
from limelever.common.settings import AcceptedCredential, LinkSettings, TlsSettings
from limelever.protocol.link_pb2 import Hello, HelloAnswer
from limelever.transport.links import PROTOCOL_VERSION, Link, LinkIdentity
from limelever.transport.listener import LinkListener
from limelever.transport.log import LOGGER
from limelever.transport.runner import CoreRunner
from limelever.transport.tls import server_context

CREDENTIAL = "agent-credential-of-the-test"
PROXY_CREDENTIAL = "proxy-credential-of-the-test"
FRAME_LIMIT = 16 << 20
HELLO_TIMEOUT_MS = 400
PATIENCE = 20.0
PAGE = resource.getpagesize()


def resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    code: int
    fields: dict[str, Any]


class EventLog(logging.Handler):
    """Collects the numbered events of this process while it is open."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[LoggedEvent] = []
        self._former_level = LOGGER.level
        LOGGER.setLevel(logging.DEBUG)
        LOGGER.addHandler(self)

    def emit(self, record: logging.LogRecord) -> None:
        self.events.append(LoggedEvent(record.kind.code, record.fields))

    def close(self) -> None:
        LOGGER.removeHandler(self)
        LOGGER.setLevel(self._former_level)
        super().close()

    def of(self, code: int) -> list[LoggedEvent]:
        return [event for event in self.events if event.code == code]


def wait_for(what: Callable[[], Any], limit: float = PATIENCE) -> Any:
    """Poll until ``what`` returns something true; return it, or its last value."""
    waited = threading.Event()
    for _ in range(int(limit / 0.02)):
        found = what()
        if found:
            return found
        waited.wait(0.02)
    return what()


class RecordingCore:
    """Records what it is told and the memory at each message; says whom a message goes to."""

    def __init__(self) -> None:
        self.opened: dict[int, str] = {}
        self.levels: dict[str, int] = {}
        self.closed: dict[int, str] = {}
        self.messages: dict[str, list[Message]] = {}
        self.largest_memory = 0

    def handle(self, event: Any, now: float) -> list[Any]:
        if isinstance(event, ConnectionOpened):
            self.opened[event.connection] = event.peer.name
            self.levels[event.peer.name] = event.peer.feature_level
        elif isinstance(event, ConnectionClosed):
            self.closed[event.connection] = event.reason
        elif isinstance(event, MessageReceived):
            self.largest_memory = max(self.largest_memory, resident_bytes())
            self.messages.setdefault(self.opened[event.connection], []).append(event.message)
        return []

    def next_deadline(self) -> None:
        return None

    def connection_of(self, name: str) -> int:
        return next(number for number, peer in self.opened.items() if peer == name)


class LinkServer:
    """A listener for registrations, with the shipped listener, links and runner."""

    def __init__(
        self, connections: int = 16, tls: TlsSettings | None = None, hello_connections: int = 1024
    ) -> None:
        self.core = RecordingCore()
        self.log = EventLog()
        self._tls = tls or TlsSettings()
        self._settings = LinkSettings(
            frame_limit_bytes=FRAME_LIMIT,
            hello_timeout_ms=HELLO_TIMEOUT_MS,
            connections=connections,
            hello_connections=hello_connections,
        )
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._serve,), daemon=True)
        self._thread.start()
        assert self._ready.wait(PATIENCE), "the link server did not start"

    def stop(self) -> None:
        trio.from_thread.run_sync(self._nursery.cancel_scope.cancel, trio_token=self._token)
        self._thread.join(PATIENCE)
        self.log.close()

    def link_of(self, name: str) -> Link:
        assert wait_for(lambda: name in self.core.opened.values())
        return self._runner._links[self.core.connection_of(name)]

    def send(self, name: str, message: Message, times: int) -> None:
        def post() -> None:
            number = self.core.connection_of(name)
            for _ in range(times):
                self._runner._perform(SendMessage(number, message))

        trio.from_thread.run_sync(post, trio_token=self._token)

    def end_purpose(self, purpose: Purpose) -> None:
        end = partial(self.listener.runners.pop, purpose)
        trio.from_thread.run_sync(end, trio_token=self._token)

    async def _serve(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        identity = LinkIdentity(Role.RELAY, "relay-1", "zone-a", "unused")
        context = server_context(self._tls)
        assert not isinstance(context, Failure), context
        self._runner = CoreRunner(
            self.core,
            identity=identity,
            settings=self._settings,
            context=None,
            on_output=lambda output: None,
            on_failure=lambda failure: None,
        )
        self.listener = listener = LinkListener(
            identity=identity,
            settings=self._settings,
            accepted=(
                AcceptedCredential(role=Role.AGENT, credential=CREDENTIAL),
                AcceptedCredential(role=Role.PROXY, credential=PROXY_CREDENTIAL),
            ),
            context=context,
            runners={Purpose.REGISTRATION: self._runner},
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._runner.run)
            bound = await nursery.start(listener.serve, Address("127.0.0.1", 0), nursery)
            assert isinstance(bound, Address), bound
            self.address = bound
            self._ready.set()


class PlainClient:
    """A blocking client of the link protocol that may break every rule of it."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port))
        self._socket.settimeout(PATIENCE)
        self._reader = FrameReader(FRAME_LIMIT)

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    def receive(self) -> Message | None:
        """Return the next message, ``None`` once the server has closed the connection."""
        while True:
            payload = self._reader.next_payload()
            if isinstance(payload, bytes):
                message = decode_payload(payload)
                assert isinstance(message, Message), message
                return message
            assert payload is None, payload
            try:
                data = self._socket.recv(65536)
            except ConnectionError:
                return None
            if not data:
                return None
            self._reader.feed(data)

    def close(self) -> None:
        self._socket.close()


def hello(name: str, **changes: Any) -> Hello:
    message = Hello(
        protocol=PROTOCOL_VERSION,
        role="agent",
        name=name,
        zone="zone-a",
        credential=CREDENTIAL,
        purpose="registration",
    )
    for field, value in changes.items():
        setattr(message, field, value)
    return message


def member(address: Address, name: str) -> PlainClient:
    """Open a link as an agent does."""
    client = PlainClient(address)
    client.send(encode_frame(hello(name)))
    answer = client.receive()
    assert isinstance(answer, HelloAnswer) and answer.accepted, answer
    return client
