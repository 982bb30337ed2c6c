"""The admin listener of every process: /metrics, /healthz and /readyz.

It speaks cleartext and asks for no credential: bind it to an address that only the monitoring
reaches.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.transport.asgi import AsgiApplication
from limelever.transport.events import ADMIN_CONNECTION_FAILED, ADMIN_CONNECTION_LIMIT
from limelever.transport.http_guard import (
    GuardOptions,
    application_service,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.http_limits import HttpLimits

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
CONNECTION_LIMIT = 32
IDLE_SECONDS = 5.0
"""A poller needs no longer keep-alive, and each idle connection takes one place of the limit."""

_MAX_BODY_BYTES = 1024
"""No call of this listener has a body; some clients send a short one all the same."""

_STOP_LIMIT = 1.0
_TEXT = b"text/plain; version=0.0.4; charset=utf-8"
_READ_METHODS = ("GET", "HEAD")


def admin_application(is_ready: Callable[[], bool]) -> AsgiApplication:
    """Return the ASGI application; ``is_ready`` decides /readyz."""

    async def application(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "websocket":
            await send({"type": "websocket.close", "code": 1003})
            return
        status, body = _answer(scope["method"], scope["path"], is_ready)
        headers = [(b"content-type", _TEXT), (b"content-length", str(len(body)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return application


def _answer(method: str, path: str, is_ready: Callable[[], bool]) -> tuple[int, bytes]:
    if method not in _READ_METHODS:
        return 405, b"only GET\n"
    if path == "/metrics":
        return 200, _exposition()
    if path == "/healthz":
        return 200, b"ok\n"
    if path == "/readyz":
        return (200, b"ready\n") if is_ready() else (503, b"not ready\n")
    return 404, b"not found\n"


def _exposition() -> bytes:
    from limelever.transport.exposition import exposition  # costs a start, see ``instruments``

    return exposition()


async def serve_admin(
    address: Address,
    is_ready: Callable[[], bool],
    idle_seconds: float = IDLE_SECONDS,
    task_status: trio.TaskStatus[Address | Failure] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the admin listener until cancelled; reports the bound address, or why it has none.

    A connection ends after ``idle_seconds`` without a request.
    """
    listeners = await open_listeners(address, None, "admin listener")
    if isinstance(listeners, Failure):
        task_status.started(listeners)
        return
    task_status.started(bound_address(listeners))
    options = GuardOptions(
        listener="admin",
        connection_limit=CONNECTION_LIMIT,
        stop_limit=_STOP_LIMIT,
        failed_event=ADMIN_CONNECTION_FAILED,
        limit_event=ADMIN_CONNECTION_LIMIT,
    )
    limits = HttpLimits(idle=idle_seconds)
    service = application_service(admin_application(is_ready), limits, _MAX_BODY_BYTES)
    await serve_guarded(service, listeners, options, trio.Event())
