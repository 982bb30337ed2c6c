"""Serves HTTP by hypercorn on trio, guarded connection by connection.

hypercorn's own ``serve`` runs all connections in one nursery, and a DATA frame for a stream that
is already answered raises ``KeyError`` there: any client could end the process. So each
connection is run by hypercorn's connection class inside a guard that closes only that one. The
guard bounds the number of connections too, which ``serve`` does not: at the limit the connection
that is idle longest makes room, so that nobody's idle connections lock others out. The price is
that it uses classes that hypercorn does not list as its interface, so its version is pinned.
"""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address
from limelever.transport.events import REQUEST_FAULT
from limelever.transport.faults import fault_fields
from limelever.transport.http_connection import AsgiApplication, HttpConnection
from limelever.transport.log import write_event
from limelever.transport.metrics import HTTP_CONNECTIONS_OPEN
from limelever.transport.streams import client_name, reason_of

Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]
Listener = trio.SocketListener | trio.SSLListener[trio.SocketStream]

HANDSHAKE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class GuardOptions:
    """Bounds of a guarded listener, and the events it writes.

    ``listener`` names it in the metrics. ``failed_event`` carries ``client`` and ``reason``,
    ``limit_event`` ``client`` and ``limit``. ``stop_limit`` is how many seconds the connections
    have at a stop.
    """

    listener: str
    connection_limit: int
    stop_limit: float
    failed_event: int
    limit_event: int


async def open_listeners(
    listen: Address, context: ssl.SSLContext | None, what: str, backlog: int | None = None
) -> list[Listener] | Failure:
    """Bind an address; ``what`` names the listener in the failure's reason.

    ``backlog`` is how many connections may wait to be accepted, by default all that may.
    """
    try:
        plain = await trio.open_tcp_listeners(listen.port, host=listen.host, backlog=backlog)
    except OSError as error:
        reason = f"{what} at {listen}: {error.strerror or error}"
        return Failure(ErrorKind.INVALID_SETTINGS, reason)
    if context is None:
        return list(plain)
    return [trio.SSLListener(listener, context, https_compatible=True) for listener in plain]


def bound_address(listeners: Sequence[Listener]) -> Address:
    """Return the address of the first listener, with the port that was drawn for port 0."""
    listener: Any = listeners[0]
    while isinstance(listener, trio.SSLListener):
        listener = listener.transport_listener
    host, port = listener.socket.getsockname()[:2]
    return Address(host, port)


async def serve_guarded(
    application: AsgiApplication,
    listeners: Sequence[Listener],
    config: Config,
    options: GuardOptions,
    shutdown: trio.Event,
) -> None:
    """Serve until ``shutdown``, then finish what is in flight within ``options.stop_limit``."""
    guard = _Guard(application, config, options)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            serve = partial(trio.serve_listeners, handler_nursery=connections)
            accepting.start_soon(serve, guard.run, list(listeners))
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await guard.context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + options.stop_limit


class _Guard:
    """Runs hypercorn's side of each connection and keeps its faults to that connection."""

    def __init__(self, application: AsgiApplication, config: Config, options: GuardOptions) -> None:
        self.context = WorkerContext(None)
        self._application = _reporting(application)
        self._config = config
        self._options = options
        self._open: set[HttpConnection] = set()
        open_now = HTTP_CONNECTIONS_OPEN.labels(options.listener)
        open_now.set_function(lambda: float(len(self._open)))

    async def run(self, stream: Stream) -> None:
        """Serve one connection to its end."""
        replaced = None
        if len(self._open) >= self._options.connection_limit:
            replaced = self._longest_idle()
            self._report_limit(stream if replaced is None else replaced.stream)
            if replaced is None:
                await trio.aclose_forcefully(stream)
                return
            self._open.discard(replaced)
        connection = HttpConnection(self._application, self._config, self.context, stream)
        self._open.add(connection)
        try:
            if replaced is not None:
                await trio.aclose_forcefully(replaced.stream)
            await self._serve(connection)
        finally:
            self._open.discard(connection)

    def _longest_idle(self) -> HttpConnection | None:
        """Return the connection that is idle longest, if any is."""
        idle = [(c.idle_since, c) for c in self._open if c.idle_since is not None]
        return min(idle, key=lambda pair: pair[0])[1] if idle else None

    def _report_limit(self, stream: Stream) -> None:
        fields: dict[str, object] = {
            "client": client_name(stream),
            "limit": self._options.connection_limit,
        }
        write_event(self._options.limit_event, fields)

    async def _serve(self, connection: HttpConnection) -> None:
        client = client_name(connection.stream)
        try:
            await self._shake_hands(connection.stream)
            await connection.run()
        except* Exception as group:
            await trio.aclose_forcefully(connection.stream)
            fields: dict[str, object] = {"client": client, "reason": _first_reason(group)}
            write_event(self._options.failed_event, fields)

    async def _shake_hands(self, stream: Any) -> None:
        """Do TLS's handshake, if there is one; hypercorn would keep its failure to itself."""
        if isinstance(stream, trio.SSLStream):
            with trio.fail_after(HANDSHAKE_SECONDS):
                await stream.do_handshake()


def _reporting(application: AsgiApplication) -> AsgiApplication:
    """Return the application with its faults reported; hypercorn answers 500 in silence.

    A connection that breaks under an answer is its client's matter, not a fault.
    """

    async def guarded(*arguments: Any) -> None:
        try:
            await application(*arguments)
        except trio.BrokenResourceError:
            return
        except Exception as error:
            write_event(REQUEST_FAULT, fault_fields(error))
            raise

    return guarded


def _first_reason(group: BaseExceptionGroup[BaseException]) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, trio.BrokenResourceError):
        return reason_of(error)
    return f"{type(error).__name__}: {error}"
