"""Listens for operators: HTTP/2 by the guarded listener of ``transport.http_guard``."""

from __future__ import annotations

import trio

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.common.settings import TlsSettings
from limelever.source.operator_events import (
    OPERATOR_CONNECTION_FAILED,
    OPERATOR_CONNECTION_LIMIT,
)
from limelever.transport.asgi import AsgiApplication
from limelever.transport.http_guard import (
    GuardOptions,
    application_service,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.http_limits import HttpLimits
from limelever.transport.tls import certificate_kept_current, files_of, one_sided_context

DEFAULT_CONNECTION_LIMIT = 128
DEFAULT_STOP_LIMIT = 10.0
_LIMITS = HttpLimits(idle=60.0, streams=32)
_MAX_BODY_BYTES = 1024
"""Calls over HTTP/1.1 are none of this interface; they are read only to be refused."""


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
        service = application_service(application, _LIMITS, _MAX_BODY_BYTES)
        await serve_guarded(service, listeners, options, shutdown)
    return None
