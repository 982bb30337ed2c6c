"""Links: framed protobuf over a trio stream, and how they are dialled."""

from __future__ import annotations

import ssl

import trio
from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.framing import FrameReader, decode_payload, encode_frame
from limelever.common.sansio import Address, Peer, Purpose, Role
from limelever.common.settings import LinkSettings, seconds
from limelever.protocol.calls_pb2 import CallBody
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.link_pb2 import Hello, HelloAnswer
from limelever.transport.metrics import LINK_BYTES, LINK_FRAMES, LINKS_OPEN
from limelever.transport.streams import (
    detect_dead_machine,
    reason_of,
    receive,
    send_without_waiting,
)

PROTOCOL_VERSION = 1
HELLO_LIMIT_BYTES = 16 * 1024
"""Largest frame before the hello is accepted: an unknown peer costs no more memory than this."""

_RECEIVE_CHUNK = 65536
_CLOSE_GRACE = 0.5

_PURPOSES_WITH_UNSENT = frozenset({Purpose.CALLS.value})
"""Purposes of links whose queued messages are kept beside their frames.

Only calls are handled differently if they never left. Messages of replication and distribution hold
whole configurations, many times the size of their compressed frames.
"""


class LinkIdentity(Struct, frozen=True):
    """How this process names itself in hellos and answers to them."""

    role: Role
    name: str
    zone: str
    credential: str
    identity: str = ""
    incarnation: int = 0


class Link:
    """One open link. Sending never blocks: frames queue up to a bound in bytes."""

    def __init__(self, stream: trio.abc.Stream, settings: LinkSettings) -> None:
        self.peer: Peer | None = None
        self.purpose = ""
        self._stream = stream
        self._settings = settings
        self._reader = FrameReader(min(HELLO_LIMIT_BYTES, settings.frame_limit_bytes))
        self._outgoing: list[bytes] = []
        self._unsent: list[Message] = []
        self._queued_bytes = 0
        self._sending = False
        self._wake = trio.Event()
        self._closing = False
        self._writing_scope = trio.CancelScope()

    @property
    def peer_name(self) -> str:
        """The peer's name for logs."""
        return self.peer.name if self.peer is not None else "(unknown)"

    def count_as(self, purpose: str) -> None:
        """Name the purpose under which this link's bytes are counted."""
        self.purpose = purpose
        self._bytes_in = LINK_BYTES.labels(purpose, "in")
        self._bytes_out = LINK_BYTES.labels(purpose, "out")
        self._frames_in = LINK_FRAMES.labels(purpose, "in")
        self._frames_out = LINK_FRAMES.labels(purpose, "out")

    def lift_limit(self) -> None:
        """Allow frames of the size in the settings, once the peer's hello is accepted."""
        self._reader.limit = self._settings.frame_limit_bytes

    def send(self, message: Message) -> bool:
        """Send or queue a message; ``False`` when the peer reads too slowly for the bound."""
        frame = encode_frame(message, self._settings.compress_from_bytes)
        self._frames_out.inc()
        if not self._queued_bytes and not self._closing:
            # Only now: it must not overtake what the writing task still has, also within a send.
            taken = send_without_waiting(self._stream, frame)
            self._bytes_out.inc(taken)
            frame = frame[taken:]
        if not frame:
            return True
        self._queued_bytes += len(frame)
        self._outgoing.append(frame)
        if self.purpose in _PURPOSES_WITH_UNSENT:
            self._unsent.append(_without_data(message))
        self._wake.set()
        return self._queued_bytes <= self._settings.send_queue_bytes

    def take_unsent(self) -> tuple[Message, ...]:
        """Drop the queued frames, and return their messages: the peer can't have received them.

        Messages that are being written, or were, are not among them. Links for purposes other than
        calls return none.
        """
        unsent = tuple(self._unsent)
        self._queued_bytes -= sum(map(len, self._outgoing))
        self._outgoing.clear()
        self._unsent.clear()
        return unsent

    def finish(self) -> None:
        """Close after what is queued has been sent."""
        self._closing = True
        self._wake.set()

    def abort(self) -> None:
        """Drop what is queued and close."""
        self.take_unsent()
        self.finish()
        self._writing_scope.cancel()

    async def write_queued(self) -> None:
        """Send what is queued, until the link is finished, aborted or breaks."""
        with self._writing_scope:
            while True:
                if self._outgoing:
                    await self.send_pending()
                    continue
                if self._closing:
                    return
                self._wake = trio.Event()
                await self._wake.wait()

    async def send_pending(self) -> None:
        """Send what is queued now; for the hello, before the writing task runs."""
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        self._unsent.clear()
        self._sending = True
        await self._stream.send_all(data)
        self._sending = False
        self._queued_bytes -= len(data)
        self._bytes_out.inc(len(data))

    async def receive(self) -> Message | Failure | None:
        """Return the next message, a failure for a malformed one, ``None`` at the end."""
        while True:
            message = self.receive_nowait()
            if message is not None:
                return message
            data = await receive(self._stream, min(_RECEIVE_CHUNK, self._reader.limit))
            if not data:
                return None
            self._bytes_in.inc(len(data))
            self._reader.feed(data)

    def receive_nowait(self) -> Message | Failure | None:
        """Return a message whose bytes are already here, a failure, or ``None``.

        Frames are parsed one at a time: many small compressed ones in a chunk would otherwise
        take many times the limit of one when inflated together.
        """
        payload = self._reader.next_payload()
        if payload is None or isinstance(payload, Failure):
            return payload
        self._frames_in.inc()
        return decode_payload(payload, self._reader.limit)

    async def flush_and_close(self) -> None:
        """Send what is queued within a short grace, then close.

        A writing task that was cancelled within a send may have left part of a frame: nothing
        may follow that, or the peer would take bytes of one message for another.
        """
        with trio.move_on_after(_CLOSE_GRACE) as scope:
            scope.shield = True
            try:
                if not self._sending:
                    await self.send_pending()
                await self._stream.aclose()
            except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
                pass
        await trio.aclose_forcefully(self._stream)

    def opened(self) -> None:
        """Count the link as open."""
        LINKS_OPEN.labels(self.purpose).inc()

    def closed(self) -> None:
        """Count the link as closed."""
        LINKS_OPEN.labels(self.purpose).dec()


