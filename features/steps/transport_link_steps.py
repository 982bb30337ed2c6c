"""Steps for what a link sends at once, over a pair of sockets with small buffers."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass, field
from functools import partial

import trio
import trio.testing
from behave import then, when

from limelever.common.framing import FrameReader, decode_payload, encode_frame
from limelever.common.sansio import Purpose
from limelever.common.settings import LinkSettings
from limelever.protocol.calls_pb2 import CallBody
from limelever.transport.links import Link

SEND_BUFFER_BYTES = 4096
BODY_BYTES = 16384
BOUND_BYTES = 1 << 20
MESSAGES_A_TURN = 7
FIRST_MESSAGES = 100


@dataclass
class Sending:
    """What became of a link's messages, by the numbers of their streams."""

    early: list[int] = field(default_factory=list)
    received: list[int] = field(default_factory=list)
    waiting_bytes: int = 0
    broken: bool = False


def body(number: int) -> CallBody:
    return CallBody(stream=number, data=bytes([number % 256]) * BODY_BYTES)


def open_link(wrapped: bool = False, buffer: int = 0) -> tuple[Link, trio.SocketStream]:
    """Return a link and its peer's stream; a buffer of 0 bytes is the system's own."""
    ours, theirs = trio.socket.socketpair()
    if buffer:
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer)
    plain = trio.SocketStream(ours)
    stream = trio.StapledStream(plain, plain) if wrapped else plain
    link = Link(stream, LinkSettings(send_queue_bytes=BOUND_BYTES))
    link.count_as("test")
    return link, trio.SocketStream(theirs)


def bytes_here(stream: trio.SocketStream) -> bytes:
    """Return what has arrived, without waiting and without running another task."""
    data = bytearray()
    try:
        while part := os.read(stream.socket.fileno(), 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return bytes(data)


def numbers_in(reader: FrameReader) -> list[int]:
    numbers = []
    while isinstance(payload := reader.next_payload(), bytes):
        message = decode_payload(payload)
        assert message == body(message.stream), "a message is not whole"
        numbers.append(message.stream)
    return numbers


async def send_before_writing(count: int, wrapped: bool) -> Sending:
    link, peer = open_link(wrapped)
    reader, sending = FrameReader(), Sending()
    for number in range(count):
        assert link.send(body(number))
    reader.feed(bytes_here(peer))
    sending.early = numbers_in(reader)
    link.finish()
    await link.write_queued()
    reader.feed(bytes_here(peer))
    sending.received = sending.early + numbers_in(reader)
    return sending


async def send_to_slow_reader(count: int) -> Sending:
    """Make room in the system's buffer before each message, while bytes of others still wait.

    They wait in the link's queue, and after each turn of the writing task within its sending.
    """
    link, peer = open_link(buffer=SEND_BUFFER_BYTES)
    reader, sending, written = FrameReader(), Sending(), trio.Event()

    def take() -> None:
        reader.feed(bytes_here(peer))
        sending.received += numbers_in(reader)

    async def write() -> None:
        await link.write_queued()
        written.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write)
        for number in range(count):
            link.send(body(number))
            if number % MESSAGES_A_TURN == 0:
                await trio.testing.wait_all_tasks_blocked()
            take()
        link.finish()
        while not written.is_set():
            take()
            await trio.lowlevel.checkpoint()
    take()
    return sending


async def send_until_refused() -> Sending:
    link, peer = open_link(buffer=SEND_BUFFER_BYTES)
    sent, accepted = 0, True
    while accepted:
        accepted = link.send(body(0))
        sent += len(encode_frame(body(0)))
    return Sending(waiting_bytes=sent - len(bytes_here(peer)))


