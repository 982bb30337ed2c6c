"""Kept connections to the back end, the last one used first."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Iterable

import trio
from msgspec import Struct

from limelever.agent.interface import ConnectResult
from limelever.agent.settings import BackendSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.settings import seconds

KEEP_ALIVE_MARGIN = 1.0
"""Seconds before the end of a back end's keep-alive time at which a connection is given up."""

_KEEP_ALIVE = b"keep-alive"


class BackendConnection(Struct):
    """An HTTP/1.1 connection.

    ``keep`` is for how many seconds it may be idle. ``reusable`` says that its last request was
    sent whole and answered whole, and that nothing else has come on it, ``ended`` that the back end
    ended it before its answer was whole.
    """

    stream: trio.SocketStream
    keep: float
    reusable: bool = False
    ended: bool = False

    def close(self) -> None:
        """Close at once; what was not sent is dropped."""
        self.stream.socket.close()

    def has_expired(self) -> bool:
        """Return whether something came while the connection was idle: its end, as a rule."""
        return self.stream.socket.is_readable()


class _Idle(Struct, frozen=True):
    connection: BackendConnection
    since: float

    def is_over(self, now: float) -> bool:
        """Return whether the connection was idle for too long to be trusted."""
        return now - self.since > self.connection.keep


class BackendConnections:
    """Connections to one back end, at most as many as the settings allow."""

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._keep = seconds(settings.keepalive_ms)
        self._room = trio.Semaphore(settings.connections)
        self._idle: list[_Idle] = []

    async def acquire(self) -> BackendConnection | Failure:
        """Return a connection for one request; ``BACKEND_FAILED`` when none can be opened.

        It waits while all connections that the settings allow are in use.
        """
        try:
            self._room.acquire_nowait()
        except trio.WouldBlock:
            await self._room.acquire()
        kept = self._take_idle()
        if kept is not None:
            return kept
        opened: BackendConnection | Failure | None = None
        try:
            opened = await self._open()
        finally:
            if not isinstance(opened, BackendConnection):
                self._room.release()
        return opened

    def release(self, connection: BackendConnection) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        self._room.release()
        now = trio.current_time()
        while self._idle and self._idle[0].is_over(now):
            self._idle.pop(0).connection.close()
        if connection.reusable:
            self._idle.append(_Idle(connection, now))
        else:
            connection.close()

    async def try_new(self, timeout: float) -> ConnectResult:
        """Return what becomes of a new connection within ``timeout`` seconds.

        One that opens is kept. The system tells whether it did: a process that had no processor in
        the meantime would take its own lateness for the back end's.
        """
        address = self._settings.address
        try:
            found = await trio.socket.getaddrinfo(
                address.host, address.port, type=socket.SOCK_STREAM
            )
        except OSError:
            return ConnectResult.REFUSED
        family, _, _, _, target = found[0]
        tried = socket.socket(family)
        tried.setblocking(False)
        begun = tried.connect_ex(target)
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_writable(tried)
        reach = _reach_of(tried, begun)
        if reach is not ConnectResult.OPENED:
            tried.close()
            return reach
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(tried))
        opened = BackendConnection(stream, self._keep)
        self._idle.append(_Idle(opened, trio.current_time()))
        return reach

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().connection.close()

    def _take_idle(self) -> BackendConnection | None:
        """Return the newest idle connection that the back end has not closed."""
        now = trio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if not idle.is_over(now) and not idle.connection.has_expired():
                idle.connection.reusable = False
                return idle.connection
            idle.connection.close()
        return None

    async def _open(self) -> BackendConnection | Failure:
        address = self._settings.address
        try:
            with trio.fail_after(seconds(self._settings.connect_timeout_ms)):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            reason = str(error) or "timed out"
            return Failure(ErrorKind.BACKEND_FAILED, f"connection did not open: {reason}")
        return BackendConnection(stream, self._keep)


def _reach_of(tried: socket.socket, begun: int) -> ConnectResult:
    """Return what has become of a connection; ``begun`` is the system's answer to its beginning."""
    refused = begun not in (0, errno.EINPROGRESS)
    if refused or tried.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return ConnectResult.REFUSED
    try:
        tried.getpeername()
    except OSError:
        return ConnectResult.TIMED_OUT
    return ConnectResult.OPENED


def keep_alive_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return for how long an idle connection may be used again, by the answer's Keep-Alive.

    The back end counts from its last byte: some of its time passes on the way.
    """
    for name, value in headers:
        if name.lower() != _KEEP_ALIVE:
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.isdigit():
                return max(0.0, int(number) - KEEP_ALIVE_MARGIN)
    return math.inf
