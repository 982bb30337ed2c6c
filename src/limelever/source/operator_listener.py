"""Listens for operators: HTTP/2 by the guarded listener of ``transport.http_guard``."""

from __future__ import annotations

import trio
from hypercorn.config import Config

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.common.settings import TlsSettings
from limelever.source.operator_events import (
    OPERATOR_CONNECTION_FAILED,
    OPERATOR_CONNECTION_LIMIT,
)
from limelever.transport.http_connection import AsgiApplication
from limelever.transport.http_guard import (
    GuardOptions,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.tls import certificate_kept_current, files_of, one_sided_context

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
    files = files_of(tls)
    context = one_sided_context(files, ("h2",))
    if isinstance(context, Failure):
        task_status.started(context)
        return context
    listeners = await open_listeners(listen, context, "operators' listener")
    if isinstance(listeners, Failure):
        task_status.started(listeners)
        return listeners
    task_status.started(bound_address(listeners))
    options = GuardOptions(
        listener="operators",
        connection_limit=connection_limit,
        stop_limit=stop_limit,
        failed_event=OPERATOR_CONNECTION_FAILED,
        limit_event=OPERATOR_CONNECTION_LIMIT,
    )
    async with certificate_kept_current([context] if context else [], files):
        await serve_guarded(application, listeners, _hypercorn_config(), options, shutdown)
    return None


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
