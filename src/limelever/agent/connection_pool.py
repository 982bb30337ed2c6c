"""Pool of keep-alive connections to the backend; the most recently used is reused first."""

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
from limelever.common.numbers import parse_count
from limelever.common.settings import seconds

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""Time before the end of the backend's keep-alive timeout at which a connection is closed."""

_KEEP_ALIVE = b"keep-alive"


class BackendConnection(Struct):
    """An HTTP/1.1 connection.

    ``max_idle`` is the maximum idle time in seconds. ``reusable`` tells that the last request and
    its response were transferred completely without surplus data, ``ended`` that the backend closed
    the connection before its response was complete.
    """

    stream: trio.SocketStream
    max_idle: float
    reusable: bool = False
    ended: bool = False

    def close(self) -> None:
        """Close immediately, discarding unsent data."""
        self.stream.socket.close()

    def has_unread_data(self) -> bool:
        """Return whether data or end of stream arrived while the connection was idle."""
        return self.stream.socket.is_readable()


class _IdleConnection(Struct, frozen=True):
    connection: BackendConnection
    since: float

    def is_expired(self, now: float) -> bool:
        """Return whether the connection has exceeded its maximum idle time."""
        return now - self.since > self.connection.max_idle


class BackendConnectionPool:
    """Connections to one backend, up to the configured maximum."""

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._max_idle = seconds(settings.keepalive_ms)
        self._capacity = trio.Semaphore(settings.connections)
        self._idle: list[_IdleConnection] = []

    async def acquire(self) -> BackendConnection | Failure:
        """Return a connection for one request, or ``BACKEND_FAILED`` if none can be opened.

        Waits while the maximum number of connections is in use.
        """
        try:
            self._capacity.acquire_nowait()
        except trio.WouldBlock:
            await self._capacity.acquire()
        idle = self._pop_idle()
        if idle is not None:
            return idle
        opened: BackendConnection | Failure | None = None
        try:
            opened = await self._open()
        finally:
            if not isinstance(opened, BackendConnection):
                self._capacity.release()
        return opened

    def release(self, connection: BackendConnection) -> None:
        """Return a reusable connection to the pool; close any other."""
        self._capacity.release()
        now = trio.current_time()
        while self._idle and self._idle[0].is_expired(now):
            self._idle.pop(0).connection.close()
        if connection.reusable:
            self._idle.append(_IdleConnection(connection, now))
        else:
            connection.close()

    async def check_connect(self, timeout: float) -> ConnectResult:
        """Return the result of opening a new connection within ``timeout`` seconds.

        An opened connection is added to the pool. The result is read from the socket, because
        the timeout also expires if this process was not scheduled in the meantime.
        """
        address = self._settings.address
        try:
            addresses = await trio.socket.getaddrinfo(
                address.host, address.port, type=socket.SOCK_STREAM
            )
        except OSError:
            return ConnectResult.REFUSED
        family, _, _, _, socket_address = addresses[0]
        sock = socket.socket(family)
        sock.setblocking(False)
        connect_errno = sock.connect_ex(socket_address)
        with trio.move_on_after(timeout):
            await trio.lowlevel.wait_writable(sock)
        reach = _connect_result(sock, connect_errno)
        if reach is not ConnectResult.OPENED:
            sock.close()
            return reach
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        opened = BackendConnection(stream, self._max_idle)
        self._idle.append(_IdleConnection(opened, trio.current_time()))
        return reach

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().connection.close()

    def _pop_idle(self) -> BackendConnection | None:
        """Return the most recently used idle connection that is still open."""
        now = trio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if not idle.is_expired(now) and not idle.connection.has_unread_data():
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
            return Failure(ErrorKind.BACKEND_FAILED, f"connection to backend failed: {reason}")
        return BackendConnection(stream, self._max_idle)


def _connect_result(sock: socket.socket, connect_errno: int) -> ConnectResult:
    """Return the state of a connection attempt; ``connect_errno`` is the result of connect_ex."""
    refused = connect_errno not in (0, errno.EINPROGRESS)
    if refused or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return ConnectResult.REFUSED
    try:
        sock.getpeername()
    except OSError:
        return ConnectResult.TIMED_OUT
    return ConnectResult.OPENED


def keep_alive_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return the maximum idle time of a connection by the response's Keep-Alive header.

    The margin covers the transmission time: the backend starts its timeout when it sends the last
    byte.
    """
    for name, value in headers:
        if name.lower() != _KEEP_ALIVE:
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            timeout = parse_count(number)
            if key.lower() == b"timeout" and timeout is not None:
                return max(0.0, timeout - KEEP_ALIVE_MARGIN_SECONDS)
    return math.inf
