"""What listeners and links need of trio's streams: who is there, why it broke, is it alive."""

from __future__ import annotations

import os
import socket
from collections.abc import Sequence
from typing import Any

import trio

KEEP_ALIVE_SECONDS = 30
"""Silence after which the other end's machine is asked for a sign of life."""

_KEEP_ALIVE_INTERVAL_SECONDS = 5
_KEEP_ALIVE_PROBES = 3


def detect_dead_machine(stream: trio.SocketStream, unacknowledged_ms: int) -> None:
    """Let the system close a connection whose other machine is gone without a word.

    What was sent may stay unacknowledged for ``unacknowledged_ms`` milliseconds.

    A machine that lost its power or its cable closes nothing: an idle link to it would stand,
    and count against the limit of links, for ever. A process that is only suspended is not
    meant; its machine goes on answering.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


_JOINED_BYTES = 64 * 1024
"""Messages up to this size are copied together, to be sent with one system call."""


def send_parts_without_waiting(stream: trio.abc.Stream, parts: Sequence[bytes]) -> list[memoryview]:
    """Send the parts of a message in order, and return views of what did not fit at once."""
    if sum(map(len, parts)) <= _JOINED_BYTES:
        parts = (b"".join(parts),)
    unsent: list[memoryview] = []
    for part in parts:
        taken = 0 if unsent else send_without_waiting(stream, part)
        if taken < len(part):
            unsent.append(memoryview(part)[taken:])
    return unsent


def send_without_waiting(stream: trio.abc.Stream, data: bytes) -> int:
    """Return how many bytes of ``data`` the system took at once; none over TLS, which may wait.

    No other task may be sending. An error counts as nothing taken: the next ``send_all`` meets it.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    try:
        return os.write(stream.socket.fileno(), data)
    except OSError:
        return 0


async def receive(stream: trio.abc.ReceiveStream, size: int) -> bytes:
    """Return received bytes, ``size`` at most, empty at the end.

    Raises what trio's streams raise. On a plain socket it first waits until there is something:
    trio tries at once, which costs a system call where bytes are hardly ever there already.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(size))
    while True:
        descriptor = stream.socket.fileno()
        if descriptor < 0:
            raise trio.ClosedResourceError("this stream was closed")
        await trio.lowlevel.wait_readable(descriptor)
        try:
            return os.read(descriptor, size)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


async def close_at_once(stream: trio.abc.AsyncResource) -> None:
    """Close without a word to the other end, whether or not the task is cancelled.

    On a plain socket this takes no turn of the loop; trio's own way takes one or two.
    """
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
        return
    with trio.CancelScope(shield=True):
        await trio.aclose_forcefully(stream)


def reason_of(error: BaseException) -> str:
    """Return why a stream broke; trio keeps TLS's own words in the cause."""
    cause = error.__cause__
    if isinstance(error, trio.BrokenResourceError) and cause is not None:
        return str(cause) or type(cause).__name__
    return str(error) or type(error).__name__


def client_name(stream: trio.abc.Stream) -> str:
    """Return ``host:port`` of a stream's other end, ``gone`` when it has none any more."""
    inner: Any = stream.transport_stream if isinstance(stream, trio.SSLStream) else stream
    try:
        host, port = inner.socket.getpeername()[:2]
    except (OSError, AttributeError):
        return "gone"
    return f"{host}:{port}"