def _without_data(message: Message) -> Message:
    """Return a part of a call's body without its bytes, which the queued frame holds."""
    if isinstance(message, CallBody):
        return CallBody(stream=message.stream, end=message.end)
    return message


async def dial(
    address: Address,
    purpose: Purpose,
    identity: LinkIdentity,
    settings: LinkSettings,
    context: ssl.SSLContext | None,
) -> Link | Failure:
    """Open a link to an address; return it with its peer, or the reason it failed."""
    link: Link | None = None
    stream: trio.abc.Stream | None = None
    reason = "timed out"
    with trio.move_on_after(seconds(settings.dial_timeout_ms)):
        try:
            stream = await _connect(address, settings, context)
            link = Link(stream, settings)
            link.count_as(purpose.value)
            answer = await _say_hello(link, purpose, identity, context)
            if isinstance(answer, Link):
                return answer
            await link.flush_and_close()
            return answer
        except (OSError, trio.BrokenResourceError, ssl.SSLError) as error:
            reason = reason_of(error)
            if isinstance(error.__cause__, ConnectionError):
                reason += _tls_hint(context)
        except BaseException:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
            raise
    if link is not None:
        await link.flush_and_close()
    return Failure(ErrorKind.CONNECTION_FAILED, f"{address}: {reason}")


async def _connect(
    address: Address, settings: LinkSettings, context: ssl.SSLContext | None
) -> trio.abc.Stream:
    stream = await trio.open_tcp_stream(address.host, address.port)
    detect_dead_machine(stream, settings.unacknowledged_ms)
    if context is None:
        return stream
    return trio.SSLStream(stream, context, server_hostname=address.host, https_compatible=True)


def _tls_hint(context: ssl.SSLContext | None) -> str:
    """Say where to look: in TLS 1.3 a certificate is refused after the dialling side is done.

    trio closes then without sending TLS's alert, so only the other side knows the reason.
    """
    return "; if it refused this certificate, its event 1012 says why" if context else ""


async def _say_hello(
    link: Link, purpose: Purpose, identity: LinkIdentity, context: ssl.SSLContext | None
) -> Link | Failure:
    hello = Hello(
        protocol=PROTOCOL_VERSION,
        role=identity.role.value,
        name=identity.name,
        zone=identity.zone,
        credential=identity.credential,
        purpose=purpose.value,
        identity=identity.identity,
        feature_level=CURRENT_LEVEL,
    )
    link.send(hello)
    await link.send_pending()
    answer = await link.receive()
    if answer is None:
        reason = f"closed before it answered the hello{_tls_hint(context)}"
        return Failure(ErrorKind.CONNECTION_FAILED, reason)
    if isinstance(answer, Failure):
        return answer
    if not isinstance(answer, HelloAnswer):
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "answered the hello with another message")
    if not answer.accepted:
        return Failure(_kind(answer.kind), answer.reason)
    link.lift_limit()
    role = Role(answer.role) if answer.role in set(Role) else Role.SOURCE
    link.peer = Peer(
        role,
        answer.name,
        answer.zone,
        purpose,
        answer.identity,
        answer.incarnation,
        answer.feature_level,
    )
    return link


def _kind(name: str) -> ErrorKind:
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.PROTOCOL_VIOLATION
