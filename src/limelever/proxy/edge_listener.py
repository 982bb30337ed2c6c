"""Listens for callers over HTTP/1.1 and HTTP/2, in cleartext or with TLS."""

from __future__ import annotations

import trio

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.proxy import events
from limelever.proxy.settings import EdgeSettings
from limelever.transport.http_guard import (
    GuardOptions,
    HttpService,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.tls import (
    CertificateFiles,
    certificate_kept_current,
    one_sided_context,
)

_HTTP_PROTOCOLS = ("h2", "http/1.1")


async def serve_callers(
    service: HttpService,
    settings: EdgeSettings,
    stopping: trio.Event,
    stop_limit: float,
    task_status: trio.TaskStatus[Address | Failure],
) -> None:
    """Serve until ``stopping``, then up to ``stop_limit`` s until open requests are answered.

    Reports the bound address, or the failure to bind, to ``task_status``.
    """
    files = CertificateFiles(settings.certificate, settings.key)
    context = one_sided_context(files, _HTTP_PROTOCOLS)
    if isinstance(context, Failure):
        task_status.started(context)
        return
    listeners = await open_listeners(settings.listen, context, "edge", backlog=settings.backlog)
    if isinstance(listeners, Failure):
        task_status.started(listeners)
        return
    task_status.started(bound_address(listeners))
    options = GuardOptions(
        listener="callers",
        connection_limit=settings.connections,
        stop_limit=stop_limit,
        failed_event=events.EDGE_CONNECTION_FAILED,
        limit_event=events.EDGE_CONNECTION_LIMIT,
    )
    async with certificate_kept_current([context] if context else [], files):
        await serve_guarded(service, listeners, options, stopping)
