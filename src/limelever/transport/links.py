"""Links: framed protobuf over a trio stream, with the hello that opens each of them."""

from __future__ import annotations

import hmac
import ssl
from collections import deque
from dataclasses import dataclass

import trio
from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.framing import FrameReader, decode_payload, encode_frame
from limelever.common.sansio import Address, Peer, Purpose, Role
from limelever.common.settings import AcceptedCredential, LinkSettings, seconds
from limelever.protocol.link_pb2 import Hello, HelloAnswer
from limelever.transport.metrics import LINK_BYTES, LINK_FRAMES, LINKS_OPEN

PROTOCOL_VERSION = 1
_RECEIVE_CHUNK = 65536
_CLOSE_GRACE = 2.0


@dataclass(frozen=True, slots=True)
class LinkIdentity:
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
        self._reader = FrameReader(settings.frame_limit_bytes)
        self._received: deque[Message] = deque()
        self._outgoing: list[bytes] = []
        self._queued_bytes = 0
        self._wake = trio.Event()
        self._closing = False
        self._writing_scope = trio.CancelScope()

    def count_as(self, purpose: str) -> None:
        """Name the purpose under which this link's bytes are counted."""
        self.purpose = purpose
        self._bytes_in = LINK_BYTES.labels(purpose, "in")
        self._bytes_out = LINK_BYTES.labels(purpose, "out")
        self._frames_in = LINK_FRAMES.labels(purpose, "in")
        self._frames_out = LINK_FRAMES.labels(purpose, "out")

    def send(self, message: Message) -> bool:
        """Queue a message; return ``False`` when the peer reads too slowly for the bound."""
        frame = encode_frame(message, self._settings.compress_from_bytes)
        self._queued_bytes += len(frame)
        self._outgoing.append(frame)
        self._frames_out.inc()
        self._wake.set()
        return self._queued_bytes <= self._settings.send_queue_bytes

    def finish(self) -> None:
        """Close after what is queued has been sent."""
        self._closing = True
        self._wake.set()

    def abort(self) -> None:
        """Drop what is queued and close."""
        self._outgoing.clear()
        self._queued_bytes = 0
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
        await self._stream.send_all(data)
        self._queued_bytes -= len(data)
        self._bytes_out.inc(len(data))

    async def receive(self) -> Message | Failure | None:
        """Return the next message, a failure for a malformed one, ``None`` at the end."""
        while not self._received:
            data = await self._stream.receive_some(_RECEIVE_CHUNK)
            if not data:
                return None
            self._bytes_in.inc(len(data))
            payloads = self._reader.feed(data)
            if isinstance(payloads, Failure):
                return payloads
            for payload in payloads:
                message = decode_payload(payload, self._settings.frame_limit_bytes)
                if isinstance(message, Failure):
                    return message
                self._received.append(message)
            self._frames_in.inc(len(payloads))
        return self._received.popleft()

    def receive_nowait(self) -> Message | None:
        """Return a message that is already here, or ``None``."""
        return self._received.popleft() if self._received else None

    async def flush_and_close(self) -> None:
        """Send what is queued within a short grace, then close."""
        with trio.move_on_after(_CLOSE_GRACE) as scope:
            scope.shield = True
            try:
                if self._outgoing:
                    await self._stream.send_all(b"".join(self._outgoing))
                    self._outgoing.clear()
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
            stream = await _connect(address, context)
            link = Link(stream, settings)
            link.count_as(purpose.value)
            answer = await _say_hello(link, purpose, identity)
            if isinstance(answer, Link):
                return answer
            reason = answer.reason
            await link.flush_and_close()
            return answer
        except (OSError, trio.BrokenResourceError, ssl.SSLError) as error:
            reason = str(error) or type(error).__name__
        except BaseException:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)
            raise
    if link is not None:
        await link.flush_and_close()
    return Failure(ErrorKind.CONNECTION_FAILED, f"{address}: {reason}")


async def _connect(address: Address, context: ssl.SSLContext | None) -> trio.abc.Stream:
    stream = await trio.open_tcp_stream(address.host, address.port)
    if context is None:
        return stream
    return trio.SSLStream(stream, context, server_hostname=address.host, https_compatible=True)


async def _say_hello(link: Link, purpose: Purpose, identity: LinkIdentity) -> Link | Failure:
    hello = Hello(
        protocol=PROTOCOL_VERSION,
        role=identity.role.value,
        name=identity.name,
        zone=identity.zone,
        credential=identity.credential,
        purpose=purpose.value,
        identity=identity.identity,
    )
    link.send(hello)
    await link.send_pending()
    answer = await link.receive()
    if answer is None:
        return Failure(ErrorKind.CONNECTION_FAILED, "closed before it answered the hello")
    if isinstance(answer, Failure):
        return answer
    if not isinstance(answer, HelloAnswer):
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "answered the hello with another message")
    if not answer.accepted:
        return Failure(_kind(answer.kind), answer.reason)
    role = Role(answer.role) if answer.role in set(Role) else Role.SOURCE
    link.peer = Peer(role, answer.name, answer.zone, purpose, answer.identity, answer.incarnation)
    return link


def _kind(name: str) -> ErrorKind:
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.PROTOCOL_VIOLATION


async def accept(
    stream: trio.abc.Stream,
    identity: LinkIdentity,
    settings: LinkSettings,
    accepted: tuple[AcceptedCredential, ...],
    purposes: frozenset[Purpose],
) -> Link | Failure:
    """Read and answer a hello; return the link with its peer, or why it was refused."""
    link = Link(stream, settings)
    link.count_as("hello")
    verdict: Peer | Failure = Failure(ErrorKind.PROTOCOL_VIOLATION, "no hello in time")
    with trio.move_on_after(seconds(settings.hello_timeout_ms)):
        verdict = judge_hello(await link.receive(), accepted, purposes)
    if isinstance(verdict, Failure):
        link.send(HelloAnswer(accepted=False, kind=verdict.kind.value, reason=verdict.reason))
        await link.flush_and_close()
        return verdict
    link.peer = verdict
    link.count_as(verdict.purpose.value)
    link.send(
        HelloAnswer(
            accepted=True,
            name=identity.name,
            zone=identity.zone,
            incarnation=identity.incarnation,
            role=identity.role.value,
            identity=identity.identity,
        )
    )
    return link


def judge_hello(
    message: Message | Failure | None,
    accepted: tuple[AcceptedCredential, ...],
    purposes: frozenset[Purpose],
) -> Peer | Failure:
    """Check protocol, credential and purpose of a hello, in constant time per credential."""
    if isinstance(message, Failure):
        return message
    if not isinstance(message, Hello):
        return Failure(ErrorKind.PROTOCOL_VIOLATION, "the first message must be a hello")
    if message.protocol != PROTOCOL_VERSION:
        return Failure(
            ErrorKind.PROTOCOL_VIOLATION, f"protocol {message.protocol} is not spoken here"
        )
    known = [
        entry
        for entry in accepted
        if entry.role.value == message.role
        and hmac.compare_digest(entry.credential.encode(), message.credential.encode())
    ]
    if not known:
        return Failure(ErrorKind.UNAUTHENTICATED, f"unknown credential for role {message.role!r}")
    if message.purpose not in {purpose.value for purpose in purposes}:
        return Failure(
            ErrorKind.PERMISSION_DENIED, f"purpose {message.purpose!r} is not served here"
        )
    return Peer(
        known[0].role, message.name, message.zone, Purpose(message.purpose), message.identity
    )
