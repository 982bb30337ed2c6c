"""HTTP listeners for interfaces that a process serves beside its own.

An interface is an ASGI application that translates calls into requests of the process's cores. It
is served over cleartext HTTP/1.1 by the guarded listener until the process is done.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence

import trio
from msgspec import Struct

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.transport.asgi import AsgiApplication
from limelever.transport.events import ADMIN_CONNECTION_FAILED, ADMIN_CONNECTION_LIMIT
from limelever.transport.http_guard import (
    GuardOptions,
    Listener,
    application_service,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.http_limits import HttpLimits

CONNECTION_LIMIT = 256
IDLE_SECONDS = 30.0
STOP_LIMIT = 1.0
MAX_BODY_BYTES = 32 << 20
"""Largest body of a call; a configuration of 10,000 routes takes a tenth of it."""


class Gateway(Struct, frozen=True):
    """An application, and the address at which it is served; ``name`` stands in the metrics.

    ``listener`` is a socket that listens at this address already, if the process has one.
    """

    name: str
    address: Address
    application: AsgiApplication
    listener: socket.socket | None = None


async def serve_gateway(
    gateway: Gateway,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``shutdown``; reports the bound address, or why there is none."""
    listeners = await _listeners_of(gateway)
    if isinstance(listeners, Failure):
        task_status.started(listeners)
        return
    task_status.started(bound_address(listeners))
    options = GuardOptions(
        listener=gateway.name,
        connection_limit=CONNECTION_LIMIT,
        stop_limit=STOP_LIMIT,
        failed_event=ADMIN_CONNECTION_FAILED,
        limit_event=ADMIN_CONNECTION_LIMIT,
    )
    limits = HttpLimits(idle=IDLE_SECONDS)
    service = application_service(gateway.application, limits, MAX_BODY_BYTES)
    await serve_guarded(service, listeners, options, shutdown)


async def _listeners_of(gateway: Gateway) -> list[Listener] | Failure:
    if gateway.listener is None:
        return await open_listeners(gateway.address, None, gateway.name)
    return [trio.SocketListener(trio.socket.from_stdlib_socket(gateway.listener))]


async def start_gateways(
    gateways: Sequence[Gateway], shutdown: trio.Event, nursery: trio.Nursery
) -> Failure | None:
    """Start all listeners in ``nursery``; return the first reason why one could not bind."""
    for gateway in gateways:
        bound: Address | Failure = await nursery.start(serve_gateway, gateway, shutdown)
        if isinstance(bound, Failure):
            return bound
    return None