async def cancel_within_send() -> bytes:
    """Return what the peer gets; it begins to read after the writing task was cancelled."""
    link, peer = open_link(buffer=SEND_BUFFER_BYTES)
    received = bytearray()

    async def read_all() -> None:
        async for part in peer:
            received.extend(part)

    async with trio.open_nursery() as nursery:
        for number in range(FIRST_MESSAGES):
            link.send(body(number))
        nursery.start_soon(link.write_queued)
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    link.send(body(FIRST_MESSAGES))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_all)
        await link.flush_and_close()
    return bytes(received)


async def send_to_nobody(count: int) -> Sending:
    link, peer = open_link()
    await peer.aclose()
    for number in range(count):
        assert link.send(body(number))
    link.finish()
    try:
        await link.write_queued()
    except trio.BrokenResourceError:
        return Sending(broken=True)
    return Sending()


async def lose_while_peer_stalls(
    count: int, purpose: Purpose = Purpose.CALLS
) -> tuple[list[int], list[int]]:
    """Return the numbers that were reported as unsent, and those that the peer can read."""
    link, peer = open_link(buffer=SEND_BUFFER_BYTES)
    link.count_as(purpose.value)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.write_queued)
        link.send(body(0))
        await trio.testing.wait_all_tasks_blocked()
        for number in range(1, count):
            link.send(body(number))
        unsent = [message.stream for message in link.take_unsent()]
        link.abort()
    reader = FrameReader()
    reader.feed(bytes_here(peer))
    return unsent, numbers_in(reader)


@when("a link is lost with {count:d} messages to a peer that reads nothing")
def when_lost_while_stalled(context, count):
    context.unsent, context.readable = trio.run(lose_while_peer_stalls, count)


@when("a link of replication is lost with {count:d} messages to a peer that reads nothing")
def when_replication_lost_while_stalled(context, count):
    stalled = partial(lose_while_peer_stalls, count, Purpose.REPLICATION)
    context.unsent, context.readable = trio.run(stalled)


@then("no messages are kept beside their frames")
def then_none_kept(context):
    assert context.unsent == [], context.unsent


@then("messages {first:d} to {last:d} are reported as unsent, and the peer has none of them")
def then_unsent(context, first, last):
    assert context.unsent == list(range(first, last + 1)), context.unsent
    assert not set(context.unsent) & set(context.readable), context.readable


@when("a link over a {kind} stream sends {count:d} messages before its writing task runs")
def when_link_sends_early(context, kind, count):
    context.sending = trio.run(send_before_writing, count, kind == "wrapped")


@when("a link sends {count:d} messages while its peer reads slowly")
def when_peer_reads_slowly(context, count):
    context.sending = trio.run(send_to_slow_reader, count)


@when("a link sends to a peer that reads nothing until a message is one too many")
def when_link_sends_until_refused(context):
    context.sending = trio.run(send_until_refused)


@when("a link's writing task is cancelled within a send and the link then flushes and closes")
def when_cancelled_within_send(context):
    context.bytes_received = trio.run(cancel_within_send)


@then("the link's peer got the beginning of what was sent and nothing else")
def then_beginning_only(context):
    sent = b"".join(encode_frame(body(number)) for number in range(FIRST_MESSAGES))
    assert 0 < len(context.bytes_received) < len(sent)
    assert sent.startswith(context.bytes_received)


@when("a link sends {count:d} messages to a peer that has left")
def when_peer_has_left(context, count):
    context.sending = trio.run(send_to_nobody, count)


@then("the link's peer had {count:d} messages before the writing task ran")
def then_peer_had(context, count):
    assert context.sending.early == list(range(count)), context.sending.early


@then("the link's peer has {count:d} messages in order")
def then_peer_has(context, count):
    assert context.sending.received == list(range(count)), context.sending.received


@then("the bytes that wait in the link are over its bound by less than a message")
def then_bounded(context):
    over = context.sending.waiting_bytes - BOUND_BYTES
    assert 0 < over <= len(encode_frame(body(0))), over


@then("the link's writing task has ended as broken")
def then_broken(context):
    assert context.sending.broken
