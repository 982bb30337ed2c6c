"""Listens for operators: hypercorn's HTTP/2 on trio, guarded connection by connection.

hypercorn's own ``serve`` runs all connections in one nursery, and a DATA frame for a stream that
is already answered raises ``KeyError`` there: any client could end the process. So each
connection is run by hypercorn's connection class inside a guard that closes only that one. The
guard bounds the number of connections too, which ``serve`` does not.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address
from limelever.common.settings import TlsSettings
from limelever.source.operator_events import (
    OPERATOR_CONNECTION_FAILED,
    OPERATOR_CONNECTION_LIMIT,
)
from limelever.transport.log import write_event

AsgiApplication = Callable[..., Awaitable[None]]
Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]
Listener = trio.SocketListener | trio.SSLListener[trio.SocketStream]

DEFAULT_CONNECTION_LIMIT = 128
DEFAULT_STOP_LIMIT = 10.0
_IDLE_SECONDS = 60
_STREAMS_PER_CONNECTION = 32
_HEADER_LIST_BYTES = 16 * 1024


async def serve_operators(
    application: AsgiApplication,
    listen: Address,
    tls: TlsSettings,
    shutdown: trio.Event,
    *,
    connection_limit: int = DEFAULT_CONNECTION_LIMIT,
    stop_limit: float = DEFAULT_STOP_LIMIT,
    task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
) -> Failure | None:
    """Serve ``application`` at ``listen`` until ``shutdown``, then finish what is in flight.

    ``stop_limit`` is in seconds. Reports the bound address, or the failure, to ``task_status``;
    returns the failure when it could not listen.
    """
    listeners = await _open(listen, tls)
    if isinstance(listeners, Failure):
        task_status.started(listeners)
        return listeners
    host, port = _socket_listener(listeners[0]).socket.getsockname()[:2]
    guard = _Guard(application, connection_limit)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            serve = partial(trio.serve_listeners, handler_nursery=connections)
            accepting.start_soon(serve, guard.run, listeners)
            task_status.started(Address(host, port))
            await shutdown.wait()
            accepting.cancel_scope.cancel()
        await guard.context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + stop_limit
    return None


class _Guard:
    """Runs hypercorn's side of each connection and keeps its faults to that connection."""

    def __init__(self, application: AsgiApplication, limit: int) -> None:
        self.context = WorkerContext(None)
        self._application = ASGIWrapper(application)
        self._config = _hypercorn_config()
        self._limit = limit
        self._open = 0

    async def run(self, stream: Stream) -> None:
        """Serve one connection to its end."""
        if self._open >= self._limit:
            fields: dict[str, object] = {"client": _client(stream), "limit": self._limit}
            write_event(OPERATOR_CONNECTION_LIMIT, fields)
            await trio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            await self._serve(stream)
        finally:
            self._open -= 1

    async def _serve(self, stream: Any) -> None:
        client = _client(stream)
        state = ConnectionState({})
        server = TCPServer(self._application, self._config, self.context, state, stream)
        try:
            await server.run()
        except* Exception as group:
            await trio.aclose_forcefully(stream)
            fields: dict[str, object] = {"client": client, "reason": _first_reason(group)}
            write_event(OPERATOR_CONNECTION_FAILED, fields)


def _hypercorn_config() -> Config:
    config = Config()
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = _IDLE_SECONDS
    config.read_timeout = _IDLE_SECONDS
    config.h2_max_concurrent_streams = _STREAMS_PER_CONNECTION
    config.h2_max_header_list_size = _HEADER_LIST_BYTES
    config.include_server_header = False
    return config


async def _open(listen: Address, tls: TlsSettings) -> list[Listener] | Failure:
    context = _tls_context(tls)
    if isinstance(context, Failure):
        return context
    try:
        plain = await trio.open_tcp_listeners(listen.port, host=listen.host)
    except OSError as error:
        reason = f"operators' listener at {listen}: {error.strerror or error}"
        return Failure(ErrorKind.INVALID_SETTINGS, reason)
    if context is None:
        return list(plain)
    return [trio.SSLListener(listener, context, https_compatible=True) for listener in plain]


def _tls_context(tls: TlsSettings) -> ssl.SSLContext | None | Failure:
    """Operators show a token, not a certificate, so none is asked of them."""
    if not tls.enabled:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2"])
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except OSError as error:
        return Failure(ErrorKind.INVALID_SETTINGS, f"tls: {error}")
    return context


def _socket_listener(listener: Listener) -> trio.SocketListener:
    if isinstance(listener, trio.SSLListener):
        inner: trio.SocketListener = listener.transport_listener  # type: ignore[assignment]
        return inner
    return listener


def _client(stream: Stream) -> str:
    inner: Any = stream.transport_stream if isinstance(stream, trio.SSLStream) else stream
    try:
        host, port = inner.socket.getpeername()[:2]
    except OSError:
        return "gone"
    return f"{host}:{port}"


def _first_reason(group: BaseExceptionGroup[BaseException]) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"
