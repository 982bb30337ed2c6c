"""Serves HTTP on trio, guarded connection by connection.

The guard bounds the number of connections. A fault on a connection ends that one only.
HTTP/1.1 is served by ``http1_connection``. A client that speaks HTTP/2, by TLS's negotiation or
from its first bytes, is served by hypercorn; hypercorn's own ``serve`` isn't used, as a DATA frame
for a stream that is already answered raises ``KeyError`` there and would end the process. The
price is that classes are used that hypercorn does not list as its interface, so its version is
pinned.
"""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from functools import partial
from typing import Any

import trio
from msgspec import Struct, field

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address
from limelever.transport.accepting import Accepted, AcceptingListener
from limelever.transport.asgi import AsgiApplication, AsgiHandler, reporting
from limelever.transport.asgi_http2 import BoundedApplication
from limelever.transport.head_reservation import HeadPool
from limelever.transport.http1_connection import Http1Connection, RequestHandler
from limelever.transport.http2_requests import RequestMemory
from limelever.transport.http_limits import HTTP2_CONNECTIONS, HttpLimits
from limelever.transport.metrics import HTTP_CONNECTIONS_OPEN
from limelever.transport.open_connections import OpenConnection, OpenConnections, Stream
from limelever.transport.pipelined_requests import PipelinedRequests
from limelever.transport.repeated_event import RepeatedEvent
from limelever.transport.streams import client_name, reason_of
from limelever.transport.unread_responses import UnreadPool

Listener = trio.SocketListener | trio.SSLListener[trio.SocketStream]

HANDSHAKE_SECONDS = 10.0

_ALPN_HTTP_2 = "h2"


class HttpService(Struct, frozen=True):
    """What serves requests: ``handler`` those of HTTP/1.1, ``application`` those of HTTP/2.

    ``heads`` and ``unread`` bound the memory of the heads and the unread responses of HTTP/1.1,
    ``pipelined`` its requests in progress behind others.
    """

    handler: RequestHandler
    application: AsgiApplication
    limits: HttpLimits
    heads: HeadPool = field(default_factory=HeadPool)
    unread: UnreadPool = field(default_factory=UnreadPool)
    pipelined: PipelinedRequests = field(default_factory=PipelinedRequests)


class GuardOptions(Struct, frozen=True):
    """Bounds of a guarded listener, and the events it writes.

    ``listener`` names it in the metrics. ``failed_event`` carries ``client`` and ``reason``,
    ``limit_event`` ``client`` and ``limit``, and both ``connections``. ``stop_limit`` is how many
    seconds the connections have at a stop.
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


def application_service(
    application: AsgiApplication, limits: HttpLimits, max_body_bytes: int
) -> HttpService:
    """Return the service of an ASGI application, whichever version its clients speak."""
    handler = AsgiHandler(application, max_body_bytes)
    bounded = BoundedApplication(application, handler.render, body_seconds=limits.body)
    return HttpService(handler, bounded.serve, limits)


async def serve_guarded(
    service: HttpService,
    listeners: Sequence[Listener],
    options: GuardOptions,
    shutdown: trio.Event,
) -> None:
    """Serve until ``shutdown``, then finish what is in flight within ``options.stop_limit``."""
    async with trio.open_nursery() as connections:
        guard = _Guard(service, options, connections)
        async with trio.open_nursery() as accepting:
            serve = partial(trio.serve_listeners, handler_nursery=connections)
            accepting.start_soon(serve, guard.run, [AcceptingListener(each) for each in listeners])
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await guard.stop()
        connections.cancel_scope.deadline = trio.current_time() + options.stop_limit


class _Guard:
    """Serves each connection and keeps its faults to it."""

    def __init__(self, service: HttpService, options: GuardOptions, nursery: trio.Nursery) -> None:
        self._service = service
        self._application = reporting(service.application)
        self._options = options
        self._nursery = nursery
        self._open = OpenConnections(options.connection_limit, self._report_limit)
        self._over_http2 = OpenConnections(HTTP2_CONNECTIONS, self._report_limit)
        self._failed = RepeatedEvent(options.failed_event)
        self._limit_reached = RepeatedEvent(options.limit_event)
        self._stopping = False
        self._requests = RequestMemory()
        open_now = HTTP_CONNECTIONS_OPEN.labels(options.listener)
        open_now.function = lambda: float(len(self._open))

    async def stop(self) -> None:
        """End each connection after what is under way on it."""
        self._stopping = True
        await self._open.stop()

    async def run(self, accepted: Accepted[Stream]) -> None:
        """Serve one connection to its end."""
        connection = OpenConnection(accepted.stream)
        try:
            if await self._open.admit(connection):
                await self._serve(connection)
        finally:
            self._open.discard(connection)

    def _report_limit(self, closed: OpenConnection, limit: int) -> None:
        self._limit_reached.write({"client": client_name(closed.stream), "limit": limit})

    async def _serve(self, connection: OpenConnection) -> None:
        try:
            await self._serve_protocol(connection)
        except* Exception as group:
            client = client_name(connection.stream)
            await trio.aclose_forcefully(connection.stream)
            self._report_failure(client, _first_reason(group))

    def _report_failure(self, client: str, reason: str) -> None:
        self._failed.write({"client": client, "reason": reason})

    async def _serve_protocol(self, connection: OpenConnection) -> None:
        stream = connection.stream
        if isinstance(stream, trio.SSLStream):
            with trio.fail_after(HANDSHAKE_SECONDS):
                await stream.do_handshake()
            if stream.selected_alpn_protocol() == _ALPN_HTTP_2:
                await self._serve_http2(connection, b"")
                return
        service = self._service
        http1 = Http1Connection(
            stream,
            service.handler,
            service.limits,
            self._nursery,
            service.heads,
            service.unread,
            service.pipelined,
        )
        connection.served_by = http1
        if self._stopping:
            http1.stop()
        preface = await http1.run()
        if preface:
            await self._serve_http2(connection, preface)

    async def _serve_http2(self, connection: OpenConnection, received: bytes) -> None:
        try:
            if await self._over_http2.admit(connection):
                await self._run_http2(connection, received)
        finally:
            self._over_http2.discard(connection)

    async def _run_http2(self, connection: OpenConnection, received: bytes) -> None:
        # Importing hypercorn and h2 is slow, and most processes never serve HTTP/2.
        from limelever.transport.http2_connection import Http2Connection

        http2 = Http2Connection(
            self._application,
            self._service.limits,
            connection.stream,
            received,
            self._requests,
            self._service.handler.render,
            partial(self._report_failure, client_name(connection.stream)),
        )
        connection.served_by = http2
        if self._stopping:
            await http2.stop()
        await http2.run()


def _first_reason(group: BaseExceptionGroup[BaseException]) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, trio.BrokenResourceError):
        return reason_of(error)
    return f"{type(error).__name__}: {error}"
